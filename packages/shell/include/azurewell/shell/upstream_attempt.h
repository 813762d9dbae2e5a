#pragma once

#include "azurewell/host/actions.h"
#include "azurewell/host/events.h"
#include "azurewell/shell/caller_request.h"
#include "azurewell/shell/upstream_pool.h"

#include <QtCore/QObject>
#include <QtCore/QPointer>

#include <functional>

namespace azurewell {

/// What an attempt reports. Streams report events as they come; other answers come whole at the
/// end.
struct AttemptSinks
{
    std::function<void(const QByteArray &events, Tokens made)> streamed;
    std::function<void(AttemptOutcome)> ended;
};

/// One try of one request at one upstream.
class UpstreamAttempt : public QObject
{
public:
    UpstreamAttempt(UpstreamPool &pool, const CallerRequest &request, const Dispatch &dispatch,
                    Span idleLimit, AttemptSinks sinks);
    ~UpstreamAttempt() override;

    /// Ends the attempt as silent where nothing came until the idle deadline.
    void checkDeadline(Instant now);

    /// The whole answer, after `ended(Done)` of a request that is no stream.
    int status = 0;
    QByteArray contentType;
    QByteArray body;
    Tokens generated; ///< By the answer's own count; answers that are no stream.

private:
    void readHead();
    void readBytes();
    void readStream(const QByteArray &bytes);
    void finished();
    void end(AttemptOutcome outcome);
    AttemptOutcome outcomeOfWhole();

    QPointer<QNetworkReply> reply;
    RequestId id;
    bool isStream = false;
    bool isService = false;
    bool mayRunTwice = true;
    bool isHeadChecked = false;
    bool isDoneSeen = false;
    bool isEnded = false;
    QByteArray partialEvent; ///< The bytes after the last whole event.
    Span idleLimit;
    Instant idleDeadline;
    AttemptSinks sinks;
};

} // namespace azurewell
