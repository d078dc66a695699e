// Factory functions for short messages, because the types that Thrift generates have no constructors that take field values.
#pragma once

#include "peers/gen/peers_types.h"

#include <string>

namespace knapweed
{

wire::OutcomeAck makeOutcomeAck(const wire::AttemptId &attempt);
wire::PlacementWithdrawal makePlacementWithdrawal(const std::string &job, const std::string &home);
wire::JobCancel makeJobCancel(const std::string &job);

} // namespace knapweed
