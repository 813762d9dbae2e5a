#include "azurewell/proxy/connect_probes.h"

#include <vector>

namespace azurewell {

void ConnectProbes::start(const Endpoint &to, Instant deadline, Handler handler)
{
    const auto probe = this->probes.emplace(this->probes.end());
    probe->deadline = deadline;
    probe->handler = std::move(handler);
    probe->stream = TcpStream::open(to,
                                    { [this, probe] { this->end(probe, true); },
                                      {},
                                      [this, probe](StreamEnd) { this->end(probe, false); },
                                      {} });
}

void ConnectProbes::end(std::list<Probe>::iterator probe, bool isOpen)
{
    const Handler handler = std::move(probe->handler);
    this->endedStreams.push_back(std::move(probe->stream));
    this->probes.erase(probe);
    handler(isOpen);
}

void ConnectProbes::endOverdue(Instant now)
{
    this->endedStreams.clear();
    std::vector<std::list<Probe>::iterator> overdue;
    for (auto probe = this->probes.begin(); probe != this->probes.end(); ++probe) {
        if (now >= probe->deadline)
            overdue.push_back(probe);
    }
    for (const auto &probe : overdue)
        this->end(probe, false);
}

} // namespace azurewell
