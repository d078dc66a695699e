// Job registries under injected faults. The outcomes reported to callers must agree with the starts, and a job that is not repeatable starts at most once.

#include "callers/jobsimulation.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>

using namespace jobsimulation;

namespace
{

Submission makeSubmission(bool isRepeatable, bool isAsync, const std::string &key = {})
{
    Submission submission;
    submission.request.spec.account = "kothari-fit";
    submission.request.spec.kind = "alteration-sheet";
    submission.request.spec.repeatable = isRepeatable;
    submission.request.deadline = Milliseconds(20000);
    submission.key = key;
    submission.digest = "digest";
    submission.isAsync = isAsync;
    return submission;
}

struct FaultCase
{
    const char *name;
    Faults faults;
};

std::vector<FaultCase> faultCases()
{
    const Faults none;
    std::vector<FaultCase> cases = {{"no faults", none}};
    const auto add = [&cases, &none](const char *name, const std::function<void(Faults &)> &change) {
        Faults faults = none;
        change(faults);
        cases.push_back({name, faults});
    };
    add("messages lost", [](Faults &faults) {
        faults.loseMessage = 0.3;
    });
    add("messages doubled and late", [](Faults &faults) {
        faults.repeatMessage = 0.5;
        faults.longestDelay = Milliseconds(2000);
    });
    add("acknowledgements of appends lost", [](Faults &faults) {
        faults.repeatAppend = 0.5;
    });
    add("log outages", [](Faults &faults) {
        faults.logOutage = 0.1;
    });
    add("entries killed", [](Faults &faults) {
        faults.killEntry = 0.01;
    });
    add("entries frozen", [](Faults &faults) {
        faults.freezeEntry = 0.02;
    });
    add("leads killed", [](Faults &faults) {
        faults.killLead = 0.02;
    });
    add("leads frozen", [](Faults &faults) {
        faults.freezeLead = 0.02;
    });
    add("gangs refused", [](Faults &faults) {
        faults.refuseGang = 0.6;
    });
    add("everything", [](Faults &faults) {
        faults = {0.1, 0.2, Milliseconds(500), 0.2, 0.03, 0.004, 0.005, 0.005, 0.005, 0.2};
    });
    return cases;
}

/// Runs the simulation with one seed and returns the violations found.
std::vector<std::string> violationsOf(std::uint64_t seed, const Faults &faults)
{
    std::vector<std::string> violations;
    Simulation simulation(seed, faults);
    std::map<std::string, Submission> submitted;
    for (int round = 0; round < 12; ++round) {
        const Submission submission = makeSubmission(round % 3 == 0, round % 4 == 1, "key" + std::to_string(round));
        const std::string id = simulation.submit(round % 2, submission);
        submitted.emplace(id, submission);
        if (round % 5 == 2) {
            // Submits the same request to the other entry.
            simulation.run(Milliseconds(50));
            simulation.submit((round + 1) % 2, submission);
        }
        simulation.run(Milliseconds(300));
    }
    simulation.run(Milliseconds(15000));
    simulation.stopFaults();
    simulation.run(Milliseconds(90000));
    for (const auto &[id, submission] : submitted) {
        const int starts = simulation.starts(id);
        if (!submission.request.spec.repeatable && starts > 1) {
            violations.push_back(id + ": not repeatable, started " + std::to_string(starts) + " times");
        }
        const auto reported = simulation.reportedOutcomes().find(id);
        const std::vector<wire::Outcome::type> outcomes =
            reported == simulation.reportedOutcomes().end() ? std::vector<wire::Outcome::type>() : reported->second;
        for (const wire::Outcome::type outcome : outcomes) {
            if (outcome == wire::Outcome::NotRun && starts > 0) {
                violations.push_back(id + ": reported as not run, started " + std::to_string(starts) + " times");
            }
            if (outcome == wire::Outcome::Completed && starts == 0) {
                violations.push_back(id + ": reported as completed, never started");
            }
        }
        const std::optional<wire::Outcome::type> recorded = simulation.recordedOutcome(id);
        if (submission.isAsync && !recorded) {
            violations.push_back(id + ": accepted asynchronously, no outcome in the log");
        }
        if (recorded == wire::Outcome::NotRun && starts > 0) {
            violations.push_back(id + ": recorded as not run, started " + std::to_string(starts) + " times");
        }
        for (const wire::Outcome::type outcome : outcomes) {
            if (submission.isAsync && recorded && outcome != *recorded && outcome != wire::Outcome::Completed) {
                violations.push_back(id + ": reported outcome differs from the recorded one");
            }
        }
    }
    return violations;
}

std::uint64_t seedsToRun()
{
    const char *setting = std::getenv("KNAPWEED_SEEDS");
    return setting == nullptr ? 40 : std::strtoull(setting, nullptr, 10);
}

} // namespace

TEST_GROUP(JobRegistry) {};

TEST(JobRegistry, reportsOutcomesThatAgreeWithTheStartsUnderFaults)
{
    const std::uint64_t seeds = seedsToRun();
    for (const FaultCase &fault : faultCases()) {
        std::size_t found = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            for (const std::string &violation : violationsOf(seed, fault.faults)) {
                std::printf("%s, seed %llu: %s\n", fault.name, static_cast<unsigned long long>(seed), violation.c_str());
                ++found;
            }
        }
        UNSIGNED_LONGS_EQUAL_TEXT(0, found, fault.name);
    }
}

TEST(JobRegistry, completesEveryJobWithoutFaults)
{
    Simulation simulation(1, Faults());
    std::vector<std::string> ids;
    ids.reserve(20);
    for (int round = 0; round < 20; ++round) {
        ids.push_back(simulation.submit(round % 2, makeSubmission(round % 2 == 0, round % 3 == 0, "key" + std::to_string(round))));
    }
    simulation.run(Milliseconds(2000));
    for (const std::string &id : ids) {
        const auto reported = simulation.reportedOutcomes().find(id);
        CHECK(reported != simulation.reportedOutcomes().end());
        CHECK(reported->second.front() == wire::Outcome::Completed);
        LONGS_EQUAL(1, simulation.starts(id));
    }
}

TEST(JobRegistry, refusesAKeyThatWasUsedForAnotherRequest)
{
    Simulation simulation(1, Faults());
    Submission submission = makeSubmission(false, true, "key");
    simulation.submit(0, submission);
    simulation.run(Milliseconds(100));
    submission.digest = "another";
    CHECK(simulation.submit(0, submission).empty());
    CHECK(simulation.submit(1, submission).empty());
}

TEST(JobRegistry, finishesAsNotRunWhenTheLogIsUnavailable)
{
    Faults outage;
    outage.logOutage = 1;
    Simulation simulation(1, outage);
    simulation.run(Milliseconds(200));
    Submission submission = makeSubmission(false, false, "key");
    submission.request.deadline = Milliseconds(500);
    const std::string id = simulation.submit(0, submission);
    simulation.run(Milliseconds(1000));
    simulation.stopFaults();
    simulation.run(Milliseconds(30000));
    LONGS_EQUAL(0, simulation.starts(id));
    CHECK(simulation.reportedOutcomes().at(id).front() == wire::Outcome::NotRun);
}

TEST(JobRegistry, neverReusesAnAttemptNumberOfAnEvictedJob)
{
    JobFold fold;
    JobRegistryOptions options;
    options.address = "entry";
    options.maxFinishedJobs = 0;
    JobRegistry registry(options, fold);
    registry.setPlanner(MonotonicTime(), "planner");
    std::set<std::int32_t> numbers;
    for (int round = 0; round < 3; ++round) {
        const MonotonicTime now = MonotonicTime(std::chrono::seconds(round + 1));
        const std::string id = value(registry.submit(now, makeSubmission(true, false, "key")));
        wire::Placement placement;
        placement.job = id;
        placement.members.emplace_back().agent = "lead";
        registry.receive(now, "planner", placement);
        wire::OutcomeReport report;
        report.attempt = registry.job(id)->attempt;
        report.outcome = wire::Outcome::Failed;
        report.reason = wire::Reason::EndpointFailed;
        numbers.insert(report.attempt.number);
        registry.receive(now, "lead", report);
        POINTERS_EQUAL(nullptr, registry.job(id));
    }
    UNSIGNED_LONGS_EQUAL(3, numbers.size());
}

TEST(JobRegistry, finishesACancelledQueuedJob)
{
    Faults refusing;
    refusing.refuseGang = 1;
    Simulation simulation(1, refusing);
    const std::string id = simulation.submit(0, makeSubmission(true, false));
    simulation.run(Milliseconds(200));
    simulation.registry(0).cancel(simulation.now(), id);
    simulation.run(Milliseconds(3000));
    CHECK(simulation.reportedOutcomes().at(id).front() == wire::Outcome::Cancelled || simulation.reportedOutcomes().at(id).front() == wire::Outcome::NotRun);
    LONGS_EQUAL(0, simulation.starts(id));
}
