#include "share_fleet.h"

#include <algorithm>

namespace azurewell {

namespace {

const CustomerId onlyCustomer{ "c" };

/// Differs between host ordinals, as a real hash does.
std::uint64_t weightOf(const CustomerId &, const SeatId &seat)
{
    return (seat.number.value * 2654435761U) ^ (seat.zone.value.back() * 40503U);
}

} // namespace

void recordGenerated(BoundMeter &meter, Tokens amount, Instant now)
{
    meter.excess = std::max(0.0, meter.excess - toSeconds(now - meter.at) * meter.ratePerSecond);
    meter.at = now;
    meter.excess += static_cast<double>(amount.count);
    meter.worst = std::max(meter.worst, meter.excess - meter.burst);
    meter.fullest = std::max(meter.fullest, meter.excess / std::max(1.0, meter.burst));
}

void setBound(BoundMeter &meter, double ratePerSecond, double burst, Instant now)
{
    recordGenerated(meter, Tokens{}, now);
    if (burst < meter.burst || ratePerSecond < meter.ratePerSecond)
        meter.excess = 0;
    meter.ratePerSecond = ratePerSecond;
    meter.burst = burst;
}

ShareFleet::ShareFleet(std::uint64_t seed, ShareSettings fleetSettings, FleetFaults fleetFaults,
                       FleetTicket first)
    : random(seed)
    , settings(fleetSettings)
    , faults(fleetFaults)
{
    this->fractionAtOnce = this->uniform() < 0.5 ? 1.0 : 0.5;
    this->meter.at = this->now;
    this->publish(std::move(first));
    for (const auto &[zone, count] : this->tickets.front().zones) {
        for (std::uint32_t number = 0; number < count; ++number)
            this->startHost(SeatId{ zone, SeatNumber{ number } });
    }
}

double ShareFleet::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

Instant ShareFleet::localTime(const FleetHost &host) const
{
    const double sinceStart = static_cast<double>(this->now.micros) * host.clockRate;
    return Instant{ static_cast<std::int64_t>(sinceStart) };
}

void ShareFleet::startHost(const SeatId &seat)
{
    ++this->sequence;
    FleetHost host;
    const HostIncarnation self{ HostId{ "h" + std::to_string(this->hosts.size()) },
                                Incarnation{ this->sequence } };
    host.shares = makeRateShares(seat, self, &weightOf, this->settings);
    host.clockRate = 1.0 + (this->uniform() - 0.5) * 8e-4; // 400 parts in a million either way
    host.startedAt = this->now;
    this->hosts.push_back(std::move(host));
}

void ShareFleet::publish(FleetTicket ticket)
{
    ticket.terms.customer = onlyCustomer;
    this->tickets.push_back(std::move(ticket));
    this->publishedAt.push_back(this->now);
    this->updateBound();
}

bool ShareFleet::isRunning(const FleetHost &host) const
{
    return !host.isEnded && host.startedAt <= this->now && host.pausedUntil <= this->now;
}

bool ShareFleet::isPartitioned(const ZoneId &a, const ZoneId &b) const
{
    const auto cut = this->partitionedUntil.find({ std::min(a, b), std::max(a, b) });
    return a != b && cut != this->partitionedUntil.end() && this->now < cut->second;
}

/// Sets the bound to the largest of the terms that a host may still apply.
void ShareFleet::updateBound()
{
    const double hold = toSeconds(this->settings.lease + this->settings.maxLentRunTime) * 1.1;
    double rate = this->tickets.back().terms.ratePerSecond;
    double burst = this->tickets.back().terms.burst;
    std::size_t oldest = this->tickets.size();
    for (const FleetHost &host : this->hosts)
        oldest = host.isEnded ? oldest
                              : std::min(oldest, std::max<std::size_t>(1, host.ticketsRead));
    for (std::size_t index = 0; index < this->tickets.size(); ++index) {
        const bool isLast = index + 1 == this->tickets.size();
        const bool isFollowed = isLast || index + 1 >= oldest
                || this->now < this->publishedAt[index + 1] + fromSeconds(hold + 4);
        rate = isFollowed ? std::max(rate, this->tickets[index].terms.ratePerSecond) : rate;
        burst = isFollowed ? std::max(burst, this->tickets[index].terms.burst) : burst;
    }
    setBound(this->meter, rate, burst, this->now);
}

void ShareFleet::replace(std::size_t index)
{
    const SeatId seat = this->hosts[index].shares.seat;
    const bool isPaused = this->hosts[index].pausedUntil
            > this->now + this->settings.pauseThreshold;
    if (!isPaused)
        this->hosts[index].isEnded = true; // a paused host resumes beside its successor
    this->startHost(seat);
    this->hosts.back().startedAt = this->now + fromSeconds(this->uniform() * 0.5);
}

void ShareFleet::injectFaults()
{
    const double length = toSeconds(stepLength);
    const auto happens = [&](double perSecond) {
        return this->uniform() < perSecond * length;
    };
    const std::size_t victim = this->random() % this->hosts.size();
    FleetHost &host = this->hosts[victim];
    if (happens(this->faults.pausesPerSecond) && this->isRunning(host))
        host.pausedUntil = this->now + fromSeconds(this->uniform() * 3);
    const bool isNewest = std::none_of(
            this->hosts.begin(), this->hosts.end(), [&host](const FleetHost &other) {
                return other.shares.seat == host.shares.seat
                        && other.shares.self.incarnation > host.shares.self.incarnation;
            });
    const bool canReplace = !host.isEnded && host.startedAt <= this->now && isNewest;
    if (happens(this->faults.replacementsPerSecond) && canReplace)
        this->replace(victim);
    if (happens(this->faults.partitionsPerSecond)) {
        const ZoneId &a = this->hosts[this->random() % this->hosts.size()].shares.seat.zone;
        const ZoneId &b = this->hosts[this->random() % this->hosts.size()].shares.seat.zone;
        this->partitionedUntil[{ std::min(a, b), std::max(a, b) }] = this->now
                + fromSeconds(this->uniform() * 4);
    }
    if (happens(this->faults.ticketsPerSecond)) {
        FleetTicket ticket = this->tickets.back();
        if (this->uniform() < 0.5)
            this->changeSeats(ticket);
        else
            ticket.terms.ratePerSecond = 500 + 2000 * this->uniform();
        if (this->uniform() < 0.3)
            ticket.terms.burst = 1000 + 3000 * this->uniform();
        this->publish(ticket);
    }
    if (happens(0.3))
        this->hotHost = this->random() % this->hosts.size();
}

/// Changes the number of ordinals of one zone, and starts a host at each new one.
void ShareFleet::changeSeats(FleetTicket &ticket)
{
    auto zone = ticket.zones.begin();
    std::advance(zone, this->random() % ticket.zones.size());
    zone->second = 1 + static_cast<std::uint32_t>(this->random() % 4);
    for (std::uint32_t number = 0; number < zone->second; ++number) {
        const SeatId seat{ zone->first, SeatNumber{ number } };
        const bool isFilled = std::any_of(this->hosts.begin(), this->hosts.end(),
                                          [&seat](const FleetHost &host) {
                                              return !host.isEnded && host.shares.seat == seat;
                                          });
        if (!isFilled)
            this->startHost(seat);
    }
}

void ShareFleet::readTickets(FleetHost &host)
{
    // Hosts receive a ticket after random delays; a new host applies all tickets in order.
    const bool isFresh = host.ticketsRead == 0;
    while (host.ticketsRead < this->tickets.size() && (isFresh || this->uniform() < 0.05)) {
        const FleetTicket &ticket = this->tickets[host.ticketsRead];
        ++host.ticketsRead;
        setTerms(host.shares, TicketNumber{ host.ticketsRead }, ticket.zones, { ticket.terms },
                 this->localTime(host));
    }
}

void ShareFleet::send(const FleetHost &from, std::vector<ShareOutgoing> &out)
{
    for (ShareOutgoing &message : out) {
        const std::size_t to = std::stoul(message.to.value.substr(1));
        const int copies = this->uniform() < this->faults.duplicated ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const bool isLost = this->uniform() < this->faults.lost
                    || this->isPartitioned(from.shares.seat.zone, this->hosts[to].shares.seat.zone);
            if (isLost)
                continue;
            // The square makes most delays short and a few long, so that messages are reordered.
            const double delayScale = this->uniform();
            const Span delay = fromSeconds(toSeconds(this->faults.maxDelay) * delayScale
                                           * delayScale);
            this->messages.push(FleetMessage{ this->now + delay, ++this->sequence, to,
                                              from.shares.self, message.body });
        }
    }
    out.clear();
}

void ShareFleet::deliver(FleetHost &host, const FleetMessage &message)
{
    std::vector<ShareOutgoing> out;
    onShareMessage(host.shares, message.sender, message.body, this->localTime(host), out);
    this->send(host, out);
}

void ShareFleet::addArrivals()
{
    // Idle, so that the shares fill, then far above the rate: only full buckets test the burst.
    if (this->now >= this->phaseEnds) {
        this->isBusy = !this->isBusy;
        this->phaseEnds = this->now + fromSeconds(0.3 + 3 * this->uniform());
    }
    const double expected = this->isBusy ? this->requestsPerSecond * toSeconds(stepLength) : 0;
    int count = std::poisson_distribution<int>(expected)(this->random);
    for (; count > 0; --count) {
        const bool isHot = this->uniform() < 0.7;
        const std::size_t index = isHot ? this->hotHost : this->random() % this->hosts.size();
        FleetHost &host = this->hosts[index];
        if (!this->isRunning(host))
            continue;
        FleetRequest request;
        request.id = RequestId{ std::to_string(++this->sequence) };
        request.cost = Tokens{ 1 + static_cast<std::int64_t>(this->random() % 300) };
        request.endsAtOnce = this->uniform() < this->fractionAtOnce;
        host.waiting.push_back(request);
    }
}

void ShareFleet::generateTokens(FleetHost &host)
{
    const Instant local = this->localTime(host);
    for (const RequestId &overdue : takeOverdueRequests(host.shares, local)) {
        std::erase_if(host.running, [&](const FleetRequest &run) { return run.id == overdue; });
        release(host.shares, overdue, local);
    }
    if (host.shares.isSuperseded)
        host.running.clear();
    if (!host.shares.isTrusted)
        return;
    for (FleetRequest &request : host.running) {
        const bool isOver = request.endsAt <= this->now;
        const std::int64_t remaining = request.cost.count - request.generated.count;
        const std::int64_t quarter = request.endsAtOnce ? 0 : remaining / 4;
        const Tokens generated{ isOver ? remaining : quarter };
        request.generated += generated;
        settle(host.shares, request.id, generated, local);
        recordGenerated(this->meter, generated, this->now);
        if (isOver)
            release(host.shares, request.id, local);
    }
    std::erase_if(host.running,
                  [this](const FleetRequest &request) { return request.endsAt <= this->now; });
}

void ShareFleet::admit(FleetHost &host)
{
    const Instant local = this->localTime(host);
    while (!host.waiting.empty()) {
        FleetRequest request = host.waiting.front();
        if (!reserve(host.shares, request.id, onlyCustomer, request.cost, local))
            break;
        host.waiting.pop_front();
        ++this->admitted;
        ++host.admitted;
        // Some run for longer than lent tokens allow; takeOverdueRequests() ends those.
        const double longest = toSeconds(this->settings.maxLentRunTime) * 1.2;
        request.endsAt = this->now + fromSeconds(this->uniform() * longest);
        // The worst case for the bound: all requests end at the same moments.
        constexpr std::int64_t together = 1'000'000;
        if (request.endsAtOnce)
            request.endsAt.micros = (this->now.micros / together + 1) * together;
        host.running.push_back(request);
    }
    while (host.waiting.size() > 20) {
        host.waiting.pop_front();
        ++this->refused;
    }
    Tokens waiting;
    for (const FleetRequest &request : host.waiting)
        waiting += request.cost;
    std::vector<ShareOutgoing> out;
    requestTokens(host.shares, onlyCustomer, waiting, local, out);
    this->send(host, out);
}

void ShareFleet::poll(FleetHost &host)
{
    detectPause(host.shares, this->localTime(host));
    this->readTickets(host);
    for (const FleetHost &other : this->hosts) {
        const bool isReachable = &other != &host && this->isRunning(other)
                && !this->isPartitioned(other.shares.seat.zone, host.shares.seat.zone)
                && this->uniform() < 0.1;
        if (isReachable)
            recordContact(host.shares, other.shares.seat, other.shares.self, this->localTime(host));
    }
    std::vector<ShareOutgoing> out;
    pollShares(host.shares, this->localTime(host), out);
    this->send(host, out);
    this->generateTokens(host);
    this->admit(host);
}

void ShareFleet::step()
{
    this->now = this->now + stepLength;
    this->injectFaults();
    this->updateBound();
    this->addArrivals();
    while (!this->messages.empty() && this->messages.top().arrivesAt <= this->now) {
        const FleetMessage message = this->messages.top();
        this->messages.pop();
        FleetHost &host = this->hosts[message.to];
        if (this->isRunning(host))
            this->deliver(host, message);
        else if (!host.isEnded)
            host.inbox.emplace_back(message.sender, message.body);
    }
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        FleetHost &host = this->hosts[index];
        if (!this->isRunning(host))
            continue;
        // Messages that arrived during a pause are read after it, when they are stale.
        std::vector<std::pair<HostIncarnation, ShareBody>> inbox = std::exchange(host.inbox, {});
        for (auto &[sender, body] : inbox)
            this->deliver(host, FleetMessage{ this->now, 0, index, sender, body });
        this->poll(host);
    }
}

std::vector<std::uint64_t> ShareFleet::admittedByHost() const
{
    std::vector<std::uint64_t> counts;
    for (const FleetHost &host : this->hosts)
        counts.push_back(host.admitted);
    return counts;
}

void ShareFleet::run(Span length)
{
    const Instant until = this->now + length;
    while (this->now < until)
        this->step();
}

} // namespace azurewell
