#include "azurewell/http/http_call.h"

namespace azurewell {

void HttpCalls::start(const Endpoint &to, const std::string &request, Instant deadline,
                      std::size_t maxBodyBytes, Handler handler, Instant now, Span connectTimeout)
{
    const auto call = this->calls.emplace(this->calls.end());
    call->deadline = deadline;
    call->maxBodyBytes = maxBodyBytes;
    call->handler = std::move(handler);
    ExchangeHandlers handlers;
    handlers.onHead = [call](const ResponseHead &head) {
        call->answer.head = head;
    };
    handlers.onBody = [this, call](const std::string &body) {
        this->addBody(call, body);
    };
    handlers.onComplete = [this, call] {
        this->finish(call, true);
    };
    handlers.onFailure = [this, call](ExchangeFailure failure) {
        this->oversized += failure == ExchangeFailure::Oversized ? 1 : 0;
        this->finish(call, false);
    };
    handlers.matchesRequest = this->isAnswerToCall;
    call->exchange = this->connections.start(to, request, false, std::move(handlers), now,
                                             connectTimeout);
}

void HttpCalls::addBody(std::list<Call>::iterator call, const std::string &body)
{
    call->answer.body += body;
    if (call->answer.body.size() <= call->maxBodyBytes)
        return;
    ++this->oversized;
    this->connections.cancel(call->exchange);
    this->finish(call, false);
}

void HttpCalls::finish(std::list<Call>::iterator call, bool isWhole)
{
    const Handler handler = std::move(call->handler);
    CallAnswer answer = std::move(call->answer);
    this->calls.erase(call);
    if (isWhole)
        handler(std::move(answer));
    else
        handler(std::nullopt);
}

void HttpCalls::cancelOverdue(Instant now)
{
    for (auto call = this->calls.begin(); call != this->calls.end();) {
        const auto next = std::next(call);
        if (now >= call->deadline) {
            this->connections.cancel(call->exchange);
            this->finish(call, false);
        }
        call = next;
    }
}

} // namespace azurewell
