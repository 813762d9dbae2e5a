#pragma once

#include "azurewell/host/host.h"

#include <array>
#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace azurewell::capacity {

/// What a run is made of.
struct FleetOptions
{
    std::uint32_t hosts = 6;
    std::uint32_t zones = 3;
    std::uint32_t enginesPerHost = 10;
    std::uint32_t adapters = 2000;
    std::uint32_t customers = 20;
    double requestsPerHost = 0; ///< A second.
    double ticketsPerSecond = 0;
    double warmUpSeconds = 10;
    double seconds = 10;
    std::uint64_t seed = 1;
    std::string chartsDirectory;
};

/// What one node spends, on average over all hosts and the measured seconds.
struct NodeCost
{
    double messagesPerSecond = 0; ///< Sent to other hosts.
    double bytesPerSecond = 0;    ///< Sent to other hosts, whole frames.
    double coreShare = 0; ///< Processor time of handle() and encoding over the time that passed;
                          ///< 0.01 is 1 %.
    double requestsPerSecond = 0;
    std::array<double, std::variant_size_v<PeerBody>> bytesByKind{};
    double worstTicketSeconds = 0; ///< From publication until the last host had it in force.
};

/// Hosts, their network and the engines in memory; each message is encoded as on the wire.
class FleetModel
{
public:
    explicit FleetModel(FleetOptions options);
    NodeCost run();

private:
    struct Due
    {
        Instant at;
        std::uint64_t order;
        std::uint32_t host;
        Event event;
    };
    struct Later
    {
        bool operator()(const Due &a, const Due &b) const;
    };

    void makeHosts();
    void publishFirstTicket();
    void publishNextTicket();
    void give(std::uint32_t host, const Event &event);
    void carryOut(std::uint32_t host, const Action &action);
    void later(Span delay, std::uint32_t host, Event event);
    void sendRequests();
    void step();
    void noteTickets();

    FleetOptions options;
    std::vector<HostState> hosts;
    std::map<HostId, std::uint32_t> indexOf;
    std::priority_queue<Due, std::vector<Due>, Later> due;
    std::map<UpstreamId, std::vector<AdapterRef>> loaded;
    std::mt19937_64 random;
    Instant now;
    std::uint64_t nextOrder = 0;
    std::uint64_t nextRequest = 0;
    std::uint64_t newestTicket = 1;
    Instant ticketPublished;
    bool isTicketPending = false;
    bool isMeasuring = false;
    double requestCredit = 0;
    double ticketCredit = 0;
    double busySeconds = 0;
    NodeCost total;
};

} // namespace azurewell::capacity
