// Factory functions for short messages.

#include "peers/messages.h"

namespace knapweed
{

wire::OutcomeAck makeOutcomeAck(const wire::AttemptId &attempt)
{
    wire::OutcomeAck ack;
    ack.attempt = attempt;
    return ack;
}

wire::PlacementWithdrawal makePlacementWithdrawal(const std::string &job, const std::string &home)
{
    wire::PlacementWithdrawal withdrawal;
    withdrawal.job = job;
    withdrawal.home = home;
    return withdrawal;
}

wire::JobCancel makeJobCancel(const std::string &job)
{
    wire::JobCancel cancellation;
    cancellation.job = job;
    return cancellation;
}

} // namespace knapweed
