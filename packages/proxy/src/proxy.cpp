#include "azurewell/proxy/proxy.h"

#include "azurewell/http/clock.h"
#include "azurewell/logging/log.h"

#include <QtCore/QCoreApplication>

#include <fmt/format.h>

#include <algorithm>

namespace azurewell {

namespace {

using namespace gateway;

/// Bytes that a slow caller may leave unread before its upstream is slowed down as well.
constexpr std::size_t mostUnsentBytes = 128ULL * 1024;

/// Answers to reports and orders are waited for so long: they come within milliseconds, and
/// one that takes longer is a connection that went silent.
constexpr Span callPatience = std::chrono::milliseconds(1200);

/// The right to order is checked when an order is given. One that would leave later than this is
/// not sent: another host may order there by then, 650 ms after it has noticed that this one is
/// silent.
constexpr Span orderOpensWithin = std::chrono::milliseconds(200);

/// After a stop was asked for, the balancer notices within two looks a second apart; new
/// connections still come until then and are served.
constexpr Span balancerNotices = std::chrono::milliseconds(3500);

/// Before the end of the grace the process leaves by itself.
constexpr Span leavesBefore = std::chrono::milliseconds(250);

/// The status that a caller sees. A status that promises that the request has not run is given
/// only where that is true.
int statusOf(const Refuse &refusal)
{
    const int stated = infoOf(refusal.code).httpStatus;
    if (!refusal.isNotRun)
        return refusal.code == ResultCode::UpstreamSilent ? 504 : 502;
    return (stated >= 400 && stated < 500) ? stated : 503;
}

std::string refusalBody(ResultCode code, bool isNotRun)
{
    const ResultCodeInfo &info = infoOf(code);
    return fmt::format(R"({{"error":{{"code":{},"type":"{}","message":"{}","run":"{}"}}}})",
                       static_cast<int>(code), info.name, info.message,
                       nameOf(isNotRun ? RunState::NotRun : RunState::Unknown));
}

std::string_view nameOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Done:
        return "done";
    case AttemptOutcome::NotSent:
        return "not_sent";
    case AttemptOutcome::NotRun:
        return "not_run";
    case AttemptOutcome::NotThere:
        return "not_there";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::FaultStated:
        break;
    }
    return "fault_stated";
}

std::string_view nameOf(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Taken:
        return "taken";
    case OrderOutcome::HeldAlready:
        return "held_already";
    case OrderOutcome::Refused:
        return "refused";
    case OrderOutcome::Unknown:
        break;
    }
    return "unknown";
}

std::string inMillis(Span span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

bool isSuccess(const ResponseHead &head)
{
    return head.status >= 200 && head.status < 300;
}

} // namespace

Proxy::Proxy(ProxySettings given, const WireFormat &wireFormat)
    : settings(std::move(given))
    , format(wireFormat)
{
}

Result<void> Proxy::start()
{
    Result<KnownCharts> charts = loadKnownCharts(this->settings.chartsDirectory);
    if (!charts)
        return charts.error();
    gateway::start(this->core, this->settings.self, std::move(charts.value()), monotonicNow());
    const auto onMessage = [this](const Gossip &message) {
        Actions actions;
        handle(this->core, message, monotonicNow(), actions);
        this->run(actions);
    };
    Result<std::unique_ptr<GossipSocket>> socket = GossipSocket::open(this->settings.self.address,
                                                                      onMessage);
    if (!socket)
        return socket.error();
    this->gossip = std::move(socket.value());
    Result<UniqueFd> callerSocket = openListenSocket(this->settings.callers);
    if (!callerSocket)
        return callerSocket.error();
    this->callers = std::make_unique<TcpAcceptor>(
            std::move(callerSocket.value()), [this](UniqueFd fd) { this->accept(std::move(fd)); });
    Result<UniqueFd> readySocket = openListenSocket(this->settings.readiness);
    if (!readySocket)
        return readySocket.error();
    const auto onOperations = [this](UniqueFd fd) {
        this->acceptOperations(std::move(fd));
    };
    this->readiness = std::make_unique<TcpAcceptor>(std::move(readySocket.value()), onOperations);
    Result<UniqueFd> metricsSocket = openListenSocket(this->settings.metrics);
    if (!metricsSocket)
        return metricsSocket.error();
    this->metricsListener = std::make_unique<TcpAcceptor>(std::move(metricsSocket.value()),
                                                          onOperations);
    QObject::connect(&this->ticker, &QTimer::timeout, [this] { this->tick(); });
    this->ticker.setTimerType(Qt::PreciseTimer);
    this->ticker.start(std::chrono::duration_cast<std::chrono::milliseconds>(tickInterval));
    return boost::outcome_v2::success();
}

void Proxy::accept(UniqueFd descriptor)
{
    const SessionId id = this->nextSession++;
    ++this->metrics.callersAccepted;
    const CallerLimits &limits = this->core.configuration.limits;
    CallerConnection::Handlers handlers;
    handlers.onRequest = [this, id] {
        this->arrive(id);
    };
    handlers.onBadRequest = [this, id](const Error &error) {
        this->refuseUnread(id, error);
    };
    handlers.onLeft = [this, id] {
        this->callerLeft(id);
    };
    handlers.onDrained = [this, id] {
        this->callerDrained(id);
    };
    this->sessions[id] = std::make_unique<CallerConnection>(
            std::move(descriptor), RequestLimits{ limits.headBytes, limits.bodyBytes },
            std::move(handlers), monotonicNow());
}

void Proxy::arrive(SessionId id)
{
    const Instant now = monotonicNow();
    CallerConnection &session = *this->sessions.at(id);
    Result<RequestArrived> facts = this->format.readRequest(session.request());
    if (!facts) {
        this->refuseUnread(id, facts.error());
        return;
    }
    const RequestNumber number{ this->nextRequest++ };
    facts.value().request = number;
    this->requestOf[id] = number;
    OpenRequest &request = this->open[number];
    request.session = id;
    request.callerId = facts.value().callerId;
    request.path = facts.value().path;
    request.model = facts.value().model;
    request.promptTokens = facts.value().promptTokens;
    request.arrivedAt = now;
    if (isStopping(this->core))
        session.close(false);
    Actions actions;
    handle(this->core, facts.value(), now, actions);
    this->run(actions);
}

void Proxy::refuseUnread(SessionId id, const Error &error)
{
    ++this->metrics.badRequests;
    const int status = infoOf(error.code).httpStatus;
    writeLog(LogLevel::Warning, "request_unreadable",
             { { "reason", std::string(infoOf(error.code).name) }, { "detail", error.detail } });
    CallerConnection &session = *this->sessions.at(id);
    session.close(false);
    session.answer(status, reasonPhrase(status), { { "Content-Type", "application/json" } },
                   refusalBody(error.code, true), monotonicNow());
}

void Proxy::callerLeft(SessionId id)
{
    const auto request = this->requestOf.find(id);
    if (request == this->requestOf.end())
        return;
    const RequestNumber number = request->second;
    Actions actions;
    handle(this->core, CallerLeft{ number }, monotonicNow(), actions);
    this->run(actions);
    this->open.erase(number);
    this->requestOf.erase(id);
}

void Proxy::callerDrained(SessionId id)
{
    const auto request = this->requestOf.find(id);
    if (request == this->requestOf.end())
        return;
    OpenRequest &waiting = this->open.at(request->second);
    if (std::exchange(waiting.isPaused, false))
        this->connections.pauseReading(waiting.exchange, false);
}

void Proxy::run(Actions &actions)
{
    // Handlers of exchanges are never called from within start(), so nothing is added meanwhile.
    for (const CancelAttempt &cancel : actions.cancels) {
        const auto found = this->open.find(cancel.request);
        if (found != this->open.end() && std::exchange(found->second.isAtUpstream, false))
            this->connections.cancel(found->second.exchange);
    }
    for (const Refuse &refusal : actions.refusals)
        this->refuse(refusal);
    for (const Dispatch &toSend : actions.dispatches)
        this->dispatch(toSend);
    for (const OrderEngine &toGive : actions.orders)
        this->order(toGive);
    for (const AskReport &ask : actions.reports)
        this->askReport(ask);
    const Instant now = monotonicNow();
    for (const SendGossip &message : actions.gossip) {
        ++this->core.counters.gossipSent;
        this->gossip->send(message, now);
    }
    for (const Note &note : actions.notes) {
        std::vector<LogField> fields;
        for (const auto &[key, value] : note.fields)
            fields.push_back({ key, value });
        writeLog(LogLevel::Info, note.event, fields);
    }
    actions = {};
}

void Proxy::dispatch(const Dispatch &toSend)
{
    const auto found = this->open.find(toSend.request);
    if (found == this->open.end())
        return;
    OpenRequest &request = found->second;
    const Instant now = monotonicNow();
    CallerConnection &session = *this->sessions.at(request.session);
    const RequestLine &line = session.request();
    request.attempt = toSend.attempt;
    request.upstream = toSend.upstream;
    request.isHeldBack = toSend.isHeldBack;
    request.isAtUpstream = true;
    request.facts = {};
    request.body.clear();
    request.sentAt = now;
    if (toSend.attempt == 1)
        this->metrics.placing.add(now - request.arrivedAt);
    const RequestNumber number = toSend.request;
    ExchangeHandlers handlers;
    handlers.onHead = [this, number](const ResponseHead &head) {
        this->takeHead(number, head);
    };
    handlers.onBody = [this, number](const std::string &body) {
        this->takeBody(number, body);
    };
    handlers.onComplete = [this, number] {
        this->complete(number);
    };
    handlers.onFailure = [this, number](ExchangeFailure failure) {
        this->fail(number, failure);
    };
    handlers.isOwn = [this, callerId = request.callerId](const ResponseHead &head) {
        return this->format.isAnswerTo(head, callerId);
    };
    const std::string bytes = requestBytes(line.method, line.target,
                                           this->format.upstreamHeaders(line, toSend),
                                           session.body(), line.hasBody);
    request.exchange = this->connections.start(toSend.address, bytes, line.method == "HEAD",
                                               std::move(handlers), now);
}

void Proxy::takeHead(RequestNumber number, const ResponseHead &head)
{
    const auto found = this->open.find(number);
    if (found == this->open.end())
        return;
    OpenRequest &request = found->second;
    request.head = head;
    request.facts = this->format.readReply(head);
    if (request.facts.load)
        handle(this->core, LoadStated{ request.upstream, *request.facts.load }, monotonicNow());
    // Only a stream is passed on piece by piece; a failure is read whole, so that it can be
    // replaced.
    if (!isSuccess(head) || !request.facts.isAttested)
        request.isHeldBack = true;
}

void Proxy::takeBody(RequestNumber number, const std::string &body)
{
    const auto found = this->open.find(number);
    if (found == this->open.end())
        return;
    OpenRequest &request = found->second;
    if (request.isHeldBack) {
        request.body += body;
        return;
    }
    CallerConnection &session = *this->sessions.at(request.session);
    const Instant now = monotonicNow();
    if (request.hasBegun) {
        const Span pause = now - request.lastPieceAt;
        request.longestPause = std::max(request.longestPause, pause);
        this->metrics.betweenPieces.add(pause);
    }
    request.lastPieceAt = now;
    if (!request.hasBegun) {
        request.hasBegun = true;
        request.firstByteAt = now;
        this->metrics.toFirstByte.add(now - request.arrivedAt);
        Actions actions;
        handle(this->core, AnswerBegan{ number, request.attempt }, now, actions);
        session.beginChunks(request.head.status, request.head.reason,
                            endToEndHeaders(request.head.headers));
    }
    session.sendChunk(body);
    if (session.unsentBytes() > mostUnsentBytes && !std::exchange(request.isPaused, true))
        this->connections.pauseReading(request.exchange, true);
}

void Proxy::answerWhole(OpenRequest &request)
{
    const Instant now = monotonicNow();
    this->metrics.toFirstByte.add(now - request.arrivedAt);
    CallerConnection &session = *this->sessions.at(request.session);
    request.hasBegun = true;
    session.answer(request.head.status, request.head.reason, endToEndHeaders(request.head.headers),
                   request.body, now);
}

void Proxy::noteAnswered(const OpenRequest &request)
{
    const Instant now = monotonicNow();
    this->metrics.whole.add(now - request.arrivedAt);
    const Instant first = request.hasBegun ? request.firstByteAt : now;
    writeLog(LogLevel::Info, "request_answered",
             { { "request", request.callerId },
               { "status", std::to_string(request.head.status) },
               { "upstream", request.upstream.value },
               { "path", request.path },
               { "adapter", request.model.adapter },
               { "prompt_tokens", std::to_string(request.promptTokens.count) },
               { "attempts", std::to_string(request.attempt) },
               { "sent_ms", inMillis(request.sentAt - request.arrivedAt) },
               { "first_ms", inMillis(first - request.arrivedAt) },
               { "pause_ms", inMillis(request.longestPause) },
               { "whole_ms", inMillis(now - request.arrivedAt) } });
}

void Proxy::complete(RequestNumber number)
{
    const auto found = this->open.find(number);
    if (found == this->open.end())
        return;
    OpenRequest &request = found->second;
    request.isAtUpstream = false;
    if (request.facts.isNotRun) {
        this->endAttempt(number,
                         request.facts.isNotThere ? AttemptOutcome::NotThere
                                                  : AttemptOutcome::NotRun);
        return;
    }
    if (!request.facts.isAttested) {
        // An answer that no upstream signed is not its answer: it was spoilt on the way.
        this->endAttempt(number, AttemptOutcome::Failed);
        return;
    }
    this->noteAnswered(request);
    const AttemptOutcome outcome = request.facts.isFault ? AttemptOutcome::FaultStated
                                                         : AttemptOutcome::Done;
    const SessionId session = request.session;
    this->endAttempt(number, outcome);
    if (this->core.requests.contains(number))
        return; // It was sent to another upstream.
    this->requestOf.erase(session);
    OpenRequest done = std::move(this->open.at(number));
    this->open.erase(number);
    if (done.hasBegun)
        this->sessions.at(session)->complete(monotonicNow());
    else
        this->answerWhole(done);
}

void Proxy::fail(RequestNumber number, ExchangeFailure failure)
{
    const auto found = this->open.find(number);
    if (found == this->open.end())
        return;
    found->second.isAtUpstream = false;
    // An upstream that says that it did not run a request is believed even if it then breaks off.
    const bool isNotRun = found->second.facts.isNotRun;
    const AttemptOutcome broken = isNotRun ? AttemptOutcome::NotRun : AttemptOutcome::Failed;
    this->endAttempt(number,
                     failure == ExchangeFailure::NotSent ? AttemptOutcome::NotSent : broken);
}

void Proxy::endAttempt(RequestNumber number, AttemptOutcome outcome)
{
    const OpenRequest &request = this->open.at(number);
    if (outcome != AttemptOutcome::Done) {
        writeLog(LogLevel::Info, "attempt_ended",
                 { { "request", request.callerId },
                   { "attempt", std::to_string(request.attempt) },
                   { "upstream", request.upstream.value },
                   { "outcome", std::string(nameOf(outcome)) },
                   { "status", std::to_string(request.head.status) },
                   { "after_ms", inMillis(monotonicNow() - request.sentAt) } });
    }
    Actions actions;
    handle(this->core, AttemptEnded{ number, request.attempt, outcome, request.hasBegun },
           monotonicNow(), actions);
    this->run(actions);
}

void Proxy::refuse(const Refuse &refusal)
{
    const auto found = this->open.find(refusal.request);
    if (found == this->open.end())
        return;
    const OpenRequest request = std::move(found->second);
    this->open.erase(found);
    this->requestOf.erase(request.session);
    CallerConnection &session = *this->sessions.at(request.session);
    const int status = statusOf(refusal);
    writeLog(LogLevel::Warning, "request_refused",
             { { "request", request.callerId },
               { "code", std::string(infoOf(refusal.code).name) },
               { "status", request.hasBegun ? "broken_off" : std::to_string(status) },
               { "not_run", refusal.isNotRun ? "true" : "false" },
               { "upstream", request.upstream.value },
               { "path", request.path },
               { "adapter", request.model.adapter },
               { "prompt_tokens", std::to_string(request.promptTokens.count) },
               { "attempts", std::to_string(request.attempt) },
               { "configuration", std::to_string(this->core.configuration.version) },
               { "after_ms", inMillis(monotonicNow() - request.arrivedAt) } });
    if (request.hasBegun) {
        session.breakOff();
        return;
    }
    std::vector<HttpHeader> headers{ { "Content-Type", "application/json" } };
    if (refusal.retryAfter > Span{})
        headers.push_back({ "Retry-After", fmt::format("{:.3f}", toSeconds(refusal.retryAfter)) });
    session.answer(status, reasonPhrase(status), headers,
                   refusalBody(refusal.code, refusal.isNotRun), monotonicNow());
}

void Proxy::order(const OrderEngine &toGive)
{
    const Instant now = monotonicNow();
    const auto onAnswer = [this, toGive, now](std::optional<CallAnswer> answer) {
        OrderEnded ended{ toGive.engine,  toGive.model, toGive.isLoad,
                          toGive.version, now,          OrderOutcome::Unknown };
        if (answer)
            ended.outcome = this->format.readOrderAnswer(answer->head);
        writeLog(LogLevel::Info, "order_ended",
                 { { "engine", toGive.engine.value },
                   { "model", toGive.model.model + "/" + toGive.model.adapter },
                   { "load", toGive.isLoad ? "true" : "false" },
                   { "fencing", std::to_string(toGive.fencing.value) },
                   { "outcome", std::string(nameOf(ended.outcome)) },
                   { "after_ms", inMillis(monotonicNow() - now) } });
        Actions actions;
        handle(this->core, ended, monotonicNow(), actions);
        this->run(actions);
    };
    this->httpCalls.start(toGive.address, this->format.orderRequest(toGive, this->settings.self.id),
                          now + callPatience, onAnswer, now, orderOpensWithin);
}

void Proxy::askReport(const AskReport &ask)
{
    const Instant askedAt = monotonicNow();
    const auto onAnswer = [this, ask, askedAt](std::optional<CallAnswer> answer) {
        ReportRead read{ ask.engine, askedAt, std::nullopt };
        if (answer)
            read.state = this->format.readReport(ask, answer->head, answer->body);
        const Instant now = monotonicNow();
        this->metrics.reports.add(now - askedAt);
        Actions actions;
        handle(this->core, read, now, actions);
        this->run(actions);
    };
    this->httpCalls.start(ask.address, this->format.reportRequest(ask), askedAt + callPatience,
                          onAnswer, askedAt);
}

void Proxy::tick()
{
    const Instant now = monotonicNow();
    Actions actions;
    gateway::tick(this->core, wallMillis(), now, actions);
    this->run(actions);
    this->httpCalls.endOverdue(now);
    this->connections.closeLate(now);
    this->closeLateCallers(now);
    flushLog();
    if (isStopping(this->core))
        this->endStopping(now);
}

void Proxy::closeLateCallers(Instant now)
{
    const CallerLimits &limits = this->core.configuration.limits;
    const CallerPatience patience{ limits.headPatience, limits.idlePatience };
    std::erase_if(this->sessions, [&](const auto &entry) {
        return entry.second->isFinished(now) || entry.second->isLate(patience, now);
    });
    std::erase_if(this->operations, [&](const auto &entry) {
        return entry.second->isFinished(now) || entry.second->isLate(patience, now);
    });
}

void Proxy::stop()
{
    if (isStopping(this->core))
        return;
    writeLog(LogLevel::Info, "stop_asked",
             { { "open_requests", std::to_string(this->open.size()) } });
    Actions actions;
    beginStop(this->core, monotonicNow(), actions);
    this->run(actions);
}

void Proxy::endStopping(Instant now)
{
    const Span waited = now - this->core.stopAskedAt;
    if (waited < balancerNotices)
        return;
    for (const auto &[id, session] : this->sessions)
        session->close(!session->hasBegun());
    const bool isLast = waited >= this->settings.self.stopGrace - leavesBefore;
    const bool isSettled = this->open.empty() && waited >= balancerNotices + balancerNotices / 3;
    if (!isLast && !isSettled)
        return;
    writeLog(LogLevel::Info, "stopped", { { "open_requests", std::to_string(this->open.size()) } });
    flushLog();
    QCoreApplication::quit();
}

void Proxy::acceptOperations(UniqueFd descriptor)
{
    const SessionId id = this->nextSession++;
    CallerConnection::Handlers handlers;
    handlers.onRequest = [this, id] {
        this->answerOperations(id);
    };
    handlers.onBadRequest = [this, id](const Error &error) {
        const int status = infoOf(error.code).httpStatus;
        this->operations.at(id)->answer(status, reasonPhrase(status), {}, {}, monotonicNow());
    };
    handlers.onLeft = [] {
    };
    handlers.onDrained = [] {
    };
    this->operations[id] = std::make_unique<CallerConnection>(
            std::move(descriptor), RequestLimits{}, std::move(handlers), monotonicNow());
}

void Proxy::answerOperations(SessionId id)
{
    CallerConnection &session = *this->operations.at(id);
    const Instant now = monotonicNow();
    if (session.request().target.ends_with("/metrics")) {
        session.answer(200, "OK", { { "Content-Type", "text/plain; version=0.0.4" } },
                       metricsText(this->core, this->metrics, this->connections.count(),
                                   this->sessions.size(), now),
                       now);
        return;
    }
    const int status = isReady(this->core) ? 200 : 503;
    session.answer(status, status == 200 ? "OK" : "Service Unavailable", {}, {}, now);
}

} // namespace azurewell
