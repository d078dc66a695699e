// The JSON documents and refusals that callers read.
#pragma once

#include "base/http.h"
#include "callers/job.h"
#include "callers/jobrequest.h"
#include "logservice/jobfold.h"

#include <string>

namespace knapweed
{

/// 200 with the job's state, and its outcome once it has one.
HttpResponse jobResponse(const Job &job, const std::string &waitReason);

/// The same for a job that is known from the log only.
HttpResponse foldedJobResponse(const FoldedJob &job);

/// 202 with the job's location.
HttpResponse acceptedResponse(const Job &job);

/// A refusal: the request certainly did not run and will not.
HttpResponse refusalResponse(const RequestError &error);

} // namespace knapweed
