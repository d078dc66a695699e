// Merging and reading of the evacuation state.

#include "cell/evacuations.h"

#include "base/logging.h"

#include <algorithm>
#include <xxhash.h>

namespace knapweed::cell
{

namespace
{

/// Adds the domains of @p from that @p other does not refute.
void addDomains(Evacuations &result, const Evacuations &from, const Evacuations &other)
{
    for (const auto &[domain, offset] : from.domains) {
        const auto held = other.domains.find(domain);
        if (held != other.domains.end()) {
            result.domains[domain] = std::max(offset, held->second);
        } else if (offset >= other.position) {
            result.domains[domain] = offset;
        }
    }
}

} // namespace

bool isKnown(const Evacuations &evacuations)
{
    return evacuations.position >= 0;
}

bool isEvacuated(const Evacuations &evacuations, const std::string &domain)
{
    return evacuations.domains.count(domain) != 0;
}

Evacuations merged(const Evacuations &left, const Evacuations &right)
{
    Evacuations result;
    result.position = std::max(left.position, right.position);
    addDomains(result, left, right);
    addDomains(result, right, left);
    return result;
}

void applyRecords(Evacuations &evacuations, const std::vector<EvacuationRecord> &records, std::int64_t from, std::int64_t next)
{
    for (const EvacuationRecord &record : records) {
        const auto held = evacuations.domains.find(record.domain);
        const bool isReflected = record.offset < evacuations.position || (held != evacuations.domains.end() && held->second >= record.offset);
        if (isReflected) {
            continue;
        }
        if (record.isRequested) {
            evacuations.domains[record.domain] = record.offset;
        } else if (held != evacuations.domains.end()) {
            evacuations.domains.erase(held);
        }
    }
    if (isKnown(evacuations) && evacuations.position >= from) {
        evacuations.position = std::max(evacuations.position, next);
    }
}

std::int64_t versionOf(const Evacuations &evacuations)
{
    std::string text = std::to_string(evacuations.position);
    for (const auto &[domain, offset] : evacuations.domains) {
        text += '\n' + domain + ' ' + std::to_string(offset);
    }
    return static_cast<std::int64_t>(XXH64(text.data(), text.size(), 0));
}

bool mayStart(const Evacuations &own, const std::string &domain, const std::optional<SchedulerView> &order)
{
    if (!isKnown(own) || (order && order->isEvacuated)) {
        return false;
    }
    const auto held = own.domains.find(domain);
    return held == own.domains.end() || (order && order->position > std::max(own.position, held->second));
}

std::vector<EvacuationChange> changesBetween(const Evacuations &before, const Evacuations &after)
{
    std::vector<EvacuationChange> changes;
    for (const auto &[domain, offset] : after.domains) {
        if (!isEvacuated(before, domain)) {
            changes.push_back({domain, offset, true});
        }
    }
    for (const auto &[domain, offset] : before.domains) {
        if (!isEvacuated(after, domain)) {
            changes.push_back({domain, offset, false});
        }
    }
    return changes;
}

void logChanges(const Evacuations &before, const Evacuations &after, const char *source)
{
    for (const EvacuationChange &change : changesBetween(before, after)) {
        logEvent(LogLevel::Info,
            change.isRequested ? "evacuation.requested" : "evacuation.ended",
            {{"domain", change.domain}, {"offset", std::to_string(change.offset)}, {"source", source}});
    }
}

wire::EvacuationState wireEvacuations(const Evacuations &evacuations)
{
    wire::EvacuationState state;
    state.position = evacuations.position;
    for (const auto &[domain, offset] : evacuations.domains) {
        wire::EvacuatedDomain row;
        row.name = domain;
        row.offset = offset;
        state.domains.push_back(std::move(row));
    }
    return state;
}

Evacuations evacuationsOf(const wire::EvacuationState &state)
{
    Evacuations evacuations;
    evacuations.position = state.position;
    for (const wire::EvacuatedDomain &row : state.domains) {
        evacuations.domains[row.name] = row.offset;
    }
    return evacuations;
}

} // namespace knapweed::cell
