#pragma once

#include "azurewell/host/actions.h"
#include "azurewell/host/events.h"
#include "azurewell/shell/caller_request.h"
#include "azurewell/shell/event_stream.h"
#include "azurewell/shell/upstream_pool.h"

#include <QtCore/QObject>
#include <QtCore/QPointer>

#include <functional>

namespace azurewell {

/// Callbacks of an attempt. Streams report events as they arrive; other responses are complete when
/// `onEnded` is called.
struct AttemptCallbacks
{
    std::function<void(const CompleteEvents &events)> onEvents;
    std::function<void(AttemptOutcome)> onEnded;
};

/// One attempt of a request at one upstream.
class UpstreamAttempt : public QObject
{
public:
    /// \a hasAnswerStarted: the caller has received the beginning of a streamed response, so only
    /// the rest of that stream may follow.
    UpstreamAttempt(UpstreamPool &pool, const CallerRequest &request, const Dispatch &dispatch,
                    bool hasAnswerStarted, Span idleTimeout, AttemptCallbacks callbacks);
    ~UpstreamAttempt() override;

    /// Ends the attempt as Silent if nothing was received by the idle deadline.
    void checkDeadline(Instant now);
    /// Whether a stream has received the end of its answer, even if the end marker is missing.
    bool hasAnswerEnd() const
    {
        return this->isStream && this->events.isAnswerEnd();
    }
    /// Stops reading from the upstream while the caller does not read; only what has arrived and
    /// the bounded read and socket buffers are held.
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
    void readHead();
    bool isResponseToThisRequest() const;
    void readBytes();
    void readStream(const QByteArray &bytes);
    bool isResponseOfAdapter(const QByteArray &json) const;
    bool isCompleteResponse() const;
    void finished();
    void end(AttemptOutcome outcome);
    AttemptOutcome outcomeOfResponse();

    UpstreamPool &pool;
    QPointer<QNetworkReply> reply;
    RequestId id;
    std::string adapter; ///< Empty for services.
    bool isStream = false;
    bool mayRunTwice = true;
    bool hasAnswerStarted = false;
    Tokens resumeFrom;
    bool isHeadChecked = false;
    bool isAdapterChecked = false;
    bool isEnded = false;
    bool isReadingPaused = false;
    EventStream events;
    Span idleTimeout;
    Instant idleDeadline;
    AttemptCallbacks callbacks;
};

} // namespace azurewell
