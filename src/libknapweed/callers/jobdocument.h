// JSON responses of the callers' HTTP interface.
#pragma once

#include "base/http.h"
#include "callers/job.h"
#include "callers/jobrequest.h"
#include "logservice/jobfold.h"

#include <string>

namespace knapweed
{

/// 200 with the job's state, and with its outcome once it is finished.
HttpResponse jobResponse(const Job &job, const std::string &waitReason);

/// The same for a job that this entry has only read from the log.
HttpResponse foldedJobResponse(const FoldedJob &job);

/// 202 with the job's location.
HttpResponse acceptedResponse(const Job &job);

/// Refuses a request that is confirmed not to have run and will not run.
HttpResponse refusalResponse(const RequestError &error);

} // namespace knapweed
