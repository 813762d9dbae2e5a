#pragma once

#include "azurewell/http/http_call.h"
#include "azurewell/http/upstream_connections.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>

#include <cstddef>
#include <string>

namespace azurewell {

/// Calls of the control thread: reports, orders, reads of the configuration service. Each is sent
/// at most once, and answered whole within its bound and its time, or not at all. Lives in one
/// thread.
class BoundedCalls : public QObject
{
public:
    BoundedCalls();

    /// Sends \a request to \a address, "IP:port" or "name:port". \a handler is called once, never
    /// from within start(); empty if no whole answer with at most \a maxBodyBytes has come by
    /// \a deadline. Nothing is sent on a connection that opens after it.
    void start(const std::string &address, const std::string &request, Instant deadline,
               std::size_t maxBodyBytes, HttpCalls::Handler handler);

private:
    void send(const Endpoint &to, const std::string &request, Instant deadline,
              std::size_t maxBodyBytes, HttpCalls::Handler handler);
    void lookUp(const std::string &address, const std::string &request, Instant deadline,
                std::size_t maxBodyBytes, const HttpCalls::Handler &handler);

    UpstreamConnections connections;
    HttpCalls calls;
    QTimer timer;
};

/// Whether \a answer is one that carries out what was asked for.
bool isSuccess(const std::optional<CallAnswer> &answer);

} // namespace azurewell
