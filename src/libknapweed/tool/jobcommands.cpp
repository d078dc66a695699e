// Caller commands: submit, job and cancel.

#include "base/jsonreader.h"
#include "tool/entryclient.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <ostream>

namespace knapweed
{

namespace
{

constexpr Milliseconds submitTimeout {24 * 3600 * 1000}; // 24 h, because submit waits for the outcome and a job may run for hours

struct NumberField
{
    const char *option;
    const char *field;
};

const NumberField numberFields[] = {
    {"tasks", "tasks"},
    {"accelerators", "accelerators_per_task"},
    {"processors", "processors_per_task"},
    {"memory-mib", "memory_mib_per_task"},
    {"run-ms", "declared_run_ms"},
    {"deadline-ms", "deadline_ms"},
};

Result<std::string, UsageError> inputOf(const Invocation &invocation)
{
    if (invocation.has("input") && invocation.has("input-file")) {
        return UsageError {"--input: found with --input-file, allowed is one of the two"};
    }
    if (invocation.has("input-file")) {
        return readInput(invocation, invocation.option("input-file"));
    }
    return invocation.option("input");
}

Result<nlohmann::json, UsageError> jobOf(const Invocation &invocation)
{
    if (!invocation.has("kind")) {
        return UsageError {"--kind: found nothing, allowed is the kind of the job"};
    }
    nlohmann::json job = {{"kind", invocation.option("kind")}};
    for (const NumberField &field : numberFields) {
        const Result<std::int64_t, UsageError> number = integerOption(invocation, field.option, 0);
        if (!isOk(number)) {
            return error(number);
        }
        if (invocation.has(field.option)) {
            job[field.field] = value(number);
        }
    }
    if (invocation.has("adjacency")) {
        job["adjacency"] = invocation.option("adjacency");
    }
    if (invocation.has("not-repeatable")) {
        job["repeatable"] = false;
    }
    if (invocation.has("checkpointable")) {
        job["checkpointable"] = true;
    }
    if (invocation.has("urgent")) {
        job["urgent"] = true;
    }
    const Result<std::string, UsageError> input = inputOf(invocation);
    if (!isOk(input)) {
        return error(input);
    }
    if (!value(input).empty()) {
        job["input"] = value(input);
    }
    return job;
}

std::string digestOf(const std::string &output)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(XXH3_64bits(output.data(), output.size())));
    return text.data();
}

/// Whether the output of each part matches the length and the digest given in the answer.
bool matchesLengthsAndDigests(const nlohmann::json &parts)
{
    for (const nlohmann::json &part : parts) {
        const std::string output = textMember(part, "output");
        if (textMember(part, "length") != std::to_string(output.size()) || textMember(part, "digest") != digestOf(output)) {
            return false;
        }
    }
    return true;
}

void printJob(const Invocation &invocation, const nlohmann::json &job)
{
    std::ostream &output = invocation.environment.output;
    output << textMember(job, "job") << ' ';
    if (textMember(job, "state") != "finished") {
        output << textMember(job, "state") << '\n';
        return;
    }
    output << textMember(job, "outcome");
    const std::string reason = textMember(job, "reason");
    if (!reason.empty() && reason != "none") {
        output << ", " << reason;
    }
    const std::string detail = textMember(job, "detail");
    output << (detail.empty() ? "" : ": " + detail) << '\n';
    for (const nlohmann::json &part : arrayMember(job, "parts")) {
        output << "  " << textMember(part, "worker") << ": " << textMember(part, "output") << '\n';
    }
}

ExitCode exitCodeOfJob(const nlohmann::json &job)
{
    const std::string outcome = textMember(job, "outcome");
    if (textMember(job, "state") != "finished" || outcome == "completed") {
        return ExitCode::Success;
    }
    return outcome == "unknown" ? ExitCode::Unknown : ExitCode::Refused;
}

ExitCode reportJob(const Invocation &invocation, const HttpResponse &response)
{
    if (response.status < 200 || response.status >= 300) {
        return reportRefusal(invocation, response);
    }
    const nlohmann::json job = bodyOf(response);
    if (invocation.has("json")) {
        printJson(invocation, job);
    } else {
        printJob(invocation, job);
    }
    if (!matchesLengthsAndDigests(arrayMember(job, "parts"))) {
        return fail(invocation, ExitCode::Unknown, "a part of the answer does not match its length and digest");
    }
    return exitCodeOfJob(job);
}

ExitCode sendJobRequest(const Invocation &invocation, const EntryRequest &request)
{
    const Result<HttpResponse, EntryError> response = sendEntryRequest(invocation, request);
    return isOk(response) ? reportJob(invocation, value(response)) : fail(invocation, error(response).code, error(response).detail);
}

ExitCode submit(const Invocation &invocation)
{
    const Result<nlohmann::json, UsageError> job = jobOf(invocation);
    if (!isOk(job)) {
        return fail(invocation, ExitCode::Usage, error(job).detail);
    }
    EntryRequest request {"POST", "/v1/jobs", value(job).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), {}, submitTimeout};
    if (invocation.has("key")) {
        request.headers["idempotency-key"] = invocation.option("key");
    }
    if (invocation.has("no-wait")) {
        request.headers["prefer"] = "respond-async";
    }
    return sendJobRequest(invocation, request);
}

Result<std::string, UsageError> jobPath(const Invocation &invocation)
{
    const std::string &job = invocation.arguments.at(0);
    if (!isIdentifier(job)) {
        return UsageError {"JOB: found " + job + ", allowed is the id that submit printed"};
    }
    return "/v1/jobs/" + job;
}

ExitCode showJob(const Invocation &invocation)
{
    const Result<std::string, UsageError> path = jobPath(invocation);
    const Result<std::int64_t, UsageError> wait = integerOption(invocation, "wait-ms", 0);
    if (!isOk(path)) {
        return fail(invocation, ExitCode::Usage, error(path).detail);
    }
    if (!isOk(wait) || value(wait) < 0) {
        return fail(invocation, ExitCode::Usage, isOk(wait) ? "--wait-ms: found less than 0, allowed is 0 or more" : error(wait).detail);
    }
    EntryRequest request {"GET", value(path) + "?wait_ms=" + std::to_string(value(wait)), {}, {}, Milliseconds(30000 + value(wait))};
    return sendJobRequest(invocation, request);
}

ExitCode cancel(const Invocation &invocation)
{
    const Result<std::string, UsageError> path = jobPath(invocation);
    if (!isOk(path)) {
        return fail(invocation, ExitCode::Usage, error(path).detail);
    }
    const Result<HttpResponse, EntryError> response = sendEntryRequest(invocation, {"DELETE", value(path), {}, {}});
    if (!isOk(response)) {
        return fail(invocation, error(response).code, error(response).detail);
    }
    const ExitCode code = reportJob(invocation, value(response));
    const nlohmann::json job = bodyOf(value(response));
    const bool isCancelled = textMember(job, "outcome") == "cancelled" || textMember(job, "reason") == "cancelled";
    if (isCancelled) {
        return ExitCode::Success;
    }
    return textMember(job, "state") == "finished" && code == ExitCode::Success ? ExitCode::Refused : code;
}

} // namespace

const std::vector<Command> &jobCommands()
{
    static const std::vector<Command> commands {
        {"submit",
            {},
            "Submit a job of the token's client account and wait for its outcome",
            {
                {"kind", "KIND", "kind of the job, required"},
                {"tasks", "N", "tasks of the gang; all run or none"},
                {"accelerators", "N", "accelerators for each task"},
                {"processors", "N", "processors for each task"},
                {"memory-mib", "N", "memory for each task"},
                {"adjacency", "none|worker|rack", "what all tasks must share"},
                {"not-repeatable", "", "run at most once, whatever fails; needs the log service"},
                {"checkpointable", "", "the job can save its work when it is preempted"},
                {"urgent", "", "goes before the account's other jobs"},
                {"run-ms", "MS", "how long it will run, as far as you know"},
                {"deadline-ms", "MS", "not run when it has not started by then"},
                {"input", "TEXT", "what the endpoint is given"},
                {"input-file", "FILE", "the same from a file, or from standard input with -"},
                {"key", "KEY", "idempotency key: the same key is the same job, so a retry never runs it twice"},
                {"no-wait", "", "print the job's id and don't wait; ask for the outcome with job"},
            },
            "  knapweedctl submit --kind alteration-sheet --input 'crew 17'\n"
            "  knapweedctl submit --kind pattern-render --tasks 4 --accelerators 8 --adjacency rack --checkpointable\n"
            "  knapweedctl submit --kind cut-cloth --not-repeatable --key order-8812 --input-file order.json\n"
            "  job=$(knapweedctl submit --no-wait --kind umbrella-match | cut -d' ' -f1); knapweedctl job \"$job\" --wait-ms 60000\n",
            submit},
        {"job",
            {"JOB"},
            "Show a job's state, and its outcome once it has one",
            {{"wait-ms", "MS", "wait that long for the outcome"}},
            "  knapweedctl job j-5f0c --wait-ms 60000\n",
            showJob},
        {"cancel",
            {"JOB"},
            "Cancel a job; its tasks are stopped. A job that had already ended keeps its outcome, and the exit code is 1",
            {},
            "  knapweedctl cancel j-5f0c\n",
            cancel},
    };
    return commands;
}

} // namespace knapweed
