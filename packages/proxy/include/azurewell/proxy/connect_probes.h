#pragma once

#include "azurewell/http/tcp_stream.h"
#include "azurewell/units/time.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
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

    using ProbeId = std::uint64_t;

    /// Does nothing if the probe has ended: its connection may end later.
    void end(ProbeId id, bool isOpen);

    std::map<ProbeId, Probe> probes;
    ProbeId nextId = 1;
    /// Destroyed at the next endOverdue(), as a stream may end from within its own functions.
    std::list<std::unique_ptr<TcpStream>> endedStreams;
};

} // namespace azurewell
