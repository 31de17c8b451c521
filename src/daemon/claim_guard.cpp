#include "claim_guard.h"

#include "awaitable_value.h"

#include <memory>

namespace buckthorncroft::daemon {

namespace {

    struct PendingClaim {
        explicit PendingClaim(http::asio::io_context& io)
            : awaitedResult(io)
        {
        }
        AwaitableValue<outcome::ClaimResult> awaitedResult;
        bool abandoned = false;
    };

} // namespace

http::Awaitable<outcome::ClaimResult> ClaimGuard::acquire(outcome::ClaimRequest request, base::SteadyTime deadline)
{
    auto* const claims = m_context.shared.dependencies.claims;
    m_request = std::move(request);
    const auto pending = std::make_shared<PendingClaim>(m_context.io);
    auto& io = m_context.io;
    const auto liveness = m_context.shared.liveness;
    claims->acquire(
        m_request, deadline, [&io, liveness, pending, claims, claimRequest = m_request](outcome::ClaimResult result) {
            const std::lock_guard lock(liveness->mutex);
            if (!liveness->alive) {
                if (result.status == outcome::ClaimStatus::Held)
                    claims->release(claimRequest, result.token);
                return;
            }
            http::asio::post(io, [pending, claims, claimRequest, result = std::move(result)]() mutable {
                if (pending->abandoned && result.status == outcome::ClaimStatus::Held)
                    claims->release(claimRequest, result.token);
                pending->awaitedResult.set(std::move(result));
            });
        });
    auto result = co_await pending->awaitedResult.wait(deadline);
    pending->abandoned = !result;
    if (result && result->status == outcome::ClaimStatus::Held)
        m_token = result->token;
    co_return result ? std::move(*result) : outcome::ClaimResult {};
}

void ClaimGuard::release()
{
    if (isHeld())
        m_context.shared.dependencies.claims->release(m_request, m_token);
    m_token.clear();
}

void ClaimGuard::complete(const outcome::RecordedResponse& response)
{
    if (isHeld())
        m_context.shared.dependencies.claims->complete(m_request, m_token, response);
    m_token.clear();
}

} // namespace buckthorncroft::daemon
