// Runs the simulation in steps of a few milliseconds.

#include "cell/simulation.h"

#include "cell/builders.h"

#include <algorithm>

namespace knapweed::cell
{

namespace
{

constexpr Milliseconds stepTime {5};
constexpr Milliseconds confirmationLifetime {1000};
const Resources fullCapacity {16000, 65536, 8};

} // namespace

Simulation::Simulation(SimulationOptions options)
    : options_(options)
    , random_(options.seed)
    , independentRandom_(options.seed, 77)
{
    if (options_.breaksGangsLate) {
        shared_.gangEndDelay = [this]() {
            return independentBetween(50, 200);
        };
    }
    for (int i = 0; i < options_.agents; ++i) {
        const std::string name = "a" + std::to_string(i);
        AgentNode &node = agents_[name];
        node.name = name;
        node.endpoint = std::make_unique<FakeEndpoint>(shared_, "i-" + name, fullCapacity, i % 2 == 0 ? 1.0 : 0.98);
        node.endpoint->advance(now_);
        node.endpoint->restart(incarnation_);
        node.failureDomain = options_.evacuatesDomains && i % 2 == 0 ? "west-a" : "west-b";
        startAgent(node);
    }
    newScheduler();
}

Simulation::~Simulation() = default;

void Simulation::after(Milliseconds delay, std::function<void()> event)
{
    events_.emplace(now_ + delay, std::move(event));
}

double Simulation::chance()
{
    return double(random_()) / 4294967296.0;
}

Milliseconds Simulation::between(int least, int most)
{
    return Milliseconds(least + static_cast<int>(random_(static_cast<std::uint32_t>(most - least + 1))));
}

double Simulation::independentChance()
{
    return double(independentRandom_()) / 4294967296.0;
}

Milliseconds Simulation::independentBetween(int least, int most)
{
    return Milliseconds(least + static_cast<int>(independentRandom_(static_cast<std::uint32_t>(most - least + 1))));
}

void Simulation::newScheduler()
{
    std::shared_ptr<SchedulerNode> node = std::make_shared<SchedulerNode>();
    node->generation = static_cast<std::int64_t>(schedulers_.size()) + 1;
    node->name = "s" + std::to_string(node->generation);
    epoch_ = node->generation;
    node->scheduler = std::make_unique<Scheduler>(SchedulerOptions {node->generation, simulatedLease, options_.evacuatesDomains});
    node->scheduler->load(records_, now_, WallTime(now_.time_since_epoch()));
    node->scheduler->setConfiguration(plainConfiguration());
    node->scheduler->confirmLeases(BootTime::max());
    node->scheduler->beginRecovery(now_);
    // The previous scheduler may go on for a while before it notices that it has lost leadership.
    if (!schedulers_.empty()) {
        const Milliseconds noticeTime = options_.hasMemberships ? independentBetween(0, 8000) : between(0, 2500);
        after(noticeTime, [this, old = schedulers_.back()]() {
            whenAwake(old->name, [old]() {
                old->isGone = true;
            });
        });
    }
    schedulers_.push_back(node);
    membershipUntil_ = now_ + membershipLifetime;
}

void Simulation::flush(SchedulerNode &node)
{
    SchedulerOutput output = node.scheduler->takeOutput();
    for (const auto &[peer, message] : output.messages) {
        deliver(node.name, peer, message);
    }
    if (!output.writes.empty()) {
        node.unwritten.emplace_back(output.lastWrite, std::move(output.writes));
    }
    for (const std::shared_ptr<SchedulerNode> &known : schedulers_) {
        if (known.get() == &node) {
            writeNext(known);
        }
    }
}

void Simulation::writeNext(const std::shared_ptr<SchedulerNode> &node)
{
    if (node->isWriting || node->isGone || node->unwritten.empty()) {
        return;
    }
    if (isCutOff(*node)) {
        after(Milliseconds(50), [this, node]() {
            whenAwake(node->name, [this, node]() {
                writeNext(node);
            });
        });
        return;
    }
    node->isWriting = true;
    const auto [number, writes] = node->unwritten.front();
    node->unwritten.erase(node->unwritten.begin());
    after(between(1, 6), [this, node, number = number, writes = writes]() {
        if (node->generation != epoch_) {
            whenAwake(node->name, [node]() {
                node->isGone = true;
            });
            return;
        }
        for (const StoreWrite &write : writes) {
            if (write.value.empty()) {
                records_.erase(write.key);
            } else {
                records_[write.key] = write.value;
            }
        }
        // The answer may take a while, and the process may end before it arrives.
        after(between(1, 6), [this, node, number]() {
            whenAwake(node->name, [this, node, number]() {
                node->isWriting = false;
                if (!node->isGone) {
                    node->scheduler->stored(number, now_);
                    flush(*node);
                }
            });
        });
    });
}

void Simulation::step()
{
    now_ += stepTime;
    for (auto &[name, node] : agents_) {
        const bool wasCrashed = node.endpoint->hasCrashed();
        node.endpoint->advance(now_);
        if (node.endpoint->hasCrashed() && !wasCrashed) {
            node.endpointBackAt = now_ + independentBetween(1000, 4000);
        } else if (wasCrashed && now_ >= node.endpointBackAt) {
            ++incarnation_;
            node.endpoint->restart(incarnation_, independentChance() < 0.5 ? node.endpoint->lastStatus().id : "i-" + name + '-' + std::to_string(incarnation_));
        }
    }
    while (!events_.empty() && events_.begin()->first <= now_) {
        const std::function<void()> event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
    }
    checkMembership();
    if (options_.evacuatesDomains) {
        stepEvacuations();
    }
    deliverWaiting();
    wake();
    for (auto &[name, node] : agents_) {
        if (now_ < node.downUntil) {
            continue;
        }
        if (now_ >= node.nextHeartbeat && !node.endpoint->hasCrashed()) {
            node.nextHeartbeat = now_ + Milliseconds(1000);
            whenAwake(name, [target = &node, status = node.endpoint->status()]() {
                target->agent->endpointReported(status);
            });
            wire::SchedulerNotice notice;
            notice.generation = schedulers_.back()->generation;
            notice.address = schedulers_.back()->name;
            deliver(schedulers_.back()->name, name, notice);
        }
        if (now_.time_since_epoch().count() % 100 == 0) {
            tick(name);
        }
    }
    for (const std::shared_ptr<SchedulerNode> &node : std::vector<std::shared_ptr<SchedulerNode>>(schedulers_)) {
        if (now_.time_since_epoch().count() % 20 == 0) {
            tick(node->name);
        }
    }
}

void Simulation::tick(const std::string &process)
{
    if (isPaused(process) || isDown(process)) {
        return;
    }
    const auto agent = agents_.find(process);
    if (agent != agents_.end()) {
        agent->second.agent->tick();
    }
    for (const std::shared_ptr<SchedulerNode> &node : std::vector<std::shared_ptr<SchedulerNode>>(schedulers_)) {
        if (node->name == process && !node->isGone) {
            if (options_.hasMemberships) {
                renewMembership(node);
            } else if (node->generation == epoch_) {
                node->scheduler->confirmTerm(now_ + confirmationLifetime, now_, WallTime(now_.time_since_epoch()));
            }
            node->scheduler->tick(now_, WallTime(now_.time_since_epoch()));
            flush(*node);
        }
    }
}

void Simulation::run(Milliseconds span, bool injectsFaults)
{
    const BootTime end = now_ + span;
    injectsFaults_ = injectsFaults;
    for (auto &[name, node] : agents_) {
        if (options_.resizesEndpoints && !injectsFaults) {
            node.endpoint->resize(fullCapacity);
        }
    }
    if (!injectsFaults) {
        endEvacuations();
    }
    BootTime nextFault = now_ + between(200, 2000);
    BootTime nextCalls = now_;
    while (now_ < end) {
        step();
        if (injectsFaults && now_ >= nextFault) {
            nextFault = now_ + between(200, 2000);
            injectFault();
        }
        if (injectsFaults && now_ >= nextIndependentFault_) {
            nextIndependentFault_ = now_ + independentBetween(200, 2000);
            injectIndependentFault();
        }
        if (now_ >= nextCalls) {
            nextCalls = now_ + Milliseconds(500);
            callForSubmittedJobs();
        }
    }
}

const std::vector<std::string> &Simulation::violations() const
{
    return shared_.violations;
}

std::size_t Simulation::unfinishedJobs() const
{
    const std::map<std::string, Job> &jobs = schedulers_.back()->scheduler->jobs();
    return static_cast<std::size_t>(std::count_if(jobs.begin(), jobs.end(), [](const auto &job) {
        return !job.second.isFinished;
    }));
}

std::size_t Simulation::acceptedJobs() const
{
    return accepted_.size();
}

std::size_t Simulation::succeededJobs() const
{
    return reportedSucceeded_.size();
}

std::size_t Simulation::wronglyFailedJobs() const
{
    const std::map<std::string, Job> &jobs = schedulers_.back()->scheduler->jobs();
    return static_cast<std::size_t>(std::count_if(jobs.begin(), jobs.end(), [](const auto &job) {
        return job.second.hasFailed && job.second.spec.input != crashingInput;
    }));
}

std::vector<std::string> Simulation::jobsGivenUpWithoutCause() const
{
    constexpr std::size_t crashesToGiveUp = 2;
    std::set<std::string> withCause;
    for (const auto &[task, runs] : shared_.crashedRuns) {
        if (runs.size() >= crashesToGiveUp) {
            withCause.insert(task.job);
        }
    }
    std::vector<std::string> found;
    for (const auto &[id, job] : schedulers_.back()->scheduler->jobs()) {
        if (job.hasFailed && withCause.count(id) == 0) {
            found.push_back(id);
        }
    }
    return found;
}

std::int64_t Simulation::generation() const
{
    return schedulers_.back()->generation;
}

} // namespace knapweed::cell
