#include "azurewell/limits/share_holder.h"

#include "share_internal.h"

#include <algorithm>
#include <cmath>

namespace azurewell {

using namespace shares;

namespace {

/// A fresh part: empty, and with room kept for what a former holder of the seat may have lent.
void beginPart(const ShareHolder &holder, CustomerShares &shares, Instant now)
{
    TokenBucket &bucket = shares.part.bucket;
    bucket.refilledAt = std::max(now, holder.earnsFrom.value_or(now));
    if (holder.settings.faults.newPartIsFull)
        bucket.level = bucket.burst;
    if (holder.settings.faults.forgetsFormerLoans || holder.hasAllStatements)
        return;
    const double unheard = static_cast<double>(totalSeats(holder)) - 1;
    const double most = std::min(1.0, unheard * holder.settings.mostPerBorrower);
    shares.part.formerLoans = bucket.burst * most;
    bucket.reserved += shares.part.formerLoans;
    const Span hold = holder.settings.lease + holder.settings.longestRun;
    shares.part.formerLoansEnd = now + hold
            + fromSeconds(toSeconds(hold) * holder.settings.clockDrift);
}

void applyTerms(ShareHolder &holder, CustomerShares &shares, const ShareTerms &terms, Instant now)
{
    const bool isNew = shares.part.steps.empty();
    shares.terms = terms;
    shares.owners = ownersOf(holder.zones, terms.customer, terms.burst, holder.settings.layout,
                             holder.weight);
    const double fraction = fractionOf(shares.owners, holder.seat);
    if (isNew || shares.part.steps.back().fraction != fraction)
        shares.part.steps.push_back(PartStep{ holder.ticket, fraction });
    if (isNew)
        shares.part.bucket.refilledAt = std::max(now, holder.earnsFrom.value_or(now));
    shapePart(holder, shares, now);
    if (isNew)
        beginPart(holder, shares, now);
}

/// Takes up to \a wanted from the borrowed tokens.
Tokens takeBorrowed(CustomerShares &shares, Tokens wanted, Instant now, Reservation &reservation)
{
    Tokens taken;
    for (auto &[life, wallet] : shares.wallets) {
        voidUnusable(wallet, now);
        const Tokens amount = std::min(wallet.available, wanted - taken);
        if (amount.count <= 0)
            continue;
        wallet.available -= amount;
        wallet.reserved += amount;
        taken += amount;
        reservation.sources.push_back(ReservationSource{ life, amount });
    }
    return taken;
}

} // namespace

ShareHolder makeShareHolder(SeatId seat, HostLife self, SeatWeight weight, ShareSettings settings)
{
    ShareHolder holder;
    holder.settings = settings;
    holder.weight = weight;
    holder.seat = std::move(seat);
    holder.self = std::move(self);
    return holder;
}

void noteTime(ShareHolder &holder, Instant now)
{
    if (!holder.earnsFrom) {
        holder.earnsFrom = now + holder.settings.takeoverWait;
        holder.lastEvent = now;
        return;
    }
    const bool wasPaused = now - holder.lastEvent > holder.settings.wakeLimit;
    holder.lastEvent = std::max(holder.lastEvent, now);
    if (!wasPaused || holder.settings.faults.trustsItselfOnWaking || totalSeats(holder) <= 1)
        return;
    holder.isTrusted = false;
    holder.trustSerial = holder.querySerial + 1;
    holder.mutualDoubtEnds = now + holder.settings.mutualDoubt;
    holder.nextQuery = now;
    ++holder.counters.distrusted;
}

void setTerms(ShareHolder &holder, TicketNumber ticket, const ZoneSeats &zones,
              const std::vector<ShareTerms> &terms, Instant now)
{
    noteTime(holder, now);
    const bool isSameLayout = holder.zones == zones;
    holder.zones = zones;
    holder.ticket = ticket;
    holder.firstTicket = holder.firstTicket.value_or(ticket);
    std::set<CustomerId> listed;
    for (const ShareTerms &entry : terms) {
        listed.insert(entry.customer);
        CustomerShares &shares = holder.customers[entry.customer];
        const bool isSame = shares.terms.ratePerSecond == entry.ratePerSecond
                && shares.terms.burst == entry.burst && !shares.part.steps.empty();
        if (!isSame || !isSameLayout)
            applyTerms(holder, shares, entry, now);
    }
    // A removed customer's part stays until its last tokens are made: were it forgotten, a ticket
    // that brings the customer back would give it a second burst.
    for (auto &[id, shares] : holder.customers) {
        if (!listed.contains(id))
            applyTerms(holder, shares, ShareTerms{ id, 0, 0 }, now);
    }
    cutUnheardLoans(holder, now);
}

void noteSeat(ShareHolder &holder, const SeatId &seat, const HostLife &life, Instant now,
              Span lateness)
{
    if (seat == holder.seat) {
        holder.isSuperseded = holder.isSuperseded || life.incarnation > holder.self.incarnation;
        return;
    }
    SeatView &view = holder.seats[seat];
    if (life.incarnation < view.life.incarnation)
        return;
    view.heardUntil = std::max(view.heardUntil, now + std::max(holder.settings.silence, lateness));
    if (life == view.life)
        return;
    const HostLife former = view.life;
    view.life = life;
    view.statedSerial.reset();
    for (auto &[id, shares] : holder.customers) {
        const auto wallet = shares.wallets.find(former);
        if (wallet != shares.wallets.end())
            returnSurplus(wallet->second, wallet->second.available);
        // The platform ends a host before it starts the next one in its seat, and one that was only
        // paused stops when it wakes: its loans are not made any more.
        const auto loan = shares.part.loans.find(former);
        if (loan != shares.part.loans.end())
            loan->second.endsAt = std::min(loan->second.endsAt, now + holder.settings.takeoverWait);
    }
}

bool reserve(ShareHolder &holder, const RequestId &request, const CustomerId &customer, Tokens cost,
             Instant now)
{
    CustomerShares *shares = find(holder, customer);
    if (!shares || !holder.isTrusted || holder.isSuperseded)
        return false;
    refill(shares->part.bucket, now);
    if (heldNow(*shares, now) < static_cast<double>(cost.count))
        return false;
    Reservation reservation;
    reservation.customer = customer;
    const Tokens borrowed = takeBorrowed(*shares, cost, now, reservation);
    const Tokens own = cost - borrowed;
    if (own.count > 0)
        tryReserve(shares->part.bucket, own, now);
    if (own.count > 0)
        reservation.sources.push_back(ReservationSource{ HostLife{}, own });
    if (borrowed.count > 0)
        holder.lentRuns.push_back(LentRun{ now + holder.settings.longestRun, request });
    holder.reservations[request] = std::move(reservation);
    decayDemand(*shares, holder.settings, now);
    shares->demand += static_cast<double>(cost.count) / toSeconds(holder.settings.demandMemory);
    return true;
}

void settle(ShareHolder &holder, const RequestId &request, Tokens amount, Instant now)
{
    const auto found = holder.reservations.find(request);
    if (found == holder.reservations.end())
        return;
    CustomerShares *shares = find(holder, found->second.customer);
    for (ReservationSource &source : found->second.sources) {
        const Tokens made = std::min(amount, source.amount);
        if (made.count <= 0 || !shares)
            continue;
        source.amount -= made;
        amount -= made;
        if (source.lender.host.value.empty()) {
            settle(shares->part.bucket, made, now);
            continue;
        }
        LoanWallet &wallet = shares->wallets[source.lender];
        wallet.reserved -= made;
        wallet.report.spent += made;
    }
}

void release(ShareHolder &holder, const RequestId &request, Instant now)
{
    const auto found = holder.reservations.find(request);
    if (found == holder.reservations.end())
        return;
    CustomerShares *shares = find(holder, found->second.customer);
    for (const ReservationSource &source : found->second.sources) {
        if (!shares || source.amount.count <= 0)
            continue;
        if (source.lender.host.value.empty()) {
            giveBack(shares->part.bucket, source.amount, now);
            continue;
        }
        LoanWallet &wallet = shares->wallets[source.lender];
        wallet.reserved -= source.amount;
        wallet.available += source.amount;
        voidUnusable(wallet, now);
    }
    holder.reservations.erase(found);
}

std::vector<RequestId> takeOverdue(ShareHolder &holder, Instant now)
{
    std::vector<RequestId> overdue;
    while (!holder.lentRuns.empty() && holder.lentRuns.front().endsAt <= now) {
        if (holder.reservations.contains(holder.lentRuns.front().request))
            overdue.push_back(holder.lentRuns.front().request);
        holder.lentRuns.pop_front();
    }
    holder.counters.overdueRuns += overdue.size();
    return overdue;
}

} // namespace azurewell
