// Encodes jobs as JSON with short keys, because the platform charges for each byte written to its store.

#include "jobs/jobrecord.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace knapweed::cell
{

namespace
{

using nlohmann::json;

json encodeStep(const Step &step)
{
    json out = {{"n", step.tasks}, {"c", step.needs.milliCores}, {"m", step.needs.memoryMib}, {"a", step.needs.accelerators}, {"e", step.estimate.count()}};
    if (!step.after.empty()) {
        out["after"] = step.after;
    }
    const std::pair<const char *, bool> flags[] = {{"gang", step.isGang},
        {"rack", step.prefersOneRack},
        {"ckpt", step.hasCheckpoints},
        {"spec", step.maySpeculate},
        {"last", step.isLongRunning},
        {"fill", step.isFiller}};
    for (const auto &[name, isSet] : flags) {
        if (isSet) {
            out[name] = true;
        }
    }
    const std::pair<const char *, std::string> texts[] = {{"label", step.requiredLabel}, {"data", step.dataRack}, {"image", step.image}};
    for (const auto &[name, text] : texts) {
        if (!text.empty()) {
            out[name] = text;
        }
    }
    const std::pair<const char *, std::int64_t> numbers[] = {
        {"apart", step.tasksPerEndpoint}, {"miss", step.maxUnavailable}, {"target", step.latencyTarget.count()}};
    for (const auto &[name, number] : numbers) {
        if (number != 0) {
            out[name] = number;
        }
    }
    return out;
}

Step decodeStep(const json &in)
{
    Step step;
    step.tasks = in.at("n").get<int>();
    step.needs = {in.at("c").get<std::int64_t>(), in.at("m").get<std::int64_t>(), in.at("a").get<std::int64_t>()};
    step.estimate = Milliseconds(in.at("e").get<std::int64_t>());
    step.after = in.value("after", std::vector<int>());
    step.isGang = in.value("gang", false);
    step.prefersOneRack = in.value("rack", false);
    step.hasCheckpoints = in.value("ckpt", false);
    step.maySpeculate = in.value("spec", false);
    step.isLongRunning = in.value("last", false);
    step.isFiller = in.value("fill", false);
    step.requiredLabel = in.value("label", std::string());
    step.dataRack = in.value("data", std::string());
    step.image = in.value("image", std::string());
    step.tasksPerEndpoint = in.value("apart", 0);
    step.maxUnavailable = in.value("miss", 0);
    step.latencyTarget = Milliseconds(in.value("target", std::int64_t(0)));
    return step;
}

/// Appends the fields from the tenth on: the highest count of the unit's tasks and their newest counted run, which earlier versions take to be those of the
/// unit, and a row for each task of index, count, suspected, newest counted run.
void encodeCrashes(const std::map<int, TaskCrashes> &crashes, json &row)
{
    int most = 0;
    std::int64_t newest = 0;
    json rows = json::array();
    for (const auto &[index, task] : crashes) {
        most = std::max(most, task.count);
        newest = std::max(newest, task.lastRun);
        rows.push_back(json::array({index, task.count, task.suspected, task.lastRun}));
    }
    row.push_back(most);
    row.push_back(newest);
    row.push_back(std::move(rows));
}

/// Records of earlier versions hold one count for the unit, which says nothing about the single members of a gang.
std::map<int, TaskCrashes> decodeCrashes(const json &row, int unitIndex)
{
    std::map<int, TaskCrashes> crashes;
    if (row.size() > 11) {
        for (const json &task : row.at(11)) {
            crashes[task.at(0).get<int>()] = {task.at(1).get<int>(), task.at(2).get<int>(), task.at(3).get<std::int64_t>()};
        }
    } else if (row.size() > 10 && unitIndex >= 0) {
        crashes[unitIndex] = {row.at(9).get<int>(), 0, row.at(10).get<std::int64_t>()};
    }
    return crashes;
}

} // namespace

std::string encodeSpec(const JobSpec &spec)
{
    json out = {{"id", spec.id},
        {"queue", spec.queue},
        {"account", spec.account},
        {"service", spec.service},
        {"priority", spec.priority},
        {"attempts", spec.attempts},
        {"input", spec.input},
        {"steps", json::array()}};
    for (const Step &step : spec.steps) {
        out["steps"].push_back(encodeStep(step));
    }
    if (spec.advice.isRequired) {
        out["advice"] = json::array({spec.advice.perCall.count(), spec.advice.perEndpoint.count(), spec.advice.validity.count()});
    }
    if (spec.occurrences > 0) {
        out["times"] = spec.occurrences;
        out["first"] = std::chrono::duration_cast<Milliseconds>(spec.firstDue.time_since_epoch()).count();
        out["every"] = spec.interval.count();
    }
    if (spec.acceptedAt != WallTime()) {
        out["at"] = std::chrono::duration_cast<Milliseconds>(spec.acceptedAt.time_since_epoch()).count();
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<JobSpec, JobRecordError> decodeSpec(const std::string &text)
{
    try {
        const json in = json::parse(text);
        JobSpec spec;
        spec.id = in.at("id").get<std::string>();
        spec.queue = in.at("queue").get<std::string>();
        spec.account = in.at("account").get<std::string>();
        spec.service = in.value("service", std::string());
        spec.priority = in.value("priority", 0);
        spec.attempts = in.value("attempts", 1);
        if (in.contains("advice")) {
            const json &advice = in.at("advice");
            const auto time = [&advice](std::size_t index) {
                return Milliseconds(advice.at(index).get<std::int64_t>());
            };
            spec.advice = {true, time(0), time(1), time(2)};
        }
        spec.input = in.at("input").get<std::string>();
        for (const json &step : in.at("steps")) {
            spec.steps.push_back(decodeStep(step));
        }
        spec.occurrences = in.value("times", 0);
        spec.firstDue = WallTime(Milliseconds(in.value("first", std::int64_t(0))));
        spec.interval = Milliseconds(in.value("every", std::int64_t(0)));
        spec.acceptedAt = WallTime(Milliseconds(in.value("at", std::int64_t(0))));
        return spec;
    } catch (const json::exception &failure) {
        return JobRecordError {failure.what()};
    }
}

std::string encodeProgress(const JobProgress &progress)
{
    json out = json::object();
    if (progress.isCancelled) {
        out["x"] = true;
    }
    if (progress.hasFailed) {
        out["f"] = true;
    }
    if (progress.hasBegun) {
        out["b"] = true;
    }
    json units = json::array();
    for (const auto &[key, unit] : progress.units) {
        json row = json::array({key.occurrence, key.step, key.index, unit.isDone ? 1 : 0, unit.failures, unit.lastFailedRun});
        if (!unit.checkpoint.empty() || !unit.agents.empty() || !unit.crashes.empty()) {
            row.push_back(unit.checkpoint);
            row.push_back(unit.agents);
            row.push_back(json::array()); // records of earlier versions hold tags of incarnations here
        }
        if (!unit.crashes.empty()) {
            encodeCrashes(unit.crashes, row);
        }
        units.push_back(std::move(row));
    }
    out["u"] = std::move(units);
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<JobProgress, JobRecordError> decodeProgress(const std::string &text)
{
    try {
        const json in = json::parse(text);
        JobProgress progress;
        progress.isCancelled = in.value("x", false);
        progress.hasFailed = in.value("f", false);
        progress.hasBegun = in.value("b", false);
        for (const json &row : in.at("u")) {
            const UnitKey key {row.at(0).get<int>(), row.at(1).get<int>(), row.at(2).get<int>()};
            UnitProgress unit;
            unit.isDone = row.at(3).get<int>() != 0;
            unit.failures = row.at(4).get<int>();
            unit.lastFailedRun = row.at(5).get<std::int64_t>();
            unit.checkpoint = row.size() > 6 ? row.at(6).get<std::string>() : std::string();
            unit.agents = row.size() > 7 ? row.at(7).get<std::vector<std::string>>() : std::vector<std::string>();
            unit.crashes = decodeCrashes(row, key.index);
            progress.units[key] = unit;
        }
        return progress;
    } catch (const json::exception &failure) {
        return JobRecordError {failure.what()};
    }
}

} // namespace knapweed::cell
