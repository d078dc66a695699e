// One profile for each user; everything random comes from the seed.

#include "workload.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace knapweed::bench
{

namespace
{

using planning::Adjacency;
using planning::Shape;

constexpr int fleetWorkers = 11;
constexpr int acceleratorsPerWorker = 8;
constexpr double neverRunsShare = 0.02;
constexpr double undeclaredShare = 0.2;
constexpr double urgentShare = 0.01;
constexpr double declarationSigma = 1.0; ///< of the logarithm of declared over true run time
constexpr Milliseconds phaseLength {60000}; ///< bursts of small jobs come and go in phases
constexpr double burstPhaseShare = 0.2;
constexpr double burstFactor = 4;

struct Kind
{
    const char *name;
    std::vector<Shape> shapes; ///< equally likely
    double medianSeconds;
    double sigma; ///< of the logarithm
    double loadShare; ///< of the offered accelerator time
    double notRepeatableShare;
    bool checkpointable;
    bool isLarge;
    int burst; ///< mean jobs that arrive together
};

struct Profile
{
    const char *name;
    int failureDomains;
    std::vector<std::string> accounts;
    std::vector<Shape> guarantees; ///< of each account
    std::vector<double> accountShare; ///< of the jobs
    std::vector<Kind> kinds;
};

Shape shape(int tasks, int accelerators, Adjacency adjacency)
{
    return {tasks, accelerators, 4 * accelerators, 8000L * accelerators, adjacency};
}

Profile kothari()
{
    return {"kothari",
        4,
        {"wardrobe-north", "wardrobe-south", "charter", "studio"},
        {shape(2, 8, Adjacency::Rack), shape(4, 4, Adjacency::Rack), shape(1, 4, Adjacency::Worker), shape(2, 2, Adjacency::Rack)},
        {0.4, 0.35, 0.15, 0.1},
        {{"pattern-render", {shape(2, 8, Adjacency::Rack), shape(4, 4, Adjacency::Rack), shape(1, 8, Adjacency::Worker)}, 120, 0.6, 0.55, 0, true, true, 3},
            {"crew-measure", {shape(1, 1, Adjacency::None), shape(1, 2, Adjacency::Worker)}, 15, 0.7, 0.25, 0, false, false, 8},
            {"alteration-sheet", {shape(1, 1, Adjacency::None)}, 8, 0.6, 0.2, 0.5, false, false, 10}}};
}

Profile recovery()
{
    return {"recovery",
        3,
        {"quito-depots", "guayaquil-depots", "benches", "kiosks"},
        {shape(2, 8, Adjacency::Rack), shape(2, 8, Adjacency::Rack), shape(2, 2, Adjacency::Rack), shape(1, 2, Adjacency::Worker)},
        {0.35, 0.35, 0.2, 0.1},
        {{"umbrella-match", {shape(2, 8, Adjacency::Rack), shape(3, 4, Adjacency::Rack), shape(1, 8, Adjacency::Worker)}, 240, 0.7, 0.65, 0, true, true, 2},
            {"appraisal", {shape(1, 1, Adjacency::None), shape(1, 1, Adjacency::None), shape(1, 2, Adjacency::Worker)}, 10, 0.8, 0.25, 0, false, false, 6},
            {"frame-route", {shape(1, 1, Adjacency::None)}, 6, 0.5, 0.1, 0.7, false, false, 6}}};
}

class Generator
{
public:
    Generator(const Profile &profile, const WorkloadOptions &options)
        : profile_(profile)
        , options_(options)
        , random_(options.seed)
    {
    }

    Workload make()
    {
        workload_.name = profile_.name;
        workload_.seed = options_.seed;
        workload_.horizon = options_.horizon;
        makeWorkers();
        makePolicy();
        makePhases();
        for (const Kind &kind : profile_.kinds) {
            makeJobs(kind);
        }
        std::stable_sort(workload_.jobs.begin(), workload_.jobs.end(), [](const SimulatedJob &left, const SimulatedJob &right) {
            return left.arrival < right.arrival;
        });
        for (std::size_t number = 0; number < workload_.jobs.size(); ++number) {
            workload_.jobs[number].waiting.id = "j" + std::to_string(number);
        }
        makeFaults();
        return workload_;
    }

private:
    void makeWorkers()
    {
        for (int number = 0; number < fleetWorkers; ++number) {
            planning::Worker worker;
            worker.id = "w" + std::to_string(number);
            worker.agent = "10.0.0." + std::to_string(number + 1) + ":7000";
            worker.rack = "r" + std::to_string(number / 3);
            worker.failureDomain = "d" + std::to_string(number / 3 % profile_.failureDomains);
            worker.region = "region";
            worker.available = true;
            worker.slots = 8;
            worker.accelerators = acceleratorsPerWorker;
            worker.processors = 130;
            worker.memoryMib = 250000;
            workload_.workers.push_back(worker);
        }
    }

    void makePolicy()
    {
        for (std::size_t account = 0; account < profile_.accounts.size(); ++account) {
            workload_.policy.accounts[profile_.accounts[account]] = {1, {profile_.guarantees[account]}};
        }
    }

    void makePhases()
    {
        std::bernoulli_distribution isBurst(burstPhaseShare);
        for (Milliseconds start {0}; start < options_.horizon; start += phaseLength) {
            phaseRate_.push_back(isBurst(random_) ? burstFactor : 1);
        }
        double sum = 0;
        for (const double rate : phaseRate_) {
            sum += rate;
        }
        for (double &rate : phaseRate_) {
            rate *= static_cast<double>(phaseRate_.size()) / sum;
        }
    }

    double meanSeconds(const Kind &kind) const
    {
        return kind.medianSeconds * std::exp(kind.sigma * kind.sigma / 2);
    }

    void makeJobs(const Kind &kind)
    {
        double meanAccelerators = 0;
        for (const Shape &shape : kind.shapes) {
            meanAccelerators += static_cast<double>(shape.tasks) * shape.acceleratorsPerTask / static_cast<double>(kind.shapes.size());
        }
        const double offered = options_.load * kind.loadShare * fleetWorkers * acceleratorsPerWorker;
        const double jobsPerSecond = offered / (meanAccelerators * meanSeconds(kind));
        const double groupsPerSecond = jobsPerSecond / kind.burst;
        double seconds = 0;
        const double horizon = std::chrono::duration<double>(options_.horizon).count();
        while (true) {
            const std::size_t phase = std::min(phaseRate_.size() - 1, static_cast<std::size_t>(seconds / std::chrono::duration<double>(phaseLength).count()));
            const double rate = kind.isLarge ? 1 : phaseRate_[phase];
            seconds += std::exponential_distribution<double>(groupsPerSecond * rate)(random_);
            if (seconds >= horizon) {
                return;
            }
            const int count = 1 + std::poisson_distribution<int>(kind.burst - 1)(random_);
            for (int number = 0; number < count; ++number) {
                makeJob(kind, Milliseconds(static_cast<std::int64_t>(seconds * 1000)));
            }
        }
    }

    void makeJob(const Kind &kind, Milliseconds arrival)
    {
        SimulatedJob job;
        job.arrival = arrival;
        job.isLarge = kind.isLarge;
        const double seconds = std::lognormal_distribution<double>(std::log(kind.medianSeconds), kind.sigma)(random_);
        job.run = Milliseconds(std::max<std::int64_t>(200, static_cast<std::int64_t>(seconds * 1000)));
        const std::size_t account = std::discrete_distribution<std::size_t>(profile_.accountShare.begin(), profile_.accountShare.end())(random_);
        job.waiting.account = profile_.accounts[account];
        job.waiting.kind = kind.name;
        job.waiting.shape = kind.shapes[std::uniform_int_distribution<std::size_t>(0, kind.shapes.size() - 1)(random_)];
        job.waiting.checkpointable = kind.checkpointable;
        job.waiting.repeatable = !chance(kind.notRepeatableShare);
        job.waiting.urgent = !kind.isLarge && chance(urgentShare);
        const double factor = std::lognormal_distribution<double>(0, declarationSigma)(random_);
        if (!chance(undeclaredShare)) {
            job.waiting.declaredRun = Milliseconds(static_cast<std::int64_t>(static_cast<double>(job.run.count()) * factor));
        }
        if (chance(neverRunsShare)) {
            job.canNeverRun = true;
            job.waiting.shape = {1, acceleratorsPerWorker + 1, 1, 1, Adjacency::Worker};
        }
        workload_.jobs.push_back(job);
    }

    void makeFaults()
    {
        const std::int64_t horizon = options_.horizon.count();
        std::uniform_int_distribution<int> worker(0, fleetWorkers - 1);
        const int failing = worker(random_);
        const int lost = (failing + 1 + std::uniform_int_distribution<int>(0, fleetWorkers - 2)(random_)) % fleetWorkers;
        workload_.waves = {{Milliseconds(horizon * 35 / 100), 0.3}, {Milliseconds(horizon * 80 / 100), 0.3}};
        workload_.faults = {{Milliseconds(horizon * 2 / 10), Milliseconds(horizon * 4 / 10), "w" + std::to_string(failing), false},
            {Milliseconds(horizon * 6 / 10), Milliseconds(horizon * 7 / 10), "w" + std::to_string(lost), true}};
    }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }

    const Profile &profile_;
    WorkloadOptions options_;
    pcg32 random_;
    std::vector<double> phaseRate_;
    Workload workload_;
};

} // namespace

Workload makeWorkload(Annex annex, const WorkloadOptions &options)
{
    const Profile profile = annex == Annex::Kothari ? kothari() : recovery();
    return Generator(profile, options).make();
}

} // namespace knapweed::bench
