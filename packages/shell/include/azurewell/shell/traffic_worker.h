#pragma once

#include "azurewell/host/actions.h"
#include "azurewell/host/events.h"
#include "azurewell/shell/caller_guard.h"
#include "azurewell/shell/caller_request.h"
#include "azurewell/shell/upstream_attempt.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <QtHttpServer/QAbstractHttpServer>

#include <array>
#include <functional>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

namespace azurewell {

/// A request rejected by the traffic thread itself; the control thread only counts it.
struct LocalRefusal
{
    ResultCode code;
};

/// Message from a traffic thread to the control thread.
using TrafficReport = std::variant<Event, LocalRefusal, std::vector<AttemptProgress>>;
/// Message from the control thread to a traffic thread.
using TrafficOrder
        = std::variant<Refuse, Dispatch, CancelAttempt, AnswerFromStore, AnswerCallNumbers>;

/// Callers' connections and upstream attempts of one traffic thread. Lives in that thread; the
/// control thread calls carryOut(), drain() and finish() through queued invocations only.
class TrafficWorker : public QAbstractHttpServer
{
public:
    using Report = std::function<void(TrafficReport)>;

    TrafficWorker(const Settings &settings, std::uint32_t number, Report report);
    ~TrafficWorker() override;

    /// Opens the callers' port. Errors: SettingsInvalid.
    Result<std::uint16_t> start();
    void executeOrder(const TrafficOrder &order);
    /// Begins a planned stop: all further responses carry "Connection: close".
    void drain();
    /// Closes the port; \a finished is called in this thread once every response has been sent.
    void finish(std::function<void()> finished);

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    /// A caller's request from its arrival to the end of its response.
    struct Exchange
    {
        CallerRequest request;
        QPointer<QTcpSocket> socket;
        std::unique_ptr<UpstreamAttempt> attempt;
        std::uint32_t attemptNumber = 0;
        Tokens resumedFrom; ///< Tokens that the caller had when the attempt began.
        Tokens delivered;
        Tokens reported;        ///< Part of `delivered` reported to the control thread.
        Instant readerDeadline; ///< When the caller is dropped; valid while paused.
        bool isHeadSent = false;
        std::array<QMetaObject::Connection, 2> connections; ///< To the socket.
    };

    void refuse(const Refuse &refusal);
    void dispatch(const Dispatch &order);
    void cancel(const CancelAttempt &order);
    void answerHeld(const AnswerFromStore &order);
    void answerNumbers(const AnswerCallNumbers &order);
    void answer(const RequestId &id, const QByteArray &bytes);
    void forwardEvents(const RequestId &id, const CompleteEvents &events);
    void callerBytesWritten(const RequestId &id);
    void reportProgress();
    void dropSlowReaders(Instant now);
    void limitBuffered(std::size_t bytes);
    void attemptEnded(const RequestId &id, AttemptOutcome outcome);
    /// Whether the caller of a stream has its last token, so that nothing is left to resume.
    static bool hasLastToken(const Exchange &exchange);
    void logAttemptEnd(const Exchange &exchange, AttemptOutcome outcome) const;
    void sendCompleteResponse(Exchange &exchange);
    void endStream(Exchange &exchange);
    QByteArray connectionHeader() const;
    bool isFinished(Instant now) const;
    void endExchange(const RequestId &id);
    void callerDisconnected(const RequestId &id);
    void checkDeadlines();
    void refuseLocally(QTcpSocket *socket, const Error &error, const RequestId &id,
                       RunState runState = RunState::NotRun);

    const Settings &settings;
    std::string idPrefix;
    std::uint64_t nextSequence = 1;
    Report report;
    GuardedTcpServer *server = nullptr;
    UpstreamConnections connections;
    std::size_t bufferedSinceSum = 0; ///< Bytes of responses since all were added up.
    std::unordered_map<RequestId, Exchange> exchanges;
    QTimer deadlineTimer;
    std::function<void()> onFinished;
    Instant nextCheck;       ///< When the next checkDeadlines() is due.
    Instant checksNotBefore; ///< In the future after the process was suspended.
    bool isDraining = false;
    Instant finishNotBefore;
    Instant finishDeadline;
};

} // namespace azurewell
