// Which connections a budget closes, and what it counts.

#include "base/connectionbudget.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace knapweed;

namespace
{

MonotonicTime at(int milliseconds)
{
    return MonotonicTime(Milliseconds(1000000 + milliseconds));
}

struct Members
{
    std::shared_ptr<ConnectionBudget> budget;
    std::string closed; ///< names in the order of their closing

    explicit Members(ConnectionLimits limits)
        : budget(std::make_shared<ConnectionBudget>("test", limits))
    {
    }

    ConnectionBudget::MemberId join(char name, int time)
    {
        return budget->join(at(time), [this, name]() {
            closed += name;
        });
    }
};

} // namespace

TEST_GROUP(ConnectionBudget) {};

// Guards against a crowd that fills the budget and keeps others out, and against closing those that make progress.
TEST(ConnectionBudget, closesTheMembersWithTheOldestProgressForBytes)
{
    Members members({1000, 10});
    const ConnectionBudget::MemberId a = members.join('a', 0);
    const ConnectionBudget::MemberId b = members.join('b', 1);
    members.join('c', 0); // holds nothing, so closing it would not help
    const ConnectionBudget::MemberId d = members.join('d', 5);
    CHECK(members.budget->reserve(a, 400));
    CHECK(members.budget->reserve(b, 400));
    members.budget->moved(a, 5000, at(7));
    CHECK(members.budget->reserve(d, 600));
    STRCMP_EQUAL("b", members.closed.c_str());
    CHECK(members.budget->reserve(d, 400));
    STRCMP_EQUAL("ba", members.closed.c_str());
    LONGS_EQUAL(1000, members.budget->usedBytes());
    LONGS_EQUAL(2, members.budget->counts().evictedConnections);
    LONGS_EQUAL(2, members.budget->connections());
}

// Guards against clients that keep their connection by a byte now and then.
TEST(ConnectionBudget, singleBytesAreNoProgress)
{
    Members members({1000, 10});
    const ConnectionBudget::MemberId slow = members.join('s', 0);
    CHECK(members.budget->reserve(slow, 500));
    for (int time = 1; time < 1000; ++time) {
        members.budget->moved(slow, 1, at(time));
    }
    CHECK(members.budget->progressAt(slow) == at(0));
    members.budget->moved(slow, 4096, at(1000));
    CHECK(members.budget->progressAt(slow) == at(1000));
}

// Guards against a request that is closed while it runs, which its caller could not know, and against bytes over the limit when all are protected.
TEST(ConnectionBudget, protectedMembersStayAndNewBytesAreRefused)
{
    Members members({1000, 2});
    const ConnectionBudget::MemberId a = members.join('a', 0);
    const ConnectionBudget::MemberId b = members.join('b', 5);
    CHECK(members.budget->reserve(a, 900));
    members.budget->setProtected(a, true);
    CHECK_FALSE(members.budget->reserve(b, 200));
    CHECK_FALSE(members.budget->reserve(b, 2000));
    LONGS_EQUAL(2, members.budget->counts().refusedRequests);
    members.budget->setProtected(b, true);
    CHECK_FALSE(members.budget->makeRoomForConnection());
    LONGS_EQUAL(1, members.budget->counts().refusedConnections);
    members.budget->setProtected(b, false);
    CHECK(members.budget->makeRoomForConnection());
    STRCMP_EQUAL("b", members.closed.c_str());
}

// Guards against requests of callers that have gone, which are still held by whoever works on them and would not be counted.
TEST(ConnectionBudget, bytesTakenOverAreCountedUntilTheyAreDropped)
{
    Members members({1000, 10});
    const ConnectionBudget::MemberId a = members.join('a', 0);
    const ConnectionBudget::MemberId b = members.join('b', 0);
    CHECK(members.budget->reserve(a, 800));
    std::shared_ptr<void> held = members.budget->takeBytes(a);
    members.budget->leave(a);
    LONGS_EQUAL(800, members.budget->usedBytes());
    CHECK_FALSE(members.budget->reserve(b, 400));
    held.reset();
    LONGS_EQUAL(0, members.budget->usedBytes());
    CHECK(members.budget->reserve(b, 400));
    members.budget->leave(b);
    members.budget->leave(b);
    LONGS_EQUAL(0, members.budget->usedBytes());
    STRCMP_EQUAL("", members.closed.c_str());
}

// Guards against a log that grows with the crowd.
TEST(ConnectionBudget, reportsAtIntervalsAndOnlyWhatIsNew)
{
    Members members({1000, 10});
    CHECK(members.budget->dueReport(at(0)) == BudgetCounts());
    members.budget->countExpired();
    LONGS_EQUAL(1, members.budget->dueReport(at(0)).expiredConnections);
    members.budget->countExpired();
    members.budget->countExpired();
    CHECK(members.budget->dueReport(at(4999)) == BudgetCounts());
    LONGS_EQUAL(2, members.budget->dueReport(at(5000)).expiredConnections);
    CHECK(members.budget->dueReport(at(20000)) == BudgetCounts());
}

// Guards against limits that legal callers meet: 64 bodies of 262,144 bytes at once on an entry of 160 MiB.
TEST(ConnectionBudget, smallestMachineHoldsTheBodiesOfManyCallers)
{
    const ProcessLimits limits = limitsOf(160, 4100);
    CHECK(limits.strangers.bytes >= 64 * (std::size_t(262144) + pendingInputBytes));
    CHECK(limits.strangers.connections >= 1024);
    CHECK(limits.peers.connections >= 512);
    CHECK(limits.strangers.connections + limits.peers.connections < 4100);
    // Bodies, peers' messages and connections, with what an idle entry uses, fit into the memory.
    const std::size_t connections = (limits.strangers.connections + limits.peers.connections) * 16384;
    CHECK(limits.strangers.bytes + limits.peers.bytes + connections + (std::size_t(24) << 20) <= std::size_t(160) << 20);
    CHECK(limitsOf(0, 0).strangers.bytes > limits.strangers.bytes);
}
