#pragma once

#include "target_attempt.h"

#include <functional>
#include <memory>
#include <optional>

namespace buckthorncroft::gateway {

/// The rest of a response that is too long to be buffered. It is read from the target in pieces as the caller takes
/// them, so a slow caller slows the target down and does not fill the memory. Belongs to the traffic thread.
class StreamedBody {
public:
    /// `attempt` has received the head and the buffered part of the body. `onEnded` is called once, when the body is
    /// complete or has broken off, at the latest on destruction.
    StreamedBody(std::shared_ptr<TargetAttempt> attempt, std::function<void()> onEnded);
    ~StreamedBody();
    StreamedBody(const StreamedBody&) = delete;
    StreamedBody& operator=(const StreamedBody&) = delete;

    /// Length of the whole body, with its buffered part, if the target declared it.
    std::optional<std::uint64_t> length() const { return m_attempt->bodyLength(); }

    /// When the body breaks off if it is not complete.
    base::SteadyTime deadline() const { return m_attempt->deadline(); }

    /// Reads the next piece. Returns 0 at the end or if the body broke off, which `isComplete` distinguishes.
    http::Awaitable<std::size_t> read(char* data, std::size_t size);

    bool isComplete() const { return m_attempt->isBodyComplete(); }

    /// Closes the connection to the target, because the caller does not take the body any more.
    void cancel();

private:
    void end();

    std::shared_ptr<TargetAttempt> m_attempt;
    std::function<void()> m_onEnded;
};

} // namespace buckthorncroft::gateway
