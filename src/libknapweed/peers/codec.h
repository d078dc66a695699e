// Encodes and decodes the messages between the system's processes: one type byte, followed by the body in the Thrift compact protocol.
#pragma once

#include "base/result.h"
#include "peers/gen/peers_types.h"

#include <string>
#include <variant>

namespace knapweed
{

/// All messages between processes. The index of a type in this list is its type byte on the wire, so new types may only be appended.
using PeerMessage = std::variant<wire::Hello,
    wire::Heartbeat,
    wire::ConfigurationOffer,
    wire::AgentReport,
    wire::PlacementRequest,
    wire::PlacementWithdrawal,
    wire::Placement,
    wire::PlacementRefusal,
    wire::GangRequest,
    wire::GangAck,
    wire::HoldRequest,
    wire::HoldReply,
    wire::ArmRequest,
    wire::ArmReply,
    wire::GoRequest,
    wire::GoReply,
    wire::RenewRequest,
    wire::RenewReply,
    wire::PartReport,
    wire::PartAck,
    wire::StopRequest,
    wire::StopReply,
    wire::EndAttempt,
    wire::EndAttemptReply,
    wire::OutcomeReport,
    wire::OutcomeAck,
    wire::AttemptQuery,
    wire::JobCancel,
    wire::EndpointReport,
    wire::EndpointGrant,
    wire::StartOrder,
    wire::StartResult,
    wire::StopOrder,
    wire::RunAbsent,
    wire::SchedulerNotice,
    wire::JobCall,
    wire::JobAnswer,
    wire::CellConfigurationOffer,
    wire::EvacuationState>;

struct CodecError
{
    std::string detail;
};

std::string encodeMessage(const PeerMessage &message);

/// Returns an error for malformed or truncated messages and for unknown types; never throws.
Result<PeerMessage, CodecError> decodeMessage(const std::string &bytes);

} // namespace knapweed
