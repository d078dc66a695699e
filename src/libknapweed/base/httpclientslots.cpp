// Moves places between the busy ones, the free ones of a target and the empty ones.

#include "base/httpclientslots.h"

#include "base/invariant.h"

#include <utility>

namespace knapweed
{

std::size_t HttpClientSlots::take(const Address &target, bool needsNewConnection)
{
    const auto found = needsNewConnection ? free_.end() : free_.find(toString(target));
    std::vector<std::size_t> &places = found == free_.end() ? empty_ : found->second;
    if (places.empty()) {
        places.push_back(slots_.size());
        slots_.emplace_back();
    }
    const std::size_t place = places.back();
    places.pop_back();
    if (found != free_.end() && places.empty()) {
        free_.erase(found);
    }
    slots_[place].target = target;
    slots_[place].isBusy = true;
    return place;
}

void HttpClientSlots::put(std::size_t place)
{
    HttpClientSlot &slot = slots_[place];
    assertInvariant(slot.isBusy, "only a busy place is given back");
    slot.isBusy = false;
    (slot.handles == 0 ? empty_ : free_[toString(slot.target)]).push_back(place);
}

void HttpClientSlots::dropHandle(std::size_t place)
{
    HttpClientSlot &slot = slots_[place];
    --slot.handles;
    assertInvariant(slot.handles >= 0, "a place counts its handles");
    if (slot.isClosing && slot.handles == 0) {
        slot.isClosing = false;
        slot.isBusy = false;
        empty_.push_back(place);
        return;
    }
    const auto found = free_.find(toString(slot.target));
    if (slot.isBusy || slot.handles > 0 || found == free_.end()) {
        return;
    }
    std::erase(found->second, place);
    if (found->second.empty()) {
        free_.erase(found);
    }
    empty_.push_back(place);
}

bool HttpClientSlots::beginClosing(const Address &target)
{
    const auto found = free_.find(toString(target));
    if (found == free_.end()) {
        return false;
    }
    for (const std::size_t place : found->second) {
        slots_[place].isBusy = true;
        slots_[place].isClosing = true;
    }
    free_.erase(found);
    return true;
}

HttpClientSlot &HttpClientSlots::operator[](std::size_t place)
{
    return slots_[place];
}

const std::vector<HttpClientSlot> &HttpClientSlots::all() const
{
    return slots_;
}

} // namespace knapweed
