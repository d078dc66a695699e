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

/// The same for the options that came later.
void Simulation::injectNewFault()
{
    AgentNode &node = std::next(agents_.begin(), newBetween(0, options_.agents - 1).count())->second;
    const std::string &scheduler = schedulers_.back()->name;
    std::vector<std::function<void()>> faults;
    if (options_.delaysMessages) {
        faults.emplace_back([this, &node, &scheduler]() {
            const bool isAgent = newChance() < 0.75;
            processes_[isAgent ? node.name : scheduler].disconnectedUntil = now_ + newBetween(50, isAgent ? 12000 : 4000);
        });
    }
    if (options_.pausesAgents) {
        faults.emplace_back([this, &node]() {
            processes_[node.name].pausedUntil = now_ + newBetween(50, 9000);
        });
    }
    if (options_.pausesSchedulers) {
        faults.emplace_back([this, &scheduler]() {
            processes_[scheduler].pausedUntil = now_ + newBetween(50, 7000);
        });
    }
    if (options_.renamesEndpoints) {
        faults.emplace_back([this, &node]() {
            ++incarnation_;
            const std::string first = "i-" + node.name;
            node.endpoint->restart(incarnation_, newChance() < 0.25 ? first : first + '-' + std::to_string(incarnation_));
        });
    }
    if (options_.restartsAgents && !isDown(node.name)) {
        faults.emplace_back([this, &node]() {
            killAgent(node, newBetween(20, newChance() < 0.5 ? 300 : 9000));
        });
    }
    if (!faults.empty()) {
        faults[static_cast<std::size_t>(newBetween(0, static_cast<int>(faults.size()) - 1).count())]();
    }
}

} // namespace knapweed::cell
