// The layout of guaranteed shapes is disjoint, deterministic and stable, and a guarantee that does not fit is reported.

#include "planning/reservationmap.h"

#include "planning/fleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace knapweed;
using namespace knapweed::planning;

namespace
{

Policy fourAccounts()
{
    Policy policy;
    policy.accounts["a"] = {1, {{2, 8, 0, 0, Adjacency::Rack}}};
    policy.accounts["b"] = {1, {{4, 4, 0, 0, Adjacency::Rack}}};
    policy.accounts["c"] = {1, {{1, 4, 0, 0, Adjacency::Worker}}};
    policy.accounts["d"] = {1, {{2, 2, 0, 0, Adjacency::Rack}, {3, 1, 0, 0, Adjacency::None}}};
    return policy;
}

std::vector<MapWorker> elevenWorkers()
{
    std::vector<MapWorker> workers;
    workers.reserve(11);
    for (int number = 0; number < 11; ++number) {
        workers.push_back({"w" + std::to_string(number), "r" + std::to_string(number / 3), firstAccelerators(8), true});
    }
    return workers;
}

int laidOutBlocks(const ReservationMap &map)
{
    return static_cast<int>(std::count_if(map.begin(), map.end(), [](const MapBlock &block) {
        return !block.parts.empty();
    }));
}

} // namespace

TEST_GROUP(ReservationMap) {};

TEST(ReservationMap, laysOutEveryBlockOnDisjointAccelerators)
{
    const ReservationMap map = layOutReservations(fourAccounts(), elevenWorkers(), {}).current;
    LONGS_EQUAL(5, laidOutBlocks(map));
    std::map<std::string, AcceleratorSet> taken;
    for (const MapBlock &block : map) {
        int accelerators = 0;
        for (const MapPart &part : block.parts) {
            CHECK_EQUAL(0U, taken[part.worker] & part.accelerators);
            taken[part.worker] |= part.accelerators;
            accelerators += countOf(part.accelerators);
        }
        LONGS_EQUAL(block.shape.tasks * block.shape.acceleratorsPerTask, accelerators);
    }
}

TEST(ReservationMap, doesNotDependOnTheOrderOfWorkers)
{
    std::vector<MapWorker> workers = elevenWorkers();
    const ReservationMap map = layOutReservations(fourAccounts(), workers, {}).current;
    std::reverse(workers.begin(), workers.end());
    LONGS_EQUAL(0, movedBlocks(map, layOutReservations(fourAccounts(), workers, {}).current));
}

TEST(ReservationMap, movesOnlyTheBlocksOfALostWorkerAndBringsThemBack)
{
    std::vector<MapWorker> workers = elevenWorkers();
    const ReservationLayout before = layOutReservations(fourAccounts(), workers, {});
    for (MapWorker &lost : workers) {
        lost.isUsable = false;
        const ReservationLayout during = layOutReservations(fourAccounts(), workers, before.home);
        const auto affected = std::count_if(before.current.begin(), before.current.end(), [&lost](const MapBlock &block) {
            return std::any_of(block.parts.begin(), block.parts.end(), [&lost](const MapPart &part) {
                return part.worker == lost.id;
            });
        });
        LONGS_EQUAL(5, laidOutBlocks(during.current));
        LONGS_EQUAL(affected, movedBlocks(before.current, during.current));
        lost.isUsable = true;
        LONGS_EQUAL(0, movedBlocks(before.current, layOutReservations(fourAccounts(), workers, during.home).current));
    }
}

TEST(ReservationMap, namesTheGuaranteeThatDoesNotFit)
{
    std::vector<Worker> workers;
    workers.reserve(3);
    for (int number = 0; number < 3; ++number) {
        workers.push_back(makeWorker(number));
    }
    Policy policy = fourAccounts();
    STRCMP_CONTAINS("accounts.", unplaceableGuarantee(policy, workers).c_str());
    policy.accounts.erase("b");
    policy.accounts.erase("d");
    STRCMP_EQUAL("", unplaceableGuarantee(policy, workers).c_str());
    policy.accounts["e"] = {1, {{1, 9, 0, 0, Adjacency::None}}};
    STRCMP_CONTAINS("accounts.e.guarantee[0]", unplaceableGuarantee(policy, workers).c_str());
}
