#pragma once

#include "../http/target_call.h"
#include "traffic_context.h"

#include <buckthorncroft/outcome/request_outcome.h>
#include <functional>
#include <memory>
#include <string>

namespace buckthorncroft::daemon {

/// A request as it goes to targets. Shared by its attempts and immutable.
struct OutgoingRequest {
    http::bhttp::request_header<> head; ///< Without headers of one connection, length, id and deadline.
    std::string body; ///< Empty for uploads, which are streamed.
    bool hasBody = false;
    bool streamed = false; ///< The body follows the head in pieces.
    std::optional<std::uint64_t> streamedLength; ///< Length of a streamed body; empty means chunks.
    bool awaitContinue = false; ///< The caller waits for 100 Continue, and so does this request.
    std::string id;
    config::RequestKind kind = config::RequestKind::NonIdempotent;
    base::SteadyTime deadline;
    base::SteadyTime sendBefore = base::SteadyTime::max(); ///< From a claim; after it no byte may be sent.
};

/// How an attempt stands.
enum class AttemptState {
    Running,
    Answered, ///< The answer's head is there, and its body whole or up to the holding limit.
    Refused, ///< The target stated that it did not run the request.
    ConnectFailed,
    SendForbidden, ///< The time to send had passed; no byte was sent.
    Failed, ///< Broken, crossed or late; the request may have run.
};

/// One attempt of one request at one target. Runs by itself; whoever started it may abandon it at any time.
class Attempt : public std::enable_shared_from_this<Attempt> {
public:
    Attempt(TrafficContext& context, std::shared_ptr<const OutgoingRequest> request, Placement placement,
        std::shared_ptr<outcome::RequestOutcome> outcome, unsigned number);
    ~Attempt();
    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;

    /// Runs the attempt in the background and calls `done` at its end, unless it was abandoned before.
    void start(std::function<void()> done);

    /// Opens the connection and sends the request, or its head if it is streamed. Used by uploads.
    http::Awaitable<bool> open();

    /// Reads the answer in the background, and calls `done` at its end unless the attempt was abandoned. `onContinue`
    /// is called on 100 Continue, if the request waits for that.
    void startReceiving(std::function<void()> onContinue, std::function<void()> done);

    /// Moves the deadline of a streamed request, while its body moves.
    void keepOpenUntil(base::SteadyTime time);

    /// The body of a streamed request is complete; the answer is due at `responseBy`.
    void bodySent(base::SteadyTime responseBy);

    /// Gives up: closes the connection, frees the slot and reports the verdict. Does nothing after the end.
    void abandon(health::Verdict verdict);

    /// Ends an answered attempt after its body was passed on, or could not be.
    void settle(bool whole);

    AttemptState state() const { return m_state; }
    http::TargetCall& call() { return *m_call; }
    const Placement& placement() const { return m_placement; }
    std::size_t targetIndex() const { return *m_placement.decision.target; }
    bool sent() const { return m_sent; }
    bool reusedConnection() const { return m_reused; }
    bool timedOut() const { return m_verdict == health::Verdict::TimedOut; }
    health::Verdict verdict() const { return m_verdict; }

    /// Reports an attempt that is still running.
    void reportPending(base::SteadyTime now) const;

private:
    http::Awaitable<void> run();
    http::Awaitable<void> receive();
    http::Awaitable<void> receiveStreamed(std::function<void()> onContinue);
    http::Awaitable<bool> connect();
    http::Awaitable<bool> sendRequest();
    http::bhttp::request_header<> headToSend() const;
    bool mayStillSend();
    void classifyResponse();
    void conclude(AttemptState state, health::Verdict verdict);
    void end();
    health::Observation observation(base::SteadyTime now) const;

    TrafficContext& m_context;
    std::shared_ptr<const OutgoingRequest> m_request;
    Placement m_placement;
    std::shared_ptr<outcome::RequestOutcome> m_outcome;
    outcome::RequestOutcome::AttemptId m_outcomeId;
    std::string m_id; ///< Id sent to the target; differs between attempts, so that crossed answers show.
    std::uint64_t m_number;
    std::shared_ptr<http::Connection> m_connection;
    std::unique_ptr<http::TargetCall> m_call;
    std::function<void()> m_done;
    AttemptState m_state = AttemptState::Running;
    health::Verdict m_verdict = health::Verdict::Cancelled;
    base::SteadyTime m_started;
    base::SteadyTime m_firstByte;
    base::SteadyTime m_responseBy;
    bool m_sent = false;
    bool m_bodySent = false; ///< The body of a streamed request is complete.
    bool m_reused = false;
    bool m_ended = false;
};

} // namespace buckthorncroft::daemon
