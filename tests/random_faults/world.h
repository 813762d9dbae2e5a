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
    Sabotage sabotage = Sabotage::None;
    bool hasFaults = true;
    bool isTraced = false; ///< Prints faults, orders and dispatches.
};

inline constexpr int zoneCount = 3;
inline constexpr Span stepLength = fromSeconds(0.05);
/// "Within seconds": a connected host has to know what was published this long ago.
inline constexpr Span promptly = fromSeconds(8);

/// One host process with the fake shell's memory of it.
struct SimHost
{
    HostId id;
    ZoneId zone;
    int zoneIndex = 0;
    HostState state;
    StateInForce firstState; ///< For Sabotage::OlderTicket.
    bool isUp = false;
    double clockRate = 1;
    Instant clockZero; ///< World time at which its clock read zero.
    Instant pausedUntil;
    Instant connectedSince;  ///< No pause and no cut from the platform since then.
    std::deque<Event> inbox; ///< What came while it was paused.
    Instant nextPlatformRead;
    Instant nextListRead;
    HostId hiddenFromList; ///< A host that its list lacks for now.
    Instant hiddenUntil;
    TicketNumber highestSeen;
    std::map<UpstreamId, Instant> leavingSince; ///< By the list that it has read.
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
    std::set<UpstreamId> leavingUpstreams;           ///< By the platform's list.
    std::map<std::pair<int, int>, Instant> cutUntil; ///< Zones; index zoneCount is the platform.
    Instant messyUntil; ///< Messages are lost, doubled and reordered until then.
    Instant slowOrdersUntil;
    Instant stalePlatformUntil;
    std::uint64_t nextIncarnation = 1;

    struct Timed
    {
        Instant at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Timed &other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };
    std::priority_queue<Timed> timed;
    std::uint64_t nextOrder = 0;

    // world.cpp
    explicit World(const Options &chosen);
    bool chance(double probability);
    Span between(double fromSecond, double toSecond);
    std::size_t pick(std::size_t count);
    void later(Span delay, std::function<void()> run);
    bool isCut(int zoneA, int zoneB) const;
    Instant clockOf(const SimHost &host) const;
    bool isPaused(const SimHost &host) const;
    SimHost &hostOf(const HostId &id);
    Engine *engineOf(const UpstreamId &id);
    void startHost(SimHost &host);
    void give(SimHost &host, const Event &event);
    /// Gives \a event to the life \a incarnation of a host, if that still runs.
    void giveLife(const HostId &id, Incarnation incarnation, const Event &event);
    void trace(const std::string &text) const;
    void runStep();
    /// Runs all steps. The first failure with its step, or nothing.
    std::optional<std::string> run();

    // shell.cpp: what the hosts order.
    void carryOut(SimHost &host, const Action &action);
    void sendPeer(SimHost &host, const SendPeer &message);
    void dispatch(SimHost &host, const Dispatch &order);
    void send(const HostId &id, Incarnation life, const Dispatch &order);
    void arrive(const HostId &host, Incarnation life, const Dispatch &order);
    void runService(const HostId &host, Incarnation life, const Dispatch &order);
    void orderEngine(SimHost &host, const OrderEngine &order);
    void carryOutOrder(const HostId &host, Incarnation life, const OrderEngine &order,
                       Instant notAfter);
    bool givesUp(const HostId &id, Incarnation life, Instant notAfter);
    void closeAttempt(SimHost &host, const CancelAttempt &order);
    void askLoad(SimHost &host, const AskLoad &question);
    void cancel(const CancelAttempt &order);
    void checkDispatch(SimHost &host, const Dispatch &order, const CallerView &caller);
    void makeTokens();
    void endAttempt(const Sequence &sequence, AttemptOutcome outcome, Span delay);

    // platform.cpp: tickets, lists, callers.
    void publish(const std::string &text);
    void publishFirst();
    void publishChange();
    void readPlatform(SimHost &host);
    void readList(SimHost &host);
    void checkTickets(SimHost &host);
    void sendRequests();

    // disturb.cpp
    void disturb();
    void sabotageHost(SimHost &host);
};

} // namespace azurewell::faults
