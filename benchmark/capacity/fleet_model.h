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

/// Size and load of the simulated fleet.
struct FleetOptions
{
    std::uint32_t hosts = 6;
    std::uint32_t zones = 3;
    std::uint32_t enginesPerHost = 10;
    std::uint32_t adapters = 2000;
    std::uint32_t customers = 20;
    double requestsPerHost = 0; ///< Per second.
    double ticketsPerSecond = 0;
    double warmUpSeconds = 10;
    double seconds = 10;
    std::uint64_t seed = 1;
    std::string chartsDirectory;
};

/// Control-plane cost of one node, averaged over all hosts and the measured seconds.
struct NodeCost
{
    double messagesPerSecond = 0; ///< Sent to other hosts.
    double bytesPerSecond = 0;    ///< Sent to other hosts, including frame headers.
    double coreShare = 0; ///< Processor time of handle(), encoding and decoding divided by the
                          ///< simulated time; 0.01 is 1 %.
    double requestsPerSecond = 0;
    std::array<double, std::variant_size_v<PeerBody>> bytesByKind{}; ///< Per second.
    double worstTicketSeconds = 0; ///< Maximum time from publication until all hosts apply it.
};

/// Simulates hosts, their network and the engines in memory. Messages are encoded as on the wire.
class FleetModel
{
public:
    explicit FleetModel(FleetOptions options);
    NodeCost run();

private:
    struct ScheduledEvent
    {
        Instant at;
        std::uint64_t sequence; ///< Keeps events of the same time in order.
        std::uint32_t host;
        Event event;
    };
    struct LaterFirst
    {
        bool operator()(const ScheduledEvent &a, const ScheduledEvent &b) const;
    };

    void makeHosts();
    void publishFirstTicket();
    void publishNextTicket();
    void deliver(std::uint32_t host, const Event &event);
    void execute(std::uint32_t host, const Action &action);
    void schedule(Span delay, std::uint32_t host, Event event);
    void sendRequests();
    void step();
    void recordPropagation();

    FleetOptions options;
    std::vector<HostState> hosts;
    std::map<HostId, std::uint32_t> indexOf;
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, LaterFirst> scheduledEvents;
    std::map<UpstreamId, std::vector<AdapterRef>> loadedAdapters;
    std::mt19937_64 random;
    Instant now;
    std::uint64_t nextSequence = 0;
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
