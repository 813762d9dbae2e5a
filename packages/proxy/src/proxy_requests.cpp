#include "azurewell/proxy/proxy.h"

#include "azurewell/gateway/request_digest.h"
#include "azurewell/http/clock.h"
#include "azurewell/http/message_bounds.h"
#include "azurewell/logging/log.h"
#include "forward_headers.h"
#include "text.h"

#include <algorithm>

namespace azurewell {

using namespace gateway;

namespace {

/// A request is begun only once its caller was seen to be there; for this time it counts as seen.
constexpr Span maxSinceCallerSeen = std::chrono::milliseconds(5);

/// Unsent bytes to a slow caller above which reading from its upstream is paused.
constexpr std::size_t maxUnsentBytes = 128ULL * 1024;

/// All bodies that are held back are added up once for so many newly allocated bytes.
constexpr std::size_t heldBytesBetweenSums = 64ULL * 1024;

/// The status that the caller gets. A status that implies that the request has not run is used only
/// if that is certain.
int statusOf(const Refuse &refusal)
{
    const int stated = infoOf(refusal.code).httpStatus;
    if (!refusal.isNotRun)
        return refusal.code == ResultCode::UpstreamSilent ? 504 : 502;
    return (stated >= 400 && stated < 500) ? stated : 503;
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

/// \a digests in hexadecimal, separated by commas.
std::string inText(const std::vector<RequestDigest> &digests)
{
    std::string text;
    for (const RequestDigest &digest : digests)
        text += (text.empty() ? "" : ",") + inHex(digest);
    return text;
}

} // namespace

void Proxy::dispatch(const Dispatch &toSend)
{
    const auto found = this->open.find(toSend.request);
    if (found == this->open.end())
        return;
    OpenRequest &request = found->second;
    const Instant now = monotonicNow();
    if (this->hasCallerLeft(request, now))
        return;
    const RequestHead &line = this->sessions.at(request.session)->request();
    this->beginAttempt(request, toSend.attempt, toSend.isBuffered, now);
    request.isAtPeer = false;
    request.upstream = toSend.upstream;
    const std::vector<HttpHeader> headers = withoutInternalHeaders(
            this->format.upstreamHeaders(line, toSend));
    this->send(toSend.request, request, toSend.address, headers, now);
}

/// Sends the caller's request with \a headers to an upstream or another host.
void Proxy::send(RequestNumber number, OpenRequest &request, const Endpoint &to,
                 const std::vector<HttpHeader> &headers, Instant now)
{
    CallerConnection &session = *this->sessions.at(request.session);
    const RequestHead &line = session.request();
    const bool isFirst = request.sentTo.insert(to).second;
    request.exchange = this->connections.start(
            to, requestBytes(line.method, line.target, headers, session.body(), line.hasBody),
            line.method == "HEAD", this->handlersFor(number, request), now, defaultConnectTimeout,
            isFirst ? ConnectionChoice::Any : ConnectionChoice::New);
}

/// Whether the caller of \a request, which is about to be sent, has left. If so, the request has
/// been ended.
bool Proxy::hasCallerLeft(const OpenRequest &request, Instant now)
{
    return now >= request.arrivedAt + maxSinceCallerSeen
            && this->sessions.at(request.session)->detectLeaving();
}

void Proxy::beginAttempt(OpenRequest &request, std::uint32_t attempt, bool isBuffered, Instant now)
{
    request.attempt = attempt;
    request.isHeldBack = isBuffered;
    request.isAtUpstream = true;
    request.facts = {};
    request.body.clear();
    request.sentAt = now;
    if (attempt == 1)
        this->metrics.timeToDispatch.add(now - request.arrivedAt);
}

ExchangeHandlers Proxy::handlersFor(RequestNumber number, const OpenRequest &request)
{
    ExchangeHandlers handlers;
    handlers.onHead = [this, number](const ResponseHead &head) {
        this->handleHead(number, head);
    };
    handlers.onBody = [this, number](const std::string &body) {
        this->handleBody(number, body);
    };
    handlers.onComplete = [this, number] {
        this->complete(number);
    };
    handlers.onFailure = [this, number](ExchangeFailure failure) {
        this->fail(number, failure);
    };
    handlers.beforeSending = [this, number] {
        const auto found = this->open.find(number);
        if (found != this->open.end())
            this->hasCallerLeft(found->second, monotonicNow());
    };
    handlers.matchesRequest = [this, callerId = request.callerId](const ResponseHead &head) {
        return this->format.isAnswerTo(head, callerId);
    };
    return handlers;
}

void Proxy::handleHead(RequestNumber number, const ResponseHead &head)
{
    const auto found = this->open.find(number);
    if (found == this->open.end())
        return;
    OpenRequest &request = found->second;
    request.head = head;
    request.head.headers = withoutInternalHeaders(request.head.headers);
    request.facts = this->format.readReply(head, request.callerId);
    ++this->metrics.answersByFraming[head.framing];
    if (request.isAtPeer)
        this->handleForwardHead(request, head);
    else
        this->applyAnswerFacts(request);
    // Only successful streams are forwarded chunk by chunk; a failure is buffered, so that the
    // answer of a retry can replace it.
    if (!isSuccess(head) || !request.facts.isAttested)
        request.isHeldBack = true;
}

void Proxy::applyAnswerFacts(const OpenRequest &request)
{
    this->core.counters.ignoredLoadValues += request.facts.ignoredLoadValues;
    if (request.facts.load)
        handle(this->core, LoadStated{ request.upstream, *request.facts.load }, monotonicNow());
    const UpstreamStatements statements = this->format.readStatements(request.head,
                                                                      request.upstream);
    Actions actions;
    handle(this->core,
           LimitStated{ request.upstream,
                        limitFrom(statements.limitPerSecond, statements.maxRejections),
                        request.sentAt, false },
           monotonicNow(), actions);
    this->run(actions);
    this->applyStatements(request.upstream, statements);
}

void Proxy::applyStatements(const UpstreamId &upstream, const UpstreamStatements &statements)
{
    if (statements.isMalformed) {
        ++this->metrics.malformedStatements;
        writeLog(LogLevel::Warning, "upstream_statement_unreadable",
                 { { "upstream", upstream.value } });
    }
    Actions actions;
    if (statements.isLeaving)
        handle(this->core, LeavingStated{ upstream }, monotonicNow(), actions);
    if (statements.pause > Span{})
        handle(this->core, PauseStated{ upstream, statements.pause }, monotonicNow(), actions);
    this->run(actions);
}

void Proxy::handleBody(RequestNumber number, const std::string &body)
{
    const auto found = this->open.find(number);
    if (found == this->open.end())
        return;
    OpenRequest &request = found->second;
    if (request.isHeldBack) {
        this->holdBody(number, body);
        return;
    }
    CallerConnection &session = *this->sessions.at(request.session);
    const Instant now = monotonicNow();
    if (request.isHeadSent) {
        const Span pause = now - request.lastChunkAt;
        request.longestPause = std::max(request.longestPause, pause);
        this->metrics.timeBetweenChunks.add(pause);
    }
    request.lastChunkAt = now;
    if (!request.isHeadSent) {
        if (!this->mayBeginAnswer(number, now))
            return;
        request.isHeadSent = true;
        request.firstByteAt = now;
        this->recordFirstByte(request, now);
        // Also where the upstream's answer ends with its connection: the last chunk says that the
        // upstream has ended it, and without one the end of this host would say the same.
        const bool isChunked = session.request().acceptsChunks;
        session.beginBody(request.head.status, request.head.reason, this->answerHeaders(request),
                          isChunked ? BodyFraming::Chunked : BodyFraming::Close);
    }
    session.sendBody(body);
    if (session.unsentBytes() > maxUnsentBytes && !std::exchange(request.isPaused, true)) {
        this->pausedUpstreams.insert(number);
        this->connections.pauseReading(request.exchange, true);
    }
    this->relieveMemory();
}

/// Adds \a body to the answer that is held back for \a number. An answer over its bound, or the
/// longest one if the host holds too much, ends its attempt.
void Proxy::holdBody(RequestNumber number, const std::string &body)
{
    OpenRequest &request = this->open.at(number);
    this->heldSinceSum += request.body.append(body);
    if (request.body.size() > maxHeldBodyBytes) {
        this->endOversized(number);
        return;
    }
    if (this->heldSinceSum < heldBytesBetweenSums)
        return;
    this->heldSinceSum = 0;
    std::size_t held = 0;
    std::size_t longest = 0;
    RequestNumber longestOf = number;
    for (const auto &[other, waiting] : this->open) {
        const std::size_t allocated = waiting.body.allocatedBytes();
        held += allocated;
        if (waiting.isAtUpstream && allocated > longest) {
            longest = allocated;
            longestOf = other;
        }
    }
    if (held > maxHeldBytesOfHost)
        this->endOversized(longestOf);
}

/// Ends the attempt of \a number, whose answer is too long.
void Proxy::endOversized(RequestNumber number)
{
    OpenRequest &request = this->open.at(number);
    this->connections.cancel(request.exchange);
    request.body.clear();
    this->fail(number, ExchangeFailure::Oversized);
}

/// Whether the core lets the answer of the current attempt begin. If not, it has repeated or
/// refused the request.
bool Proxy::mayBeginAnswer(RequestNumber number, Instant now)
{
    const std::uint32_t attempt = this->open.at(number).attempt;
    Actions actions;
    handle(this->core, AnswerBegan{ number, attempt }, now, actions);
    this->run(actions);
    const auto found = this->open.find(number);
    return found != this->open.end() && found->second.attempt == attempt
            && found->second.isAtUpstream;
}

void Proxy::recordFirstByte(const OpenRequest &request, Instant now)
{
    this->metrics.timeToFirstByte.add(now - request.arrivedAt);
    this->learnFromAnswer(request, now);
}

void Proxy::answerBuffered(OpenRequest &request)
{
    const Instant now = monotonicNow();
    this->recordFirstByte(request, now);
    CallerConnection &session = *this->sessions.at(request.session);
    request.isHeadSent = true;
    const std::vector<HttpHeader> headers = this->answerHeaders(request);
    session.answer(request.head.status, request.head.reason, headers, request.body.take(), now);
}

void Proxy::recordAnswer(const OpenRequest &request)
{
    const Instant now = monotonicNow();
    this->metrics.requestDuration.add(now - request.arrivedAt);
    const Instant first = request.isHeadSent ? request.firstByteAt : now;
    writeLog(LogLevel::Info, "request_answered",
             { { "request", request.callerId },
               { "status", std::to_string(request.head.status) },
               { "upstream", request.upstream.value },
               { "path", request.path },
               { "adapter", request.model.adapter },
               { "framing", std::string(nameOf(request.head.framing)) },
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
    if (request.isAtPeer) {
        this->completeForward(number);
        return;
    }
    if (request.facts.isNotRun) {
        this->endAttempt(number,
                         request.facts.isMisdirected ? AttemptOutcome::NotThere
                                                     : AttemptOutcome::NotRun);
        return;
    }
    if (!request.facts.isAttested) {
        // An unsigned answer does not come from the upstream: it was altered on the way.
        this->endAttempt(number, AttemptOutcome::Failed);
        return;
    }
    this->recordAnswer(request);
    const AttemptOutcome outcome = request.facts.isFault ? AttemptOutcome::FaultStated
                                                         : AttemptOutcome::Done;
    this->endAttempt(number, outcome);
    // The core has sent it to another upstream, or was about to as its caller was seen to have
    // left.
    if (this->core.requests.contains(number) || !this->open.contains(number))
        return;
    this->deliver(number);
}

void Proxy::deliver(RequestNumber number)
{
    const SessionId session = this->open.at(number).session;
    this->requestOf.erase(session);
    OpenRequest done = std::move(this->open.at(number));
    this->open.erase(number);
    if (done.isHeadSent)
        this->sessions.at(session)->complete(monotonicNow());
    else
        this->answerBuffered(done);
    this->relieveMemory();
}

void Proxy::fail(RequestNumber number, ExchangeFailure failure)
{
    const auto found = this->open.find(number);
    if (found == this->open.end())
        return;
    found->second.isAtUpstream = false;
    this->metrics.oversizedAnswers += failure == ExchangeFailure::Oversized ? 1 : 0;
    if (found->second.isAtPeer) {
        this->failForward(number, failure);
        return;
    }
    // A statement that the request was not run is valid even if the connection then fails.
    const bool isNotRun = found->second.facts.isNotRun;
    const bool isTruncated = failure == ExchangeFailure::Truncated;
    this->metrics.truncatedAnswers += isTruncated ? 1 : 0;
    const AttemptOutcome broken = isNotRun ? AttemptOutcome::NotRun : AttemptOutcome::Failed;
    this->endAttempt(number, failure == ExchangeFailure::NotSent ? AttemptOutcome::NotSent : broken,
                     failure == ExchangeFailure::CutOff || isTruncated);
}

void Proxy::endAttempt(RequestNumber number, AttemptOutcome outcome, bool isCutOff)
{
    const OpenRequest &request = this->open.at(number);
    if (outcome != AttemptOutcome::Done) {
        const RequestRecord &record = this->core.requests.at(number);
        writeLog(LogLevel::Info, "attempt_ended",
                 { { "request", request.callerId },
                   { "digest", inHex(record.digest) },
                   { "parts", inText(record.partDigests) },
                   { "attempt", std::to_string(request.attempt) },
                   { "upstream", request.upstream.value },
                   { "outcome", std::string(nameOf(outcome)) },
                   { "cut_off", isCutOff ? "true" : "false" },
                   { "status", std::to_string(request.head.status) },
                   { "framing", std::string(nameOf(request.head.framing)) },
                   { "after_ms", inMillis(monotonicNow() - request.sentAt) } });
    }
    Actions actions;
    handle(this->core,
           AttemptEnded{ number, request.attempt, outcome, request.isHeadSent, isCutOff,
                         request.head.framing != BodyFraming::Close },
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
               { "digest", inHex(refusal.digest) },
               { "code", std::string(infoOf(refusal.code).name) },
               { "status", request.isHeadSent ? "broken_off" : std::to_string(status) },
               { "not_run", refusal.isNotRun ? "true" : "false" },
               { "upstream", request.upstream.value },
               { "path", request.path },
               { "adapter", request.model.adapter },
               { "prompt_tokens", std::to_string(request.promptTokens.count) },
               { "attempts", std::to_string(request.attempt) },
               { "configuration", std::to_string(this->core.configuration.version) },
               { "after_ms", inMillis(monotonicNow() - request.arrivedAt) } });
    if (request.isHeadSent) {
        session.abort();
        return;
    }
    const std::vector<HttpHeader> headers = this->refusalHeaders(
            request.session, { refusal.code, refusal.isNotRun, refusal.retryAfter });
    session.answer(status, reasonPhrase(status), headers,
                   refusalBody(refusal.code, refusal.isNotRun), monotonicNow());
}

} // namespace azurewell
