// Lookups in the configuration.

#include "cell/configuration.h"

namespace knapweed::cell
{

const Queue *findQueue(const CellConfiguration &configuration, const std::string &host, const std::string &path)
{
    const Queue *best = nullptr;
    for (const Queue &queue : configuration.queues) {
        const bool matches = queue.host == host && path.compare(0, queue.pathPrefix.size(), queue.pathPrefix) == 0;
        if (matches && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const Queue *queueNamed(const CellConfiguration &configuration, const std::string &name)
{
    for (const Queue &queue : configuration.queues) {
        if (queue.name == name) {
            return &queue;
        }
    }
    return nullptr;
}

std::int64_t guaranteedAccelerators(const CellConfiguration &configuration, const std::string &account)
{
    for (const Account &candidate : configuration.accounts) {
        if (candidate.name == account) {
            return candidate.guaranteedAccelerators;
        }
    }
    return 0;
}

} // namespace knapweed::cell
