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

/// A refusal made before the core heard of the request; the control thread counts it.
struct RefusedEarly
{
    ResultCode code;
};

/// What a traffic thread tells the control thread.
using TrafficReport = std::variant<Event, RefusedEarly, std::vector<AttemptProgress>>;
/// What the control thread tells a traffic thread.
using TrafficOrder = std::variant<Refuse, Dispatch, CancelAttempt, AnswerHeld, AnswerNumbers>;

/// One traffic thread's work: callers' connections and the attempts at upstreams. Lives in its
/// thread; the control thread reaches it by carryOut() through a queued call only.
class TrafficWorker : public QAbstractHttpServer
{
public:
    using Report = std::function<void(TrafficReport)>;

    TrafficWorker(const Settings &settings, std::uint32_t number, Report report);
    ~TrafficWorker() override;

    /// Opens the callers' port. Errors: SettingsInvalid.
    Result<std::uint16_t> start();
    void carryOut(const TrafficOrder &order);
    /// A planned stop has begun: each answer from here on tells its caller to leave the connection.
    void drain();
    /// Closes the port; \a finished is called in this thread once every answer has been sent whole.
    void finish(std::function<void()> finished);

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    /// A caller's request from its arrival to the end of its answer.
    struct Exchange
    {
        CallerRequest request;
        QPointer<QTcpSocket> socket;
        std::unique_ptr<UpstreamAttempt> attempt;
        std::uint32_t attemptNumber = 0;
        Tokens delivered;
        Tokens reported;        ///< Of those delivered, what the control thread has heard of.
        Instant readerDeadline; ///< Of a caller that the attempt is paused for.
        bool isHeadSent = false;
        std::array<QMetaObject::Connection, 2> connections; ///< To the socket.
    };

    void refuse(const Refuse &refusal);
    void dispatch(const Dispatch &order);
    void cancel(const CancelAttempt &order);
    void answerHeld(const AnswerHeld &order);
    void answerNumbers(const AnswerNumbers &order);
    void answer(const RequestId &id, const QByteArray &bytes);
    void passOn(const RequestId &id, const WholeEvents &events);
    void callerHasRead(const RequestId &id);
    void reportProgress();
    void dropSlowReaders(Instant now);
    void attemptEnded(const RequestId &id, AttemptOutcome outcome);
    void answerWhole(Exchange &exchange);
    void endStream(Exchange &exchange);
    QByteArray connectionHeader() const;
    bool isFinished(Instant now) const;
    void endExchange(const RequestId &id);
    void callerLeft(const RequestId &id);
    void checkDeadlines();
    void refuseEarly(QTcpSocket *socket, const Error &error, const RequestId &id,
                     RunState runState = RunState::NotRun);

    const Settings &settings;
    std::string idPrefix;
    std::uint64_t nextSequence = 1;
    Report report;
    GuardedTcpServer *server = nullptr;
    UpstreamPool pool;
    std::unordered_map<RequestId, Exchange> exchanges;
    QTimer deadlineTimer;
    std::function<void()> onFinished;
    Instant nextCheck;       ///< When checkDeadlines() is due.
    Instant checksNotBefore; ///< Later than now after the process was stopped.
    bool isDraining = false;
    Instant finishNotBefore;
    Instant finishDeadline;
};

} // namespace azurewell
