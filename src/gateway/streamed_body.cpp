#include "streamed_body.h"

#include <utility>

namespace buckthorncroft::gateway {

StreamedBody::StreamedBody(std::shared_ptr<TargetAttempt> attempt, std::function<void()> onEnded)
    : m_attempt(std::move(attempt))
    , m_onEnded(std::move(onEnded))
{
}

StreamedBody::~StreamedBody()
{
    end();
}

http::Awaitable<std::size_t> StreamedBody::read(char* data, std::size_t size)
{
    const auto n = co_await m_attempt->readBody(data, size);
    if (n == 0 || isComplete())
        end();
    co_return n;
}

void StreamedBody::cancel()
{
    m_attempt->cancel();
    end();
}

void StreamedBody::end()
{
    const auto onEnded = std::exchange(m_onEnded, nullptr);
    if (!onEnded)
        return;
    m_attempt->endBody();
    onEnded();
}

} // namespace buckthorncroft::gateway
