#include "azurewell/proxy/connect_probes.h"

#include <vector>

namespace azurewell {

void ConnectProbes::start(const Endpoint &to, Instant deadline, Handler handler)
{
    const ProbeId id = this->nextId++;
    Probe &probe = this->probes[id];
    probe.deadline = deadline;
    probe.handler = std::move(handler);
    probe.stream = TcpStream::open(to,
                                   { [this, id] { this->end(id, true); },
                                     {},
                                     [this, id](StreamEnd) { this->end(id, false); },
                                     {} });
}

void ConnectProbes::end(ProbeId id, bool isOpen)
{
    const auto found = this->probes.find(id);
    if (found == this->probes.end())
        return;
    const Handler handler = std::move(found->second.handler);
    this->endedStreams.push_back(std::move(found->second.stream));
    this->probes.erase(found);
    handler(isOpen);
}

void ConnectProbes::endOverdue(Instant now)
{
    this->endedStreams.clear();
    std::vector<ProbeId> overdue;
    for (const auto &[id, probe] : this->probes) {
        if (now >= probe.deadline)
            overdue.push_back(id);
    }
    for (const ProbeId id : overdue)
        this->end(id, false);
}

} // namespace azurewell
