#pragma once

#include "azurewell/host/actions.h"
#include "azurewell/host/events.h"
#include "azurewell/http/upstream_connections.h"
#include "azurewell/shell/caller_request.h"
#include "azurewell/shell/event_stream.h"

#include <QtCore/QObject>

#include <cstddef>
#include <functional>
#include <optional>

namespace azurewell {

/// Callbacks of an attempt. Streams report events as they arrive; other responses are complete when
/// `onEnded` is called.
struct AttemptCallbacks
{
    std::function<void(const CompleteEvents &events)> onEvents;
    std::function<void(AttemptOutcome)> onEnded;
    /// So many bytes of a response that isn't streamed were added to `body`. May end the attempt.
    std::function<void(std::size_t bytes)> onBuffered;
};

/// One attempt of a request at one upstream.
class UpstreamAttempt : public QObject
{
public:
    /// \a hasAnswerStarted: the caller has received the beginning of a streamed response, so only
    /// the rest of that stream may follow.
    UpstreamAttempt(UpstreamConnections &connections, const CallerRequest &request,
                    const Dispatch &dispatch, bool hasAnswerStarted, Span idleTimeout,
                    AttemptCallbacks callbacks);
    ~UpstreamAttempt() override;

    /// Ends the attempt as Silent if nothing was received by the idle deadline.
    void checkDeadline(Instant now);
    /// Whether a stream has received the end of its answer, even if the end marker is missing.
    bool hasAnswerEnd() const
    {
        return this->isStream && this->events.isAnswerEnd();
    }
    /// Ends the attempt as failed: the host holds too much of responses, and this one is the
    /// longest.
    void endOversized();
    /// Stops reading from the upstream while the caller does not read; only what has arrived and
    /// the socket's buffers are held.
    void pause();
    void resume();
    bool isPaused() const
    {
        return this->isReadingPaused;
    }

    /// The complete response, valid after `onEnded(Done)` of a non-streaming request.
    int status = 0;
    QByteArray contentType;
    QByteArray body;
    Tokens generated; ///< As reported by the response; non-streaming only.

private:
    ExchangeHandlers handlers();
    void closeConnection();
    void readHead(const ResponseHead &head);
    bool isResponseToThisRequest(const ResponseHead &head) const;
    void readBytes(const QByteArray &bytes);
    void readStream(const QByteArray &bytes);
    bool isResponseOfAdapter(const QByteArray &json) const;
    void finish(std::optional<ExchangeFailure> failure);
    void end(AttemptOutcome outcome);
    AttemptOutcome outcomeOfResponse();

    UpstreamConnections &connections;
    UpstreamConnections::Exchange exchange = 0;
    bool isExchangeOver = false;
    RequestId id;
    std::string adapter; ///< Empty for services.
    bool isStream = false;
    bool mayRunTwice = true;
    bool hasAnswerStarted = false;
    Tokens resumeFrom;
    bool isAdapterChecked = false;
    bool isEnded = false;
    bool isReadingPaused = false;
    EventStream events;
    Span idleTimeout;
    Instant idleDeadline;
    AttemptCallbacks callbacks;
};

} // namespace azurewell
