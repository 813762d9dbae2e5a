#pragma once

#include "engine.h"

#include <deque>
#include <functional>
#include <queue>

namespace azurewell::faults {

struct Options
{
    std::uint64_t seed = 1;
    int hosts = 6;
    int steps = 600;
    InjectedBug injectedBug = InjectedBug::None;
    bool hasFaults = true;
    bool isTraced = false; ///< Prints faults, orders and dispatches.
};

inline constexpr int zoneCount = 3;
inline constexpr Span stepLength = fromSeconds(0.05);
/// Maximum time until a connected host has applied what the platform published.
inline constexpr Span propagationLimit = fromSeconds(8);

/// A host process with the state of its simulated shell.
struct SimHost
{
    HostId id;
    ZoneId zone;
    int zoneIndex = 0;
    HostState state;
    StateInForce initialState; ///< For InjectedBug::RevertToFirstTicket.
    bool isUp = false;
    double clockRate = 1;
    Instant clockZero; ///< Virtual time at which its clock was zero.
    Instant pausedUntil;
    Instant connectedSince;  ///< Neither paused nor partitioned from the platform since then.
    std::deque<Event> inbox; ///< Events that arrived while it was paused.
    Instant nextPlatformRead;
    Instant nextListRead;
    HostId hiddenFromList; ///< Host that is missing from its host list until hiddenUntil.
    Instant hiddenUntil;
    TicketNumber highestTicket;
    std::map<UpstreamId, Instant> leavingSince; ///< According to the last host list that it read.
    bool isStopping = false;
    std::uint64_t requests = 0;
};

/// Hosts, engines, services and the platform on one virtual clock.
struct World
{
    Options options;
    KnownCharts charts;
    std::mt19937_64 random;
    Instant now;
    int step = 0;
    Checks checks;
    std::vector<SimHost> hosts;
    std::vector<Engine> engines;
    std::vector<std::string> tickets; ///< Text of ticket number index + 1.
    std::vector<Instant> publishedAt;
    std::map<KeyHash, CustomerId> keys;
    std::map<KeyHash, Instant> withdrawnAt;
    std::set<UpstreamId> leavingUpstreams; ///< According to the platform's host list.
    /// By pair of zones; zoneCount is the platform.
    std::map<std::pair<int, int>, Instant> partitionedUntil;
    Instant unreliableUntil; ///< Until then messages are lost, duplicated and reordered.
    Instant slowOrdersUntil;
    Instant stalePlatformUntil;
    std::uint64_t nextIncarnation = 1;

    struct ScheduledCallback
    {
        Instant at;
        std::uint64_t sequenceNumber;
        std::function<void()> run;
        bool operator<(const ScheduledCallback &other) const
        {
            return std::tie(other.at, other.sequenceNumber)
                    < std::tie(this->at, this->sequenceNumber);
        }
    };
    std::priority_queue<ScheduledCallback> scheduled;
    std::uint64_t nextSequenceNumber = 0;

    // world.cpp
    explicit World(const Options &chosen);
    bool chance(double probability);
    Span randomSpan(double fromSecond, double toSecond);
    std::size_t randomIndex(std::size_t count);
    void schedule(Span delay, std::function<void()> run);
    bool isPartitioned(int zoneA, int zoneB) const;
    Instant clockOf(const SimHost &host) const;
    bool isPaused(const SimHost &host) const;
    SimHost &findHost(const HostId &id);
    Engine *findEngine(const UpstreamId &id);
    void startHost(SimHost &host);
    void deliver(SimHost &host, const Event &event);
    /// Delivers \a event if \a incarnation of the host is still running.
    void deliverToIncarnation(const HostId &id, Incarnation incarnation, const Event &event);
    void trace(const std::string &text) const;
    void runStep();
    /// Runs all steps. The first failure with its step; nullopt if no check failed.
    std::optional<std::string> run();

    // shell.cpp: executes the actions of the hosts.
    void execute(SimHost &host, const Action &action);
    void sendPeer(SimHost &host, const SendPeer &message);
    void dispatch(SimHost &host, const Dispatch &order);
    void send(const HostId &id, Incarnation incarnation, const Dispatch &order);
    void arrive(const HostId &host, Incarnation incarnation, const Dispatch &order);
    void runService(const HostId &host, Incarnation incarnation, const Dispatch &order);
    void orderEngine(SimHost &host, const OrderEngine &order);
    void executeOrder(const HostId &host, Incarnation incarnation, const OrderEngine &order,
                      Instant notAfter);
    bool isOrderTimedOut(const HostId &id, Incarnation incarnation, Instant notAfter);
    void closeAttempt(SimHost &host, const CancelAttempt &order);
    void queryLoad(SimHost &host, const QueryLoadReport &query);
    void cancel(const CancelAttempt &order);
    void checkDispatch(SimHost &host, const Dispatch &order, const CallerRecord &caller);
    void makeTokens();
    void endAttempt(const Sequence &sequence, AttemptOutcome outcome, Span delay);

    // configuration_service.cpp: tickets, lists, callers.
    void publish(const std::string &text);
    void publishInitialTicket();
    void publishChange();
    void readPlatform(SimHost &host);
    void readList(SimHost &host);
    void checkTickets(SimHost &host);
    void sendRequests();

    // fault_injection.cpp: faults and injected bugs.
    void injectFault();
    void injectBug(SimHost &host);
};

} // namespace azurewell::faults
