// Faults that the simulation injects.

#include "cell/simulation.h"

namespace knapweed::cell
{

void Simulation::injectFault()
{
    const double fault = chance() * 5;
    const int index = static_cast<int>(random_(static_cast<std::uint32_t>(options_.agents)));
    AgentNode &node = std::next(agents_.begin(), index)->second;
    if (fault < 1 && options_.changesSchedulers && now_ >= storeDownUntil_) {
        newScheduler();
    } else if (fault < 2 && fault >= 1 && options_.killsAgents) {
        killAgent(node, between(50, 7000));
    } else if (fault < 3 && fault >= 2 && options_.disconnectsAgents) {
        node.disconnectedUntil = now_ + between(100, 8000);
    } else if (fault < 4 && fault >= 3 && options_.restartsEndpoints) {
        node.endpoint->restart(++incarnation_);
    } else if (fault >= 4 && options_.losesStore) {
        storeDownUntil_ = now_ + between(100, 4000);
    }
}

/// A report as another writer may make it up: each field may be that of the endpoint or not.
EndpointStatus Simulation::madeUpStatus(const AgentNode &node)
{
    EndpointStatus status = node.endpoint->lastStatus();
    if (independentChance() < 0.5) {
        status.id = "i-other-" + std::to_string(independentBetween(1, 3).count());
    }
    const std::int64_t muchHigher = status.incarnation + 1000000;
    const std::int64_t incarnations[] = {0, status.incarnation - 1, status.incarnation, status.incarnation + 1, muchHigher};
    status.incarnation = incarnations[independentBetween(0, 4).count()];
    const std::int64_t sequences[] = {1, status.sequence, status.sequence + 1, status.sequence + 5};
    status.sequence = sequences[independentBetween(0, 3).count()];
    if (independentChance() < 0.5) {
        status.service = "other";
    }
    if (independentChance() < 0.5) {
        status.capacity = Resources();
        status.labels.clear();
    }
    return status;
}

/// The other writer repeats its report a few times.
void Simulation::reportMadeUp(AgentNode &node)
{
    EndpointStatus status = madeUpStatus(node);
    const int reports = static_cast<int>(independentBetween(1, 4).count());
    for (int i = 0; i < reports; ++i) {
        after(Milliseconds(1000) * i, [this, target = &node, status]() {
            if (!isDown(target->name)) {
                whenAwake(target->name, [target, status]() {
                    target->agent->endpointReported(status);
                });
            }
        });
        ++status.sequence;
    }
}

/// Injects a fault of the options that draw from independentRandom_.
void Simulation::injectIndependentFault()
{
    AgentNode &node = std::next(agents_.begin(), independentBetween(0, options_.agents - 1).count())->second;
    const std::string &scheduler = schedulers_.back()->name;
    std::vector<std::function<void()>> faults;
    if (options_.delaysMessages) {
        faults.emplace_back([this, &node, &scheduler]() {
            const bool isAgent = independentChance() < 0.75;
            processes_[isAgent ? node.name : scheduler].disconnectedUntil = now_ + independentBetween(50, isAgent ? 12000 : 4000);
        });
    }
    if (options_.pausesAgents) {
        faults.emplace_back([this, &node]() {
            processes_[node.name].pausedUntil = now_ + independentBetween(50, 9000);
        });
    }
    if (options_.pausesSchedulers) {
        faults.emplace_back([this, &scheduler]() {
            processes_[scheduler].pausedUntil = now_ + independentBetween(50, 7000);
        });
    }
    if (options_.cutsOffSchedulers) {
        faults.emplace_back([this]() {
            schedulers_.back()->cutOffUntil = now_ + independentBetween(200, 8000);
        });
    }
    if (options_.hasMemberships) {
        faults.emplace_back([this]() {
            resign();
        });
    }
    if (options_.mutesEndpoints) {
        faults.emplace_back([this, &node]() {
            node.mutedUntil = now_ + independentBetween(1000, 14000);
        });
    }
    if (options_.renamesEndpoints) {
        faults.emplace_back([this, &node]() {
            ++incarnation_;
            const std::string first = "i-" + node.name;
            node.endpoint->restart(incarnation_, independentChance() < 0.25 ? first : first + '-' + std::to_string(incarnation_));
        });
    }
    if (options_.restartsAgents && !isDown(node.name)) {
        faults.emplace_back([this, &node]() {
            killAgent(node, independentBetween(20, independentChance() < 0.5 ? 300 : 9000));
        });
    }
    if (options_.resizesEndpoints) {
        faults.emplace_back([this, &node]() {
            node.endpoint->resize({16000, 65536, independentChance() < 0.5 ? 8 : 2});
        });
    }
    if (options_.evacuatesDomains) {
        faults.emplace_back([this]() {
            changeEvacuation();
        });
    }
    if (options_.hasOtherWriters) {
        faults.emplace_back([this, &node]() {
            reportMadeUp(node);
        });
    }
    if (!faults.empty()) {
        faults[static_cast<std::size_t>(independentBetween(0, static_cast<int>(faults.size()) - 1).count())]();
    }
}

} // namespace knapweed::cell
