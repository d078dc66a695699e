// Judges the answer to a submitted job: its outcome, and whether it is whole and the job's own.
#pragma once

#include "base/httpclient.h"
#include "jobmix.h"

#include <string>

namespace knapweed
{

struct Verdict
{
    std::string outcome; ///< "completed" and so on, "http_429", "not_sent", "interrupted" or "timed_out"
    std::string job; ///< the id that the answer names; empty when it names none
    std::string fault; ///< what is wrong with the answer; empty when it is whole and the job's own
};

Verdict judgeAnswer(const LoadJob &job, const HttpResult &result);

} // namespace knapweed
