#include "listener.h"

#include "azurewell/http/clock.h"

#include <fmt/format.h>

#include <cstdlib>

namespace azurewell::soak {

namespace {

UniqueFd openOrExit(const Endpoint &at)
{
    Result<UniqueFd> socket = openListenSocket(at);
    if (socket)
        return std::move(socket.value());
    fmt::print(stderr, "{}:{}: {}\n", at.ip, at.port, socket.error().detail);
    std::exit(2);
}

} // namespace

CallerConnection *connectionOf(const SessionRef &session)
{
    const std::shared_ptr<Session> found = session.lock();
    return found && !found->isDisconnected ? found->connection.get() : nullptr;
}

void answer(const SessionRef &session, int status, const std::vector<HttpHeader> &headers,
            const std::string &body)
{
    CallerConnection *connection = connectionOf(session);
    if (connection && status == 0)
        connection->abort();
    else if (connection)
        connection->answer(status, reasonPhrase(status), headers, body, monotonicNow());
}

Listener::Listener(const Endpoint &at, Handler onRequest)
    : handler(std::move(onRequest))
    , acceptor(openOrExit(at), [this](UniqueFd fd) {
        this->accept(std::move(fd));
        return true;
    })
{
    QObject::connect(&this->cleaner, &QTimer::timeout, [this] { this->removeFinished(); });
    this->cleaner.start(std::chrono::milliseconds(500));
}

void Listener::accept(UniqueFd descriptor)
{
    const std::shared_ptr<Session> session = std::make_shared<Session>();
    const SessionRef reference = session;
    CallerConnection::Handlers handlers;
    handlers.onRequest = [this, reference] {
        if (const std::shared_ptr<Session> found = reference.lock())
            this->handler(found);
    };
    handlers.onBadRequest = [reference](const Error &) {
        answer(reference, 400, {}, {});
    };
    handlers.onDisconnected = [reference] {
        if (const std::shared_ptr<Session> found = reference.lock())
            found->isDisconnected = true;
    };
    handlers.onDrained = [] {
    };
    this->sessions.push_back(session);
    session->connection = std::make_unique<CallerConnection>(std::move(descriptor), RequestLimits{},
                                                             std::move(handlers), monotonicNow());
}

void Listener::removeFinished()
{
    const Instant now = monotonicNow();
    std::erase_if(this->sessions, [now](const std::shared_ptr<Session> &session) {
        return session->isDisconnected || session->connection->isFinished(now);
    });
}

} // namespace azurewell::soak
