// Measures how long a guaranteed shape stays owed: a job of that shape waits while its account runs no job of more than half the shape's size.
#pragma once

#include "workload.h"

#include <string>
#include <vector>

namespace knapweed::bench
{

class OwedShapes
{
public:
    explicit OwedShapes(const planning::Policy &policy);

    void jobArrived(const planning::WaitingJob &job);
    void jobStarted(Milliseconds now, const planning::WaitingJob &job);
    void jobStopped(Milliseconds now, const planning::WaitingJob &job); ///< it waits again
    void jobEnded(const planning::WaitingJob &job, bool wasRunning);
    void note(Milliseconds now);

    const planning::Shape &largest() const;
    const std::vector<Milliseconds> &reclaims() const;

private:
    struct Guarantee
    {
        std::string account;
        planning::Shape shape;
        int waiting = 0;
        int running = 0; ///< jobs of the account with more than half of the shape's accelerators
        Milliseconds owedSince {-1};
    };

    std::vector<Guarantee> guarantees_;
    planning::Shape largest_;
    std::vector<Milliseconds> reclaims_;
};

int acceleratorsOf(const planning::Shape &shape);

} // namespace knapweed::bench
