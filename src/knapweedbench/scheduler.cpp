// Binds the planner and the baselines to the driver's functions.

#include "scheduler.h"

#include "baseline.h"

#include <memory>

namespace knapweed::bench
{

namespace
{

Scheduler makeProduct()
{
    const std::shared_ptr<planning::Planner> planner = std::make_shared<planning::Planner>();
    Scheduler scheduler;
    scheduler.setPolicy = [planner](const planning::Policy &policy) {
        planner->setPolicy(policy);
    };
    scheduler.updateWorker = [planner](MonotonicTime now, const planning::Worker &worker) {
        planner->updateWorker(now, worker);
    };
    scheduler.removeWorker = [planner](MonotonicTime now, const std::string &worker) {
        planner->removeWorker(now, worker);
    };
    scheduler.addJob = [planner](const planning::WaitingJob &job) {
        planner->addJob(job);
    };
    scheduler.removeJob = [planner](const std::string &job) {
        planner->removeJob(job);
    };
    scheduler.recordRun = [planner](const std::string &account, const std::string &kind, Milliseconds run) {
        planner->recordRun(account, kind, run);
    };
    scheduler.decide = [planner](MonotonicTime now) {
        return planner->decide(now);
    };
    return scheduler;
}

Scheduler makeBaseline(bool isBestFit)
{
    const std::shared_ptr<Baseline> baseline = std::make_shared<Baseline>(isBestFit);
    Scheduler scheduler;
    scheduler.setPolicy = [](const planning::Policy &) {};
    scheduler.updateWorker = [baseline](MonotonicTime, const planning::Worker &worker) {
        baseline->updateWorker(worker);
    };
    scheduler.removeWorker = [baseline](MonotonicTime, const std::string &worker) {
        baseline->removeWorker(worker);
    };
    scheduler.addJob = [baseline](const planning::WaitingJob &job) {
        baseline->addJob(job);
    };
    scheduler.removeJob = [baseline](const std::string &job) {
        baseline->removeJob(job);
    };
    scheduler.recordRun = [](const std::string &, const std::string &, Milliseconds) {};
    scheduler.decide = [baseline](MonotonicTime) {
        return baseline->decide();
    };
    return scheduler;
}

} // namespace

const char *nameOf(SchedulerKind kind)
{
    switch (kind) {
    case SchedulerKind::Product:
        return "product";
    case SchedulerKind::FirstFit:
        return "first-fit";
    case SchedulerKind::BestFit:
        return "best-fit";
    }
    return "";
}

Scheduler makeScheduler(SchedulerKind kind)
{
    return kind == SchedulerKind::Product ? makeProduct() : makeBaseline(kind == SchedulerKind::BestFit);
}

} // namespace knapweed::bench
