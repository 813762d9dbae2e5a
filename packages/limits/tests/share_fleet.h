#pragma once

#include "azurewell/limits/share_holder.h"

#include <functional>
#include <queue>
#include <random>
#include <string>

namespace azurewell {

/// Whether a customer stays within rate x window + burst over every window, checked as tokens are
/// made: `excess` is the largest of (made - rate x length) over all windows that end now.
struct BoundMeter
{
    double ratePerSecond = 0;
    double burst = 0;
    double excess = 0;
    double worst = 0;   ///< The largest excess over the burst so far; above zero is a violation.
    double fullest = 0; ///< The largest part of the burst that was ever used.
    Instant at;
};

void noteMade(BoundMeter &meter, Tokens amount, Instant now);
/// Changes the bound; a smaller one counts for windows that begin from now on.
void setBound(BoundMeter &meter, double ratePerSecond, double burst, Instant now);

/// A ticket of the small fleet: seats of each zone, and one customer's terms.
struct FleetTicket
{
    ZoneSeats zones;
    ShareTerms terms;
};

/// How likely and how long things go wrong.
struct FleetFaults
{
    double lost = 0;
    double doubled = 0;
    Span mostDelay = fromSeconds(0.02);
    double pausesPerSecond = 0; ///< Of all hosts together, as the rates below.
    double replacementsPerSecond = 0;
    double cutsPerSecond = 0;
    double ticketsPerSecond = 0;
};

struct FleetRequest
{
    RequestId id;
    Tokens cost;
    Tokens made;
    Instant endsAt;        ///< Global time.
    bool isLumped = false; ///< All tokens come at the end.
};

struct FleetHost
{
    ShareHolder holder;
    double clockRate = 1.0;
    std::size_t ticketsRead = 0;
    Instant startedAt;
    Instant pausedUntil;
    bool isEnded = false;
    std::uint64_t admitted = 0;
    std::vector<FleetRequest> running;
    std::deque<FleetRequest> waiting;
    std::vector<std::pair<HostLife, ShareBody>> inbox; ///< Arrived while it was paused.
};

struct FleetMessage
{
    Instant arrivesAt;
    std::uint64_t order = 0;
    std::size_t to = 0;
    HostLife sender;
    ShareBody body;

    bool operator<(const FleetMessage &other) const
    {
        return std::tie(other.arrivesAt, other.order) < std::tie(this->arrivesAt, this->order);
    }
};

/// A few share holders with one customer, and everything that can go wrong between them, from one
/// seed. Time advances by steps of stepLength.
struct ShareFleet
{
    ShareFleet(std::uint64_t seed, ShareSettings settings, FleetFaults faults, FleetTicket first);

    void run(Span length);
    void step();
    /// A host is ended and another one begins in its seat, or the paused one wakes beside it.
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
    std::map<std::pair<ZoneId, ZoneId>, Instant> cutUntil;
    BoundMeter meter;
    double requestsPerSecond = 120; ///< While it is busy.
    double lumped = 0.5;            ///< This part of the requests gets all its tokens at the end.
    bool isBusy = false;
    Instant phaseEnds;
    std::size_t hotHost = 0; ///< Gets most of the requests.
    std::uint64_t sequence = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;

private:
    double uniform();
    Instant localTime(const FleetHost &host) const;
    void beginHost(const SeatId &seat);
    bool isRunning(const FleetHost &host) const;
    bool isCut(const ZoneId &a, const ZoneId &b) const;
    void breakThings();
    void changeSeats(FleetTicket &ticket);
    void readTickets(FleetHost &host);
    void arrive();
    void deliver(FleetHost &host, const FleetMessage &message);
    void tend(FleetHost &host);
    void makeTokens(FleetHost &host);
    void admit(FleetHost &host);
    void send(const FleetHost &from, std::vector<ShareOutgoing> &out);
    void updateBound();
};

} // namespace azurewell
