// The output of tasks may contain arbitrary bytes. Bytes that are not valid UTF-8 are replaced in the JSON text, which callers can detect by the digest.

#include "callers/jobdocument.h"

#include "callers/jobid.h"

#include <nlohmann/json.hpp>

namespace knapweed
{

namespace
{

using nlohmann::json;

std::string dump(const json &document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

void addOutcome(json &document, wire::Outcome::type outcome, wire::Reason::type reason, const std::string &detail, const std::vector<wire::PartResult> &parts)
{
    document["outcome"] = outcomeName(outcome);
    document["reason"] = reasonName(reason);
    document["detail"] = detail;
    document["parts"] = json::array();
    for (const wire::PartResult &part : parts) {
        document["parts"].push_back({{"worker", part.worker}, {"output", part.output}, {"length", part.length}, {"digest", digestText(part.digest)}});
    }
}

} // namespace

HttpResponse jobResponse(const Job &job, const std::string &waitReason)
{
    json document = {{"job", job.id}, {"kind", job.spec.kind}, {"state", phaseName(job.phase)}, {"attempts", job.attemptsMade}};
    if (job.outcome && isTerminal(job)) {
        addOutcome(document, job.outcome->outcome, job.outcome->reason, job.outcome->detail, job.outcome->parts);
    } else if (!waitReason.empty()) {
        document["wait_reason"] = waitReason;
    }
    return jsonResponse(200, dump(document));
}

HttpResponse foldedJobResponse(const FoldedJob &job)
{
    json document = {{"job", job.submit.job}, {"kind", job.submit.spec.kind}};
    if (job.outcome) {
        document["state"] = "finished";
        addOutcome(document, job.outcome->outcome, job.outcome->reason, job.outcome->detail, job.outcome->parts);
    } else {
        document["state"] = job.start ? "running" : "queued";
    }
    return jsonResponse(200, dump(document));
}

HttpResponse acceptedResponse(const Job &job)
{
    HttpResponse response = jsonResponse(202, dump({{"job", job.id}, {"state", phaseName(job.phase)}}));
    response.headers["location"] = "/v1/jobs/" + job.id;
    return response;
}

HttpResponse refusalResponse(const RequestError &error)
{
    json document = {{"error", error.code}, {"outcome", "not_run"}, {"detail", error.detail}};
    if (!error.field.empty()) {
        document["field"] = error.field;
    }
    return jsonResponse(error.status, dump(document));
}

} // namespace knapweed
