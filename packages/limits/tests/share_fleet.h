#pragma once

#include "azurewell/limits/rate_shares.h"

#include <functional>
#include <queue>
#include <random>
#include <string>

namespace azurewell {

/// Checks that a customer stays within rate x window + burst over every window, as tokens are
/// generated: `excess` is the maximum of (generated - rate x length) over all windows that end now.
struct BoundMeter
{
    double ratePerSecond = 0;
    double burst = 0;
    double excess = 0;
    double worst = 0;   ///< Maximum excess over the burst so far; above zero is a violation.
    double fullest = 0; ///< Maximum fraction of the burst used so far.
    Instant at;
};

void recordGenerated(BoundMeter &meter, Tokens amount, Instant now);
/// Changes the bound; a smaller one applies to windows that begin at \a now or later.
void setBound(BoundMeter &meter, double ratePerSecond, double burst, Instant now);

/// A ticket of the simulated fleet: host ordinals of each zone, and one customer's terms.
struct FleetTicket
{
    ZoneSeats zones;
    ShareTerms terms;
};

/// Probabilities, rates and durations of the injected faults.
struct FleetFaults
{
    double lost = 0;
    double duplicated = 0;
    Span maxDelay = fromSeconds(0.02);
    double pausesPerSecond = 0; ///< Over all hosts, like the rates below.
    double replacementsPerSecond = 0;
    double partitionsPerSecond = 0;
    double ticketsPerSecond = 0;
};

struct FleetRequest
{
    RequestId id;
    Tokens cost;
    Tokens generated;
    Instant endsAt;          ///< Global time.
    bool endsAtOnce = false; ///< All tokens are generated at the end.
};

struct FleetHost
{
    RateShares shares;
    double clockRate = 1.0;
    std::size_t ticketsRead = 0;
    Instant startedAt;
    Instant pausedUntil;
    bool isEnded = false;
    std::uint64_t admitted = 0;
    std::vector<FleetRequest> running;
    std::deque<FleetRequest> waiting;
    std::vector<std::pair<HostIncarnation, ShareBody>>
            inbox; ///< Messages that arrived during a pause.
};

struct FleetMessage
{
    Instant arrivesAt;
    std::uint64_t order = 0;
    std::size_t to = 0;
    HostIncarnation sender;
    ShareBody body;

    bool operator<(const FleetMessage &other) const
    {
        return std::tie(other.arrivesAt, other.order) < std::tie(this->arrivesAt, this->order);
    }
};

/// Simulates hosts that share one customer's rate, with faults injected from one seed. Time
/// advances in steps of stepLength.
struct ShareFleet
{
    ShareFleet(std::uint64_t seed, ShareSettings settings, FleetFaults faults, FleetTicket first);

    void run(Span length);
    void step();
    /// Terminates a host and starts a successor at its ordinal; a paused host resumes beside it.
    void replace(std::size_t index);
    void publish(FleetTicket ticket);
    std::vector<std::uint64_t> admittedByHost() const;

    static constexpr Span stepLength = fromSeconds(0.02);

    std::mt19937_64 random;
    ShareSettings settings;
    FleetFaults faults;
    Instant now{ 1'000'000 };
    std::vector<FleetTicket> tickets;
    std::vector<Instant> publishedAt;
    std::vector<FleetHost> hosts;
    std::priority_queue<FleetMessage> messages;
    std::map<std::pair<ZoneId, ZoneId>, Instant> partitionedUntil;
    BoundMeter meter;
    double requestsPerSecond = 120; ///< In a busy phase.
    double fractionAtOnce = 0.5;    ///< Fraction of requests that get all tokens at their end.
    bool isBusy = false;
    Instant phaseEnds;
    std::size_t hotHost = 0; ///< Receives most of the requests.
    std::uint64_t sequence = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;

private:
    double uniform();
    Instant localTime(const FleetHost &host) const;
    void startHost(const SeatId &seat);
    bool isRunning(const FleetHost &host) const;
    bool isPartitioned(const ZoneId &a, const ZoneId &b) const;
    void injectFaults();
    void changeSeats(FleetTicket &ticket);
    void readTickets(FleetHost &host);
    void addArrivals();
    void deliver(FleetHost &host, const FleetMessage &message);
    void poll(FleetHost &host);
    void generateTokens(FleetHost &host);
    void admit(FleetHost &host);
    void send(const FleetHost &from, std::vector<ShareOutgoing> &out);
    void updateBound();
};

} // namespace azurewell
