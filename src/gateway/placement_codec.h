#pragma once

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/routing/dispatch_point.h>
#include <buckthorncroft/wire/placement.pb.h>
#include <string>
#include <vector>

/// Converts between the messages of the placement protocol and the types of the dispatch point. Points in time are sent
/// as durations relative to now, because the clocks of instances differ. Unknown enumerator values are decoded as
/// `NonIdempotent`, `Cancelled` or `RetryBudgetExhausted`. `sender` is the instance that sent the message.
namespace buckthorncroft::gateway {

void encode(const routing::DispatchRequest& request, const std::vector<routing::HeldSlot>& held, base::SteadyTime now,
    wire::proto::SlotRequest& message);
routing::DispatchRequest decodeRequest(
    const wire::proto::SlotRequest& message, const std::string& sender, base::SteadyTime now);
std::vector<routing::HeldSlot> decodeHeldSlots(const wire::proto::SlotRequest& message);

void encode(const routing::DispatchDecision& decision, wire::proto::SlotDecision& message);
routing::DispatchDecision decodeDecision(const wire::proto::SlotDecision& message);

void encode(const routing::DispatchOutcome& outcome, wire::proto::SlotOutcome& message);
routing::DispatchOutcome decodeOutcome(const wire::proto::SlotOutcome& message, const std::string& sender);

} // namespace buckthorncroft::gateway
