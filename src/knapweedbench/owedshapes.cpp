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

OwedShapes::Guarantee *OwedShapes::find(const planning::WaitingJob &job)
{
    for (Guarantee &guarantee : guarantees_) {
        if (guarantee.account == job.account && isSameShape(guarantee.shape, job.shape)) {
            return &guarantee;
        }
    }
    return nullptr;
}

void OwedShapes::jobArrived(const planning::WaitingJob &job)
{
    if (Guarantee *guarantee = find(job)) {
        ++guarantee->waiting;
    }
}

void OwedShapes::jobStarted(Milliseconds now, const planning::WaitingJob &job)
{
    if (Guarantee *guarantee = find(job)) {
        --guarantee->waiting;
        ++guarantee->running;
        if (guarantee->owedSince != notOwed) {
            reclaims_.push_back(now - guarantee->owedSince);
            guarantee->owedSince = notOwed;
        }
    }
}

void OwedShapes::jobStopped(Milliseconds now, const planning::WaitingJob &job)
{
    if (Guarantee *guarantee = find(job)) {
        ++guarantee->waiting;
        --guarantee->running;
    }
    note(now);
}

void OwedShapes::jobEnded(const planning::WaitingJob &job, bool wasRunning)
{
    if (Guarantee *guarantee = find(job)) {
        --(wasRunning ? guarantee->running : guarantee->waiting);
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
