#pragma once

#include "../http/target_call.h"
#include "traffic_context.h"

#include <buckthorncroft/outcome/request_outcome.h>
#include <functional>
#include <memory>
#include <string>

namespace buckthorncroft::daemon {

/// A request as it is sent to targets. Immutable once its first attempt has started, and shared by all its attempts.
struct OutgoingRequest {
    http::bhttp::request_header<> head; ///< Without hop-by-hop headers, length, request id and deadline.
    std::string body; ///< Empty for uploads, which are streamed.
    bool hasBody = false;
    bool streamed = false; ///< The body is read from the caller and sent piece by piece after the head.
    std::optional<std::uint64_t> streamedLength; ///< Bytes of a streamed body; empty for chunked encoding.
    bool awaitContinue = false; ///< The caller expects 100 Continue; the target is asked for it as well.
    std::string id;
    config::RequestKind kind = config::RequestKind::NonIdempotent;
    base::SteadyTime deadline;
    base::SteadyTime sendDeadline = base::SteadyTime::max(); ///< From the claim; no attempt starts to send after it.
};

/// The state of an attempt.
enum class AttemptState {
    Running,
    /// The response's head has arrived, and its body completely or up to `http::maxBufferedBodyBytes`.
    ResponseReceived,
    Refused, ///< The target responded, by the not-run contract, that it did not run the request.
    ConnectFailed, ///< No connection; no byte was sent.
    SendDeadlinePassed, ///< The deadline or the claim's send deadline had passed; no byte was sent.
    Failed, ///< No valid response: truncated, mismatched, timed out or abandoned. May have run if bytes were sent.
};

/// One attempt of one request at one target. It holds a slot of the target until it ends, and then reports one
/// observation. The owner may abandon it at any time. Belongs to one traffic thread.
class Attempt : public std::enable_shared_from_this<Attempt> {
public:
    /// `ordinal`: number of the attempt within its request, from 1.
    Attempt(TrafficContext& context, std::shared_ptr<const OutgoingRequest> request, Placement placement,
        std::shared_ptr<outcome::RequestOutcome> outcome, unsigned ordinal);
    ~Attempt();
    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;

    /// Runs the attempt in the background and calls `onFinished` when it has ended or a response has arrived, unless it
    /// was abandoned before.
    void start(std::function<void()> onFinished);

    /// Opens the connection and sends the request, or only its head if it is streamed. Returns false if the attempt has
    /// ended. For uploads; `start` does this by itself.
    http::Awaitable<bool> open();

    /// Reads the response in the background, and calls `onFinished` as `start` does. `onContinue` is called on 100
    /// Continue if the request has `awaitContinue`.
    void startReceiving(std::function<void()> onContinue, std::function<void()> onFinished);

    /// Sets the deadline of the connection while a streamed body is being sent.
    void setDeadline(base::SteadyTime time);

    /// Records that the body of a streamed request is complete. From now on the latency counts, and the response is due
    /// at `responseDeadline`.
    void markBodySent(base::SteadyTime responseDeadline);

    /// Ends the attempt: closes the connection, releases the slot and reports the verdict. Does nothing if it has
    /// ended.
    void abandon(health::Verdict verdict);

    /// Ends an attempt in state `ResponseReceived` once its body was relayed. `responseComplete` is false if the target
    /// did not send the whole body.
    void finishResponse(bool responseComplete);

    AttemptState state() const { return m_state; }
    http::TargetCall& call() { return *m_call; }
    const Placement& placement() const { return m_placement; }
    std::size_t targetIndex() const { return *m_placement.decision.target; }
    bool hasSentBytes() const { return m_sent; }
    bool hasReusedConnection() const { return m_connectionReused; }
    bool hasTimedOut() const { return m_verdict == health::Verdict::TimedOut; }
    health::Verdict verdict() const { return m_verdict; }

    /// Pushes a pending observation for an attempt that is still running; see `ReportedObservation::pending`.
    void reportPending(base::SteadyTime now) const;

private:
    http::Awaitable<void> run();
    http::Awaitable<void> receive();
    http::Awaitable<void> receiveStreamed(std::function<void()> onContinue);
    http::Awaitable<bool> connect();
    http::Awaitable<bool> sendRequest();
    http::bhttp::request_header<> makeRequestHead() const;
    bool tryBeginSend();
    void classifyResponse();
    void conclude(AttemptState state, health::Verdict verdict);
    void releaseAndReport();
    health::Observation observation(base::SteadyTime now) const;

    TrafficContext& m_context;
    std::shared_ptr<const OutgoingRequest> m_request;
    Placement m_placement;
    std::shared_ptr<outcome::RequestOutcome> m_outcome;
    outcome::RequestOutcome::AttemptId m_outcomeId;
    /// Id sent to the target. Differs between attempts, so that a response to another attempt is detected.
    std::string m_id;
    std::uint64_t m_attemptNumber; ///< Unique within the process; identifies the attempt in observations.
    std::shared_ptr<http::Connection> m_connection;
    std::unique_ptr<http::TargetCall> m_call;
    std::function<void()> m_onFinished;
    AttemptState m_state = AttemptState::Running;
    health::Verdict m_verdict = health::Verdict::Cancelled;
    base::SteadyTime m_startedAt;
    base::SteadyTime m_firstByteSentAt;
    base::SteadyTime m_responseDeadline;
    bool m_sent = false;
    bool m_bodySent = false; ///< The body of a streamed request is complete.
    bool m_connectionReused = false;
    bool m_ended = false;
};

} // namespace buckthorncroft::daemon
