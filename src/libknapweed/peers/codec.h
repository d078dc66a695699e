// Encodes the messages between the system's processes: one byte of type, then the Thrift compact form.
#pragma once

#include "base/result.h"
#include "peers/gen/peers_types.h"

#include <string>
#include <variant>

namespace knapweed
{

/// Every message that one process may send another. A type's place is its number on the wire: add at the end only.
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
    wire::CellConfigurationOffer>;

struct CodecError
{
    std::string detail;
};

std::string encodeMessage(const PeerMessage &message);

/// Never throws; malformed, truncated and unknown messages give an error.
Result<PeerMessage, CodecError> decodeMessage(const std::string &bytes);

} // namespace knapweed
