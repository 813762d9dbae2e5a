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

/// What an attempt reports. Streams report events as they come; other answers come whole at the
/// end.
struct AttemptSinks
{
    std::function<void(const WholeEvents &events)> streamed;
    std::function<void(AttemptOutcome)> ended;
};

/// One try of one request at one upstream.
class UpstreamAttempt : public QObject
{
public:
    /// \a hasAnswerBegun: the caller has the beginning of a streamed answer already, so nothing but
    /// the rest of that stream may follow.
    UpstreamAttempt(UpstreamPool &pool, const CallerRequest &request, const Dispatch &dispatch,
                    bool hasAnswerBegun, Span idleLimit, AttemptSinks sinks);
    ~UpstreamAttempt() override;

    /// Ends the attempt as silent where nothing came until the idle deadline.
    void checkDeadline(Instant now);
    /// Leaves the answer at the upstream while the caller does not read; what has come by then and
    /// a bounded rest in the buffers on the way are all that is held.
    void pause();
    void resume();
    bool isPaused() const
    {
        return this->isReadingPaused;
    }

    /// The whole answer, after `ended(Done)` of a request that is no stream.
    int status = 0;
    QByteArray contentType;
    QByteArray body;
    Tokens generated; ///< By the answer's own count; answers that are no stream.

private:
    void readHead();
    bool isAnswerToThis() const;
    void readBytes();
    void readStream(const QByteArray &bytes);
    bool isFromAdapter(const QByteArray &json) const;
    bool isWholeAnswer() const;
    void finished();
    void end(AttemptOutcome outcome);
    AttemptOutcome outcomeOfWhole();

    UpstreamPool &pool;
    QPointer<QNetworkReply> reply;
    RequestId id;
    std::string adapter; ///< Empty for services.
    bool isStream = false;
    bool mayRunTwice = true;
    bool hasAnswerBegun = false;
    Tokens resumeFrom;
    bool isHeadChecked = false;
    bool isModelChecked = false;
    bool isEnded = false;
    bool isReadingPaused = false;
    EventStream events;
    Span idleLimit;
    Instant idleDeadline;
    AttemptSinks sinks;
};

} // namespace azurewell
