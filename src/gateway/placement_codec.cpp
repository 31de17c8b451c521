#include "placement_codec.h"

#include <algorithm>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    // Bounds the size of a request. Successive requests list different targets.
    constexpr std::size_t maxConnectedTargets = 16;

    config::RequestKind toRequestKind(std::uint32_t value)
    {
        return value < config::requestKindCount ? static_cast<config::RequestKind>(value)
                                                : config::RequestKind::NonIdempotent;
    }

    health::Verdict toVerdict(std::uint32_t value)
    {
        constexpr auto last = static_cast<std::uint32_t>(health::Verdict::Cancelled);
        return value <= last ? static_cast<health::Verdict>(value) : health::Verdict::Cancelled;
    }

} // namespace

void encode(const routing::DispatchRequest& request, const std::vector<routing::HeldSlot>& held, base::SteadyTime now,
    wire::proto::SlotRequest& message)
{
    message.set_request(request.key.request);
    message.set_zone(request.zone);
    message.set_kind(static_cast<std::uint32_t>(request.kind));
    message.set_priority(request.priority);
    message.set_attempt(request.attempt);
    message.set_useful_ms(
        static_cast<std::int32_t>(duration_cast<milliseconds>(request.objectiveDeadline - now).count()));
    const auto remaining = duration_cast<milliseconds>(request.deadline - now).count();
    message.set_deadline_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, remaining)));
    message.set_workspace(request.workspace);
    message.set_request_bytes(request.requestBytes);
    message.set_response_bytes(request.responseBytes);
    const auto connected = request.connectedTargets.size();
    const auto first = connected > maxConnectedTargets ? request.key.request * maxConnectedTargets % connected : 0;
    for (std::size_t n = 0; n < std::min(connected, maxConnectedTargets); ++n)
        message.add_warm(request.connectedTargets[(first + n) % connected]);
    for (const auto& it : request.excluded)
        message.add_excluded(it);
    for (const auto& it : held) {
        auto& slot = *message.add_held();
        slot.set_grant(it.grant);
        slot.set_target(it.target);
    }
}

routing::DispatchRequest decodeRequest(
    const wire::proto::SlotRequest& message, const std::string& sender, base::SteadyTime now)
{
    routing::DispatchRequest result;
    result.key = { sender, message.request() };
    result.zone = message.zone();
    result.kind = toRequestKind(message.kind());
    result.priority = message.priority();
    result.attempt = message.attempt();
    result.objectiveDeadline = now + milliseconds(message.useful_ms());
    result.deadline = now + milliseconds(message.deadline_ms());
    result.connectedTargets.assign(message.warm().begin(), message.warm().end());
    result.excluded.assign(message.excluded().begin(), message.excluded().end());
    result.workspace = message.workspace();
    result.requestBytes = message.request_bytes();
    result.responseBytes = message.response_bytes();
    return result;
}

std::vector<routing::HeldSlot> decodeHeldSlots(const wire::proto::SlotRequest& message)
{
    std::vector<routing::HeldSlot> result;
    for (const auto& it : message.held())
        result.push_back({ it.grant(), it.target() });
    return result;
}

void encode(const routing::DispatchDecision& decision, wire::proto::SlotDecision& message)
{
    message.set_request(decision.key.request);
    message.set_grant(decision.grant);
    message.set_target(decision.target);
    message.set_risk(static_cast<float>(decision.risk));
    message.set_refusal(static_cast<std::uint32_t>(decision.refusal));
    message.set_retry_after_ms(static_cast<std::uint32_t>(decision.retryAfter.count()));
    message.set_considered(decision.targetCount);
    message.set_queue(static_cast<std::uint32_t>(decision.queuedRequests));
    message.set_placement(static_cast<std::uint32_t>(decision.placement));
}

routing::DispatchDecision decodeDecision(const wire::proto::SlotDecision& message)
{
    routing::DispatchDecision result;
    result.key.request = message.request();
    result.grant = message.grant();
    result.target = message.target();
    result.risk = message.risk();
    constexpr auto last = static_cast<std::uint32_t>(routing::DispatchRefusal::RetryBudgetExhausted);
    result.refusal = static_cast<routing::DispatchRefusal>(std::min(message.refusal(), last));
    result.retryAfter = milliseconds(message.retry_after_ms());
    result.targetCount = message.considered();
    result.queuedRequests = message.queue();
    constexpr auto lastPlacement = static_cast<std::uint32_t>(routing::ZonePlacement::LowerCost);
    result.placement = static_cast<routing::ZonePlacement>(std::min(message.placement(), lastPlacement));
    return result;
}

void encode(const routing::DispatchOutcome& outcome, wire::proto::SlotOutcome& message)
{
    message.set_grant(outcome.grant);
    message.set_target(outcome.target);
    message.set_kind(static_cast<std::uint32_t>(outcome.kind));
    message.set_verdict(static_cast<std::uint32_t>(outcome.verdict));
    message.set_latency_us(static_cast<std::uint32_t>(std::min<std::int64_t>(outcome.latency.count(), UINT32_MAX)));
    message.set_overdue(outcome.overdue);
    message.set_leaving(outcome.targetLeaving);
    message.set_born(outcome.targetStartedAtUnixMs);
    message.set_retry_after_ms(
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(outcome.retryAfter.count(), 0, UINT32_MAX)));
}

routing::DispatchOutcome decodeOutcome(const wire::proto::SlotOutcome& message, const std::string& sender)
{
    routing::DispatchOutcome result;
    result.instance = sender;
    result.grant = message.grant();
    result.target = message.target();
    result.kind = toRequestKind(message.kind());
    result.verdict = toVerdict(message.verdict());
    result.latency = microseconds(message.latency_us());
    result.overdue = message.overdue();
    result.targetLeaving = message.leaving();
    result.targetStartedAtUnixMs = message.born();
    result.retryAfter = milliseconds(message.retry_after_ms());
    return result;
}

} // namespace buckthorncroft::gateway
