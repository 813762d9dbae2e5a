#pragma once

#include "azurewell/http/caller_connection.h"

#include <QtCore/QTimer>

#include <functional>
#include <memory>
#include <vector>

namespace azurewell::soak {

/// An accepted connection. A late answer keeps it by a weak pointer.
struct Session
{
    std::unique_ptr<CallerConnection> connection;
    bool isDisconnected = false;
};

using SessionRef = std::weak_ptr<Session>;

/// The connection behind \a session, if it can still be answered.
CallerConnection *connectionOf(const SessionRef &session);

/// Sends a whole answer to the current request of \a session, if it can still be answered; with
/// \a status 0, resets the connection instead.
void answer(const SessionRef &session, int status, const std::vector<HttpHeader> &headers,
            const std::string &body);

/// Accepts connections at one address and passes each request on.
class Listener
{
public:
    using Handler = std::function<void(const std::shared_ptr<Session> &)>;

    /// Exits the program if the address cannot be bound.
    Listener(const Endpoint &at, Handler onRequest);

private:
    void accept(UniqueFd descriptor);
    void removeFinished();

    Handler handler;
    TcpAcceptor acceptor;
    QTimer cleaner;
    std::vector<std::shared_ptr<Session>> sessions;
};

} // namespace azurewell::soak
