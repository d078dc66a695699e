// One counter of waiting and running jobs for each guaranteed shape.

#include "owedshapes.h"

namespace knapweed::bench
{

namespace
{

constexpr Milliseconds notOwed {-1};

bool isSameShape(const planning::Shape &left, const planning::Shape &right)
{
    return left.tasks == right.tasks && left.acceleratorsPerTask == right.acceleratorsPerTask && left.adjacency == right.adjacency;
}

bool isFor(const std::string &account, const planning::Shape &shape, const planning::WaitingJob &job)
{
    return account == job.account && isSameShape(shape, job.shape);
}

bool isFilling(const std::string &account, const planning::Shape &shape, const planning::WaitingJob &job)
{
    return account == job.account && 2 * acceleratorsOf(job.shape) > acceleratorsOf(shape);
}

} // namespace

int acceleratorsOf(const planning::Shape &shape)
{
    return shape.tasks * shape.acceleratorsPerTask;
}

OwedShapes::OwedShapes(const planning::Policy &policy)
{
    for (const auto &[name, account] : policy.accounts) {
        for (const planning::Shape &shape : account.guarantee) {
            guarantees_.push_back({name, shape});
            largest_ = acceleratorsOf(shape) > acceleratorsOf(largest_) ? shape : largest_;
        }
    }
}

void OwedShapes::jobArrived(const planning::WaitingJob &job)
{
    for (Guarantee &guarantee : guarantees_) {
        guarantee.waiting += isFor(guarantee.account, guarantee.shape, job) ? 1 : 0;
    }
}

void OwedShapes::jobStarted(Milliseconds now, const planning::WaitingJob &job)
{
    for (Guarantee &guarantee : guarantees_) {
        guarantee.running += isFilling(guarantee.account, guarantee.shape, job) ? 1 : 0;
        if (!isFor(guarantee.account, guarantee.shape, job)) {
            continue;
        }
        --guarantee.waiting;
        if (guarantee.owedSince != notOwed) {
            reclaims_.push_back(now - guarantee.owedSince);
            guarantee.owedSince = notOwed;
        }
    }
}

void OwedShapes::jobStopped(Milliseconds now, const planning::WaitingJob &job)
{
    jobEnded(job, true);
    jobArrived(job);
    note(now);
}

void OwedShapes::jobEnded(const planning::WaitingJob &job, bool wasRunning)
{
    for (Guarantee &guarantee : guarantees_) {
        if (wasRunning) {
            guarantee.running -= isFilling(guarantee.account, guarantee.shape, job) ? 1 : 0;
        } else {
            guarantee.waiting -= isFor(guarantee.account, guarantee.shape, job) ? 1 : 0;
        }
    }
}

void OwedShapes::note(Milliseconds now)
{
    for (Guarantee &guarantee : guarantees_) {
        const bool isOwed = guarantee.waiting > 0 && guarantee.running == 0;
        if (!isOwed) {
            guarantee.owedSince = notOwed;
        } else if (guarantee.owedSince == notOwed) {
            guarantee.owedSince = now;
        }
    }
}

const planning::Shape &OwedShapes::largest() const
{
    return largest_;
}

const std::vector<Milliseconds> &OwedShapes::reclaims() const
{
    return reclaims_;
}

} // namespace knapweed::bench
