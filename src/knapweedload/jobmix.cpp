// Parsing of mixes and making of jobs.

#include "jobmix.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <sstream>

namespace knapweed
{

namespace
{

constexpr int memoryMibPerTask = 256;

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, separator)) {
        parts.push_back(part);
    }
    return parts;
}

/// -1 when @p text is not a number of at least 0.
int parseNumber(const std::string &text)
{
    int number = -1;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && number >= 0 ? number : -1;
}

bool parseShape(const std::string &text, JobKind &kind)
{
    const std::vector<std::string> parts = split(text, 'x');
    if (parts.size() != 2) {
        return false;
    }
    kind.tasks = parseNumber(parts[0]);
    kind.acceleratorsPerTask = parseNumber(parts[1]);
    return kind.tasks > 0 && kind.acceleratorsPerTask >= 0;
}

bool parseKind(const std::string &text, JobKind &kind)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos || equals == 0) {
        return false;
    }
    kind.name = text.substr(0, equals);
    const std::vector<std::string> parts = split(text.substr(equals + 1), ':');
    if (parts.empty() || parts.size() > 3) {
        return false;
    }
    kind.weight = parseNumber(parts[0]);
    if (parts.size() > 2) {
        const int run = parseNumber(parts[2]);
        kind.run = Milliseconds(run);
        if (run < 0) {
            return false;
        }
    }
    return kind.weight > 0 && (parts.size() < 2 || parseShape(parts[1], kind));
}

const JobKind &drawKind(const std::vector<JobKind> &mix, std::mt19937_64 &random)
{
    int total = 0;
    for (const JobKind &kind : mix) {
        total += kind.weight;
    }
    int place = std::uniform_int_distribution<int>(0, total - 1)(random);
    for (const JobKind &kind : mix) {
        place -= kind.weight;
        if (place < 0) {
            return kind;
        }
    }
    return mix.back();
}

const char *adjacencyOf(const JobKind &kind)
{
    if (kind.tasks > 1) {
        return "rack";
    }
    return kind.acceleratorsPerTask > 1 ? "worker" : "none";
}

} // namespace

Result<std::vector<JobKind>, JobMixError> parseJobMix(const std::string &text)
{
    std::vector<JobKind> mix;
    for (const std::string &part : split(text, ',')) {
        JobKind kind;
        if (!parseKind(part, kind)) {
            return JobMixError {"\"" + part + "\" is not KIND=WEIGHT[:TASKSxACCELERATORS[:RUN_MS]]"};
        }
        mix.push_back(kind);
    }
    if (mix.empty()) {
        return JobMixError {"the mix is empty"};
    }
    return mix;
}

LoadJob makeJob(const std::vector<JobKind> &mix, const JobOptions &options, std::uint64_t number)
{
    std::seed_seq sequence {options.seed, number};
    std::mt19937_64 random(sequence);
    LoadJob job;
    job.number = number;
    job.kind = drawKind(mix, random);
    job.key = "load-" + std::to_string(options.seed) + '-' + std::to_string(number);
    job.input = nlohmann::json {{"run_ms", job.kind.run.count()}, {"tag", job.key}}.dump();
    const bool isRepeatable = std::uniform_int_distribution<int>(0, 99)(random) >= options.notRepeatablePercent;
    const nlohmann::json body {{"kind", job.kind.name},
        {"tasks", job.kind.tasks},
        {"accelerators_per_task", job.kind.acceleratorsPerTask},
        {"processors_per_task", 1},
        {"memory_mib_per_task", memoryMibPerTask},
        {"adjacency", adjacencyOf(job.kind)},
        {"repeatable", isRepeatable},
        {"declared_run_ms", job.kind.run.count()},
        {"deadline_ms", options.deadline.count()},
        {"input", job.input}};
    job.body = body.dump();
    return job;
}

} // namespace knapweed
