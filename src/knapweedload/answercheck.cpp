// Each part's output must be the one that belongs to this job's unique input, with its length and its XXH3 digest.

#include "answercheck.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <array>
#include <cstdio>

namespace knapweed
{

namespace
{

constexpr std::size_t digestDigits = 16;

std::string digestOf(const std::string &text)
{
    std::array<char, digestDigits + 1> digits;
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
    return digits.data();
}

/// What is wrong with one part; empty when nothing is.
std::string partFault(const LoadJob &job, const nlohmann::json &part)
{
    const std::string output = part.value("output", std::string());
    if (output != "done:" + job.input) {
        return "the output is not this job's own";
    }
    if (part.value("length", std::int64_t(-1)) != static_cast<std::int64_t>(output.size())) {
        return "the length is not the output's";
    }
    return part.value("digest", std::string()) == digestOf(output) ? "" : "the digest is not the output's";
}

std::string completionFault(const LoadJob &job, const nlohmann::json &answer)
{
    const nlohmann::json parts = answer.value("parts", nlohmann::json::array());
    if (parts.size() != static_cast<std::size_t>(job.kind.tasks)) {
        return "the answer has " + std::to_string(parts.size()) + " parts";
    }
    for (const nlohmann::json &part : parts) {
        std::string fault = partFault(job, part);
        if (!fault.empty()) {
            return fault;
        }
    }
    return {};
}

Verdict judgeFailure(const HttpError &failure)
{
    switch (failure.kind) {
    case HttpError::Kind::NotSent:
        return {"not_sent", {}, {}};
    case HttpError::Kind::Interrupted:
        return {"interrupted", {}, {}};
    case HttpError::Kind::TimedOut:
        return {"timed_out", {}, {}};
    }
    return {"timed_out", {}, {}};
}

Verdict judgeFinished(const LoadJob &job, const nlohmann::json &answer)
{
    Verdict verdict;
    verdict.outcome = answer.value("outcome", std::string("none"));
    verdict.job = answer.value("job", std::string());
    if (verdict.job.empty()) {
        verdict.fault = "the answer names no job";
    } else if (verdict.outcome == "completed") {
        verdict.fault = completionFault(job, answer);
    }
    return verdict;
}

} // namespace

Verdict judgeAnswer(const LoadJob &job, const HttpResult &result)
{
    if (!isOk(result)) {
        return judgeFailure(error(result));
    }
    const HttpResponse &response = value(result);
    const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
    const std::string status = "http_" + std::to_string(response.status);
    if (!answer.is_object()) {
        return {status, {}, "the answer is not a JSON object"};
    }
    try {
        return response.status == 200 ? judgeFinished(job, answer) : Verdict {status, {}, {}};
    } catch (const nlohmann::json::exception &failure) {
        return {status, {}, failure.what()};
    }
}

} // namespace knapweed
