#pragma once

#include "azurewell/http/tcp_stream.h"
#include "azurewell/units/time.h"

#include <functional>
#include <list>
#include <memory>

namespace azurewell {

/// Probes that open a connection, send nothing and close it.
class ConnectProbes
{
public:
    /// Called once, with whether the connection opened before the deadline.
    using Handler = std::function<void(bool)>;

    /// The handler is never called from within start(), and at the first endOverdue() after
    /// \a deadline at the latest.
    void start(const Endpoint &to, Instant deadline, Handler handler);

    void endOverdue(Instant now);

private:
    struct Probe
    {
        std::unique_ptr<TcpStream> stream;
        Instant deadline;
        Handler handler;
    };

    void end(std::list<Probe>::iterator probe, bool isOpen);

    std::list<Probe> probes;
    /// Destroyed at the next endOverdue(), as a stream may end from within its own functions.
    std::list<std::unique_ptr<TcpStream>> endedStreams;
};

} // namespace azurewell
