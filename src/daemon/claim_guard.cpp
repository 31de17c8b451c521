#include "claim_guard.h"

#include "awaitable_value.h"

#include <memory>

namespace buckthorncroft::daemon {

namespace {

    struct Pending {
        explicit Pending(http::asio::io_context& io)
            : gate(io)
        {
        }
        Gate<outcome::ClaimResult> gate;
        bool abandoned = false;
    };

} // namespace

http::Awaitable<outcome::ClaimResult> ClaimGuard::acquire(outcome::ClaimRequest request, base::SteadyTime deadline)
{
    auto* const claims = m_context.shared.dependencies.claims;
    m_request = std::move(request);
    const auto pending = std::make_shared<Pending>(m_context.io);
    auto& io = m_context.io;
    const auto liveness = m_context.shared.liveness;
    claims->acquire(
        m_request, deadline, [&io, liveness, pending, claims, claimed = m_request](outcome::ClaimResult result) {
            const std::lock_guard lock(liveness->mutex);
            if (!liveness->alive) {
                if (result.status == outcome::ClaimStatus::Held)
                    claims->release(claimed, result.token);
                return;
            }
            http::asio::post(io, [pending, claims, claimed, result = std::move(result)]() mutable {
                if (pending->abandoned && result.status == outcome::ClaimStatus::Held)
                    claims->release(claimed, result.token);
                pending->gate.set(std::move(result));
            });
        });
    auto result = co_await pending->gate.wait(deadline);
    pending->abandoned = !result;
    if (result && result->status == outcome::ClaimStatus::Held)
        m_token = result->token;
    co_return result ? std::move(*result) : outcome::ClaimResult {};
}

void ClaimGuard::release()
{
    if (held())
        m_context.shared.dependencies.claims->release(m_request, m_token);
    m_token.clear();
}

void ClaimGuard::complete(const outcome::RecordedResponse& response)
{
    if (held())
        m_context.shared.dependencies.claims->complete(m_request, m_token, response);
    m_token.clear();
}

} // namespace buckthorncroft::daemon
