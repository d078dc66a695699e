// One tick: faults, ends, arrivals, cancellations, reports, then a decision round whose placements start at once.

#include "simulation.h"

#include "cputime.h"
#include "fragmentation.h"
#include "owedshapes.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>

namespace knapweed::bench
{

namespace
{

using planning::AcceleratorSet;
using planning::Decision;
using planning::Place;
using planning::PlacedMember;
using planning::Preempt;
using planning::Refuse;
using planning::Shape;

constexpr Milliseconds tick {100};
constexpr Milliseconds failureDelay {1000}; ///< a failing worker's tasks fail after this time
constexpr Milliseconds stopTime {200}; ///< to stop a gang that doesn't checkpoint
constexpr int attemptLimit = 5;
constexpr int drainFactor = 3; ///< the run ends at the latest at this multiple of the horizon

struct SimulatedWorker
{
    planning::Worker report;
    AcceleratorSet free = 0;
    bool isPresent = true;
    bool isFailing = false;
    bool hasChanged = true;
};

enum class EndCause { Done, Failed, Preempted };

struct RunningGang
{
    std::size_t job = 0;
    std::vector<PlacedMember> members;
    Milliseconds startedAt {0};
    Milliseconds endsAt {0};
    EndCause cause = EndCause::Done;
    bool isPreempted = false;
    int generation = 0;
};

struct PendingEnd
{
    Milliseconds at {0};
    std::size_t job = 0;
    int generation = 0;

    bool operator>(const PendingEnd &other) const
    {
        return at != other.at ? at > other.at : job > other.job;
    }
};

struct JobState
{
    Milliseconds done {0}; ///< run time saved by checkpoints
    int attempts = 0;
    Milliseconds queuedAt {0};
    int failures = 0;
    std::vector<std::string> avoid;
};

class Simulation
{
public:
    Simulation(const Workload &workload, SchedulerKind kind)
        : workload_(workload)
        , scheduler_(makeScheduler(kind))
        , random_(workload.seed * 7919 + 17)
        , states_(workload.jobs.size())
        , owed_(workload.policy)
    {
    }

    SimulationResult run();

private:
    void begin();
    void applyFaults();
    void loseWorker(SimulatedWorker &worker);
    void endGangs();
    void endGang(std::size_t job);
    void arrive();
    void enqueue(std::size_t job);
    void cancelWave(double share);
    void report();
    void decide();
    void start(const Place &place);
    void preempt(const Preempt &preempt);
    void sample();
    void setEnd(std::size_t job, JobEnd end);
    void addService(const RunningGang &gang);
    void setParts(const RunningGang &gang, bool isRunning);
    bool isOver() const;
    Shape largestShape() const;
    SimulatedWorker &worker(const std::string &id);

    const Workload &workload_;
    Scheduler scheduler_;
    pcg32 random_;
    SimulationResult result_;
    std::vector<JobState> states_;
    std::vector<SimulatedWorker> workers_;
    std::unordered_map<std::string, std::size_t> workerIndex_;
    std::unordered_map<std::string, std::size_t> jobIndex_;
    std::unordered_map<std::size_t, RunningGang> running_;
    std::priority_queue<PendingEnd, std::vector<PendingEnd>, std::greater<>> ends_;
    std::set<std::size_t> waiting_;
    OwedShapes owed_;
    std::size_t nextJob_ = 0;
    std::size_t nextWave_ = 0;
    std::size_t openJobs_ = 0;
    Milliseconds now_ {0};
    int generation_ = 0;
    double fragmentationSum_ = 0;
    std::int64_t samples_ = 0;
    double busy_ = 0;
};

MonotonicTime timeAt(Milliseconds time)
{
    return MonotonicTime {} + std::chrono::hours(1) + time;
}

SimulatedWorker &Simulation::worker(const std::string &id)
{
    return workers_[workerIndex_.at(id)];
}

void Simulation::begin()
{
    for (const planning::Worker &worker : workload_.workers) {
        workerIndex_[worker.id] = workers_.size();
        workers_.push_back({worker, planning::firstAccelerators(worker.accelerators)});
    }
    for (std::size_t number = 0; number < workload_.jobs.size(); ++number) {
        const SimulatedJob &job = workload_.jobs[number];
        jobIndex_[job.waiting.id] = number;
        JobRecord record;
        record.account = job.waiting.account;
        record.kind = job.waiting.kind;
        record.isLarge = job.isLarge;
        record.isUrgent = job.waiting.urgent;
        record.arrival = job.arrival;
        record.run = job.run;
        record.accelerators = acceleratorsOf(job.waiting.shape);
        result_.jobs.push_back(record);
    }
    openJobs_ = workload_.jobs.size();
    scheduler_.setPolicy(workload_.policy);
}

void Simulation::applyFaults()
{
    for (const WorkerFault &fault : workload_.faults) {
        SimulatedWorker &faulty = worker(fault.worker);
        if (fault.from <= now_ && now_ < fault.from + tick) {
            if (fault.isLost) {
                loseWorker(faulty);
            } else {
                faulty.isFailing = true;
            }
        }
        if (fault.until <= now_ && now_ < fault.until + tick) {
            faulty.isFailing = false;
            faulty.isPresent = true;
            faulty.hasChanged = true;
        }
    }
}

void Simulation::loseWorker(SimulatedWorker &worker)
{
    std::set<std::size_t> gangs;
    for (const planning::Part &part : worker.report.parts) {
        gangs.insert(jobIndex_.at(part.job));
    }
    worker.isPresent = false;
    scheduler_.removeWorker(timeAt(now_), worker.report.id);
    for (const std::size_t job : gangs) {
        running_[job].cause = EndCause::Failed;
        endGang(job);
    }
}

void Simulation::setParts(const RunningGang &gang, bool isRunning)
{
    const SimulatedJob &job = workload_.jobs[gang.job];
    for (const PlacedMember &member : gang.members) {
        SimulatedWorker &host = worker(member.worker);
        host.hasChanged = true;
        if (!isRunning) {
            host.free |= planning::toSet(member.accelerators);
            std::erase_if(host.report.parts, [&job](const planning::Part &part) {
                return part.job == job.waiting.id;
            });
            continue;
        }
        host.free &= ~planning::toSet(member.accelerators);
        planning::Part part;
        part.job = job.waiting.id;
        part.attemptNumber = states_[gang.job].attempts;
        part.account = job.waiting.account;
        part.kind = job.waiting.kind;
        part.lead = gang.members.front().agent;
        part.accelerators = member.accelerators;
        part.processors = job.waiting.shape.processorsPerTask;
        part.memoryMib = job.waiting.shape.memoryMibPerTask;
        part.gangSize = job.waiting.shape.tasks;
        part.checkpointable = job.waiting.checkpointable;
        part.repeatable = job.waiting.repeatable;
        part.startedAt = timeAt(now_);
        part.checkpointedAt = timeAt(now_);
        host.report.parts.push_back(part);
        ++host.report.startedTasks;
    }
}

void Simulation::addService(const RunningGang &gang)
{
    const Milliseconds from = gang.startedAt;
    const Milliseconds until = std::min(now_, workload_.horizon);
    if (until > from) {
        const double seconds = std::chrono::duration<double>(until - from).count() * acceleratorsOf(workload_.jobs[gang.job].waiting.shape);
        result_.service[workload_.jobs[gang.job].waiting.account] += seconds;
        busy_ += seconds;
    }
}

void Simulation::endGangs()
{
    while (!ends_.empty() && ends_.top().at <= now_) {
        const PendingEnd end = ends_.top();
        ends_.pop();
        const auto gang = running_.find(end.job);
        if (gang != running_.end() && gang->second.generation == end.generation) {
            endGang(end.job);
        }
    }
}

void Simulation::endGang(std::size_t job)
{
    const RunningGang gang = running_.at(job);
    running_.erase(job);
    setParts(gang, false);
    addService(gang);
    const SimulatedJob &spec = workload_.jobs[job];
    JobState &state = states_[job];
    const Milliseconds ran = now_ - gang.startedAt;
    if (gang.cause == EndCause::Done) {
        scheduler_.recordRun(spec.waiting.account, spec.waiting.kind, ran);
        setEnd(job, JobEnd::Completed);
        return;
    }
    if (gang.cause == EndCause::Preempted) {
        ++result_.preemptions;
        if (spec.waiting.checkpointable) {
            state.done += ran;
        } else {
            result_.lostSeconds += std::chrono::duration<double>(ran).count() * acceleratorsOf(spec.waiting.shape);
        }
        owed_.jobStopped(now_, spec.waiting);
        enqueue(job);
        return;
    }
    for (const PlacedMember &member : gang.members) {
        SimulatedWorker &host = worker(member.worker);
        if (host.isFailing) {
            ++host.report.failedTasks;
            state.avoid.push_back(member.worker);
        }
    }
    ++state.failures;
    if (!spec.waiting.repeatable || state.failures >= attemptLimit) {
        setEnd(job, JobEnd::Failed);
        return;
    }
    owed_.jobStopped(now_, spec.waiting);
    enqueue(job);
}

void Simulation::setEnd(std::size_t job, JobEnd end)
{
    result_.jobs[job].end = end;
    result_.jobs[job].finished = now_;
    owed_.jobEnded(workload_.jobs[job].waiting, waiting_.erase(job) == 0);
    --openJobs_;
    scheduler_.removeJob(workload_.jobs[job].waiting.id);
}

void Simulation::enqueue(std::size_t job)
{
    planning::WaitingJob waiting = workload_.jobs[job].waiting;
    waiting.enqueuedAt = timeAt(workload_.jobs[job].arrival);
    std::vector<std::string> &avoid = states_[job].avoid;
    std::sort(avoid.begin(), avoid.end());
    avoid.erase(std::unique(avoid.begin(), avoid.end()), avoid.end());
    waiting.avoidWorkers = avoid;
    waiting_.insert(job);
    states_[job].queuedAt = now_;
    scheduler_.addJob(waiting);
}

void Simulation::arrive()
{
    while (nextJob_ < workload_.jobs.size() && workload_.jobs[nextJob_].arrival <= now_) {
        owed_.jobArrived(workload_.jobs[nextJob_].waiting);
        enqueue(nextJob_++);
    }
    while (nextWave_ < workload_.waves.size() && workload_.waves[nextWave_].at <= now_) {
        cancelWave(workload_.waves[nextWave_++].share);
    }
}

void Simulation::cancelWave(double share)
{
    std::bernoulli_distribution isHit(share);
    const std::vector<std::size_t> waiting(waiting_.begin(), waiting_.end());
    for (const std::size_t job : waiting) {
        if (isHit(random_)) {
            setEnd(job, JobEnd::Cancelled);
        }
    }
}

void Simulation::report()
{
    for (SimulatedWorker &worker : workers_) {
        if (worker.isPresent && worker.hasChanged) {
            scheduler_.updateWorker(timeAt(now_), worker.report);
            worker.hasChanged = false;
        }
    }
}

void Simulation::decide()
{
    const Microseconds before = cpuTime();
    const std::vector<Decision> decisions = scheduler_.decide(timeAt(now_));
    result_.rounds.push_back(cpuTime() - before);
    for (const Decision &decision : decisions) {
        if (const Place *place = std::get_if<Place>(&decision)) {
            start(*place);
        } else if (const Preempt *order = std::get_if<Preempt>(&decision)) {
            preempt(*order);
        } else {
            setEnd(jobIndex_.at(std::get<Refuse>(decision).job), JobEnd::Refused);
        }
    }
}

void Simulation::start(const Place &place)
{
    const std::size_t job = jobIndex_.at(place.job);
    const bool isHeld = std::all_of(place.members.begin(), place.members.end(), [this](const PlacedMember &member) {
        const SimulatedWorker &host = worker(member.worker);
        return host.isPresent && (planning::toSet(member.accelerators) & ~host.free) == 0;
    });
    if (!isHeld) {
        ++result_.doubleGrants;
        const Milliseconds queuedAt = states_[job].queuedAt;
        enqueue(job);
        states_[job].queuedAt = queuedAt;
        return;
    }
    JobState &state = states_[job];
    ++state.attempts;
    result_.jobs[job].waited += now_ - std::max(state.queuedAt, workload_.jobs[job].arrival);
    waiting_.erase(job);
    RunningGang gang {job, place.members, now_, now_ + std::max(workload_.jobs[job].run - state.done, tick)};
    gang.generation = ++generation_;
    for (const PlacedMember &member : place.members) {
        if (worker(member.worker).isFailing) {
            gang.cause = EndCause::Failed;
            gang.endsAt = std::min(gang.endsAt, now_ + failureDelay);
        }
    }
    ends_.push({gang.endsAt, job, gang.generation});
    setParts(gang, true);
    running_[job] = gang;
    if (result_.jobs[job].firstStart.count() < 0) {
        result_.jobs[job].firstStart = now_;
    }
    owed_.jobStarted(now_, workload_.jobs[job].waiting);
}

void Simulation::preempt(const Preempt &preempt)
{
    const auto found = running_.find(jobIndex_.at(preempt.job));
    if (found == running_.end() || found->second.isPreempted) {
        return;
    }
    RunningGang &gang = found->second;
    gang.isPreempted = true;
    const Milliseconds grace = workload_.policy.preemptionGrace;
    const Milliseconds taken =
        workload_.jobs[gang.job].waiting.checkpointable ? Milliseconds(std::uniform_int_distribution<std::int64_t>(200, grace.count())(random_)) : stopTime;
    if (now_ + taken < gang.endsAt) {
        gang.endsAt = now_ + taken;
        gang.cause = EndCause::Preempted;
        gang.generation = ++generation_;
        ends_.push({gang.endsAt, gang.job, gang.generation});
    }
}

Shape Simulation::largestShape() const
{
    Shape largest = owed_.largest();
    for (const std::size_t job : waiting_) {
        const SimulatedJob &spec = workload_.jobs[job];
        if (!spec.canNeverRun && acceleratorsOf(spec.waiting.shape) > acceleratorsOf(largest)) {
            largest = spec.waiting.shape;
        }
    }
    return largest;
}

void Simulation::sample()
{
    if (now_ >= workload_.horizon || now_.count() % 1000 != 0) {
        return;
    }
    std::vector<FreeWorker> free;
    for (const SimulatedWorker &worker : workers_) {
        if (worker.isPresent) {
            free.push_back({worker.report.rack, worker.free});
        }
    }
    fragmentationSum_ += fragmentation(free, largestShape());
    ++samples_;
}

bool Simulation::isOver() const
{
    return openJobs_ == 0 || now_ >= workload_.horizon * drainFactor;
}

SimulationResult Simulation::run()
{
    begin();
    for (; !isOver(); now_ += tick) {
        applyFaults();
        endGangs();
        arrive();
        report();
        owed_.note(now_);
        decide();
        sample();
    }
    double accelerators = 0;
    for (const planning::Worker &worker : workload_.workers) {
        accelerators += worker.accelerators;
    }
    result_.fragmentation = samples_ == 0 ? 0 : fragmentationSum_ / static_cast<double>(samples_);
    result_.utilisation = busy_ / (accelerators * std::chrono::duration<double>(workload_.horizon).count());
    result_.reclaims = owed_.reclaims();
    return result_;
}

} // namespace

SimulationResult simulate(const Workload &workload, SchedulerKind kind)
{
    return Simulation(workload, kind).run();
}

} // namespace knapweed::bench
