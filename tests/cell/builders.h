// Builders of small jobs, configurations and reports for the tests of the cell.
#pragma once

#include "cell/configuration.h"
#include "cell/scheduler.h"
#include "jobs/jobrecord.h"

#include <string>
#include <vector>

namespace knapweed::cell
{

constexpr const char *testService = "svc";

inline Step plainStep(int tasks, Resources needs)
{
    Step step;
    step.tasks = tasks;
    step.needs = needs;
    step.estimate = Milliseconds(2000);
    return step;
}

inline JobSpec plainJob(const std::string &id, const std::string &queue, const std::vector<Step> &steps)
{
    JobSpec spec;
    spec.id = id;
    spec.queue = queue;
    spec.account = "acme";
    spec.input = "input of " + id;
    spec.steps = steps;
    return spec;
}

/// Queues "urgent", "usual" and "later" of priority 0, 1 and 2; the account "acme" has 8 accelerators guaranteed.
inline CellConfiguration plainConfiguration()
{
    CellConfiguration configuration;
    configuration.version = 1;
    int priority = 0;
    for (const char *name : {"urgent", "usual", "later"}) {
        Queue queue;
        queue.name = name;
        queue.host = "host";
        queue.pathPrefix = std::string("/") + name + '/';
        queue.service = testService;
        queue.priority = priority++;
        queue.attempts = 2;
        configuration.queues.push_back(queue);
    }
    configuration.accounts.push_back({"acme", 8});
    configuration.accountByKey["key"] = "acme";
    return configuration;
}

inline wire::JobCall callOf(wire::CallKind::type kind, const std::string &job)
{
    static std::int64_t number = 0;
    wire::JobCall call;
    call.call = ++number;
    call.kind = kind;
    call.job = job;
    call.queue = "usual";
    return call;
}

inline wire::JobCall submitOf(const JobSpec &spec)
{
    wire::JobCall call = callOf(wire::CallKind::Submit, spec.id);
    call.queue = spec.queue;
    call.account = spec.account;
    call.spec = encodeSpec(spec);
    return call;
}

/// A report of an endpoint with 16 cores, 64 GiB and 8 accelerators, read under @p generation.
inline wire::EndpointReport reportOf(const std::string &endpoint, std::int64_t generation, const std::string &rack = "r1")
{
    static std::int64_t sequence = 0;
    wire::EndpointReport report;
    report.sequence = ++sequence;
    report.sentAtMs = 1;
    report.endpoint = endpoint;
    report.born = 100;
    report.serviceName = testService;
    report.rack = rack;
    report.labels = {"kind", rack};
    report.milliCores = 16000;
    report.memoryMib = 65536;
    report.accelerators = 8;
    report.isListed = true;
    report.generation = generation;
    return report;
}

inline wire::RunRow rowOf(const wire::RunRef &run, int percent = 0)
{
    wire::RunRow row;
    row.run = run;
    row.percent = percent;
    return row;
}

inline wire::EndRow endOf(std::int64_t number, const wire::RunRef &run, wire::RunEnding::type outcome)
{
    wire::EndRow end;
    end.number = number;
    end.run = run;
    end.how = outcome;
    return end;
}

/// The messages of one type in an output, with their receivers.
template<typename Message>
std::vector<std::pair<std::string, Message>> messagesOf(const SchedulerOutput &output)
{
    std::vector<std::pair<std::string, Message>> found;
    for (const auto &[peer, message] : output.messages) {
        if (const Message *match = std::get_if<Message>(&message)) {
            found.emplace_back(peer, *match);
        }
    }
    return found;
}

} // namespace knapweed::cell
