#include "azurewell/proxy/proxy.h"

#include "azurewell/http/clock.h"
#include "azurewell/logging/log.h"
#include "forward_headers.h"
#include "text.h"

namespace azurewell {

using namespace gateway;

namespace {

std::string_view nameOf(ForwardOutcome outcome)
{
    switch (outcome) {
    case ForwardOutcome::Answered:
        return "answered";
    case ForwardOutcome::NotSent:
        return "not_sent";
    case ForwardOutcome::Refused:
        return "refused";
    case ForwardOutcome::Failed:
        break;
    }
    return "failed";
}

} // namespace

void Proxy::acceptPeer(UniqueFd descriptor)
{
    const std::string ip = peerIpOf(descriptor);
    const bool isFull = this->peerSessions.size() >= this->maxConnections.peers;
    if (isFull || !isMemberIp(this->core.members, ip)) {
        ++this->metrics.peerConnectionsRejected;
        writeLog(LogLevel::Warning, "peer_connection_rejected",
                 { { "ip", ip }, { "reason", isFull ? "too_many" : "no_member" } });
        return;
    }
    this->openSession(std::move(descriptor), true);
}

Result<RequestArrived> Proxy::readArrival(SessionId id)
{
    const RequestHead &head = this->sessions.at(id)->request();
    Result<RequestArrived> arrival = this->format.readRequest(head);
    if (!arrival || !this->peerSessions.contains(id))
        return arrival;
    const Result<ForwardedRequest> forwarded = readForwarded(head.headers);
    if (!forwarded)
        return forwarded.error();
    arrival.value().forwarded = forwarded.value();
    arrival.value().key.reset();
    return arrival;
}

void Proxy::forward(const Forward &toSend)
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
    request.isAtPeer = true;
    request.upstream = {};
    request.refusal.reset();
    std::vector<HttpHeader> headers = withoutInternalHeaders(this->format.forwardHeaders(line));
    headers.push_back(forwardedHeaderOf(toSend.forwarded));
    this->send(toSend.request, request, toSend.address, headers, now);
}

void Proxy::handleForwardHead(OpenRequest &request, const ResponseHead &head)
{
    request.refusal = readForwardRefusal(head.headers);
    request.upstream = readUpstreamHeader(head.headers);
    request.head.framing = readFramingHeader(head.headers, head.framing);
    if (!request.upstream.value.empty())
        this->applyStatements(request.upstream,
                              this->format.readStatements(head, request.upstream));
    if (!request.refusal && request.facts.isNotRun)
        request.refusal = ForwardRefusal{ ResultCode::UpstreamRefused, true, {} };
}

void Proxy::completeForward(RequestNumber number)
{
    const OpenRequest &request = this->open.at(number);
    if (request.refusal) {
        this->endForward(number, ForwardOutcome::Refused);
        return;
    }
    if (!request.facts.isAttested) {
        this->endForward(number, ForwardOutcome::Failed);
        return;
    }
    this->recordAnswer(request);
    this->endForward(number, ForwardOutcome::Answered);
    this->deliver(number);
}

void Proxy::failForward(RequestNumber number, ExchangeFailure failure)
{
    const bool isRefused = this->open.at(number).refusal.has_value();
    const ForwardOutcome broken = isRefused ? ForwardOutcome::Refused : ForwardOutcome::Failed;
    this->endForward(number,
                     failure == ExchangeFailure::NotSent ? ForwardOutcome::NotSent : broken);
}

void Proxy::endForward(RequestNumber number, ForwardOutcome outcome)
{
    const OpenRequest &request = this->open.at(number);
    if (outcome != ForwardOutcome::Answered) {
        writeLog(LogLevel::Info, "forward_ended",
                 { { "request", request.callerId },
                   { "attempt", std::to_string(request.attempt) },
                   { "outcome", std::string(nameOf(outcome)) },
                   { "after_ms", inMillis(monotonicNow() - request.sentAt) } });
    }
    ForwardEnded ended{ number, request.attempt, outcome, {}, request.isHeadSent };
    if (request.refusal)
        ended.refusal = *request.refusal;
    Actions actions;
    handle(this->core, ended, monotonicNow(), actions);
    this->run(actions);
}

std::vector<HttpHeader> Proxy::answerHeaders(const OpenRequest &request) const
{
    std::vector<HttpHeader> headers = endToEndHeaders(request.head.headers);
    if (!this->peerSessions.contains(request.session))
        return headers;
    headers.push_back(upstreamHeaderOf(request.upstream));
    if (request.head.framing == BodyFraming::Close)
        headers.push_back(framingHeaderOf(request.head.framing));
    return headers;
}

std::vector<HttpHeader> Proxy::refusalHeaders(SessionId session,
                                              const ForwardRefusal &refusal) const
{
    std::vector<HttpHeader> headers{ { "Content-Type", "application/json" } };
    if (refusal.retryAfter > Span{})
        headers.push_back({ "Retry-After", inSeconds(refusal.retryAfter) });
    if (this->peerSessions.contains(session))
        headers.push_back(refusalHeaderOf(refusal));
    return headers;
}

} // namespace azurewell
