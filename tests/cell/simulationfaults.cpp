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
        node.downUntil = now_ + between(50, 7000);
        ++node.incarnation;
        after(node.downUntil - now_, [this, &node]() {
            startAgent(node);
        });
    } else if (fault < 3 && fault >= 2 && options_.disconnectsAgents) {
        node.disconnectedUntil = now_ + between(100, 8000);
    } else if (fault < 4 && fault >= 3 && options_.restartsEndpoints) {
        node.endpoint->restart(++incarnation_);
    } else if (fault >= 4 && options_.losesStore) {
        storeDownUntil_ = now_ + between(100, 4000);
    }
}

} // namespace knapweed::cell
