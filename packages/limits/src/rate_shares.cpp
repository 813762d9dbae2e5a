#include "azurewell/limits/rate_shares.h"

#include "share_internal.h"

#include <algorithm>
#include <cmath>

namespace azurewell {

using namespace shares;

namespace {

/// Initializes a share: empty, with tokens reserved for what former incarnations may have lent.
void initShare(const RateShares &state, CustomerShares &shares, Instant now)
{
    TokenBucket &bucket = shares.ownedShare.bucket;
    bucket.refilledAt = std::max(now, state.earningStartsAt.value_or(now));
    if (state.settings.faults.newShareIsFull)
        bucket.level = bucket.burst;
    if (state.settings.faults.forgetsFormerLoans || state.hasAllStatements)
        return;
    const double others = static_cast<double>(totalSeats(state)) - 1;
    const double maxFraction = std::min(1.0, others * state.settings.maxFractionPerBorrower);
    shares.ownedShare.formerLoans = bucket.burst * maxFraction;
    bucket.reserved += shares.ownedShare.formerLoans;
    const Span hold = state.settings.lease + state.settings.maxLentRunTime;
    shares.ownedShare.formerLoansEndAt = now + hold
            + fromSeconds(toSeconds(hold) * state.settings.clockDrift);
}

void applyTerms(RateShares &state, CustomerShares &shares, const ShareTerms &terms, Instant now)
{
    const bool isNew = shares.ownedShare.sizes.empty();
    shares.terms = terms;
    shares.owners = ownersOf(state.zones, terms.customer, terms.burst, state.settings.layout,
                             state.weight);
    const double fraction = fractionOf(shares.owners, state.seat);
    if (isNew || shares.ownedShare.sizes.back().fraction != fraction)
        shares.ownedShare.sizes.push_back(ShareSize{ state.ticket, fraction });
    if (isNew)
        shares.ownedShare.bucket.refilledAt = std::max(now, state.earningStartsAt.value_or(now));
    resizeShare(state, shares, now);
    if (isNew)
        initShare(state, shares, now);
}

/// Reserves up to \a wanted of the borrowed tokens. Returns the amount reserved.
Tokens reserveBorrowed(CustomerShares &shares, Tokens wanted, Instant now, Reservation &reservation)
{
    Tokens taken;
    for (auto &[lender, account] : shares.accounts) {
        returnExpired(account, now);
        const Tokens amount = std::min(account.available, wanted - taken);
        if (amount.count <= 0)
            continue;
        account.available -= amount;
        account.reserved += amount;
        taken += amount;
        reservation.sources.push_back(ReservationSource{ lender, amount });
    }
    return taken;
}

} // namespace

RateShares makeRateShares(SeatId seat, HostIncarnation self, SeatWeight weight,
                          ShareSettings settings)
{
    RateShares state;
    state.settings = settings;
    state.weight = weight;
    state.seat = std::move(seat);
    state.self = std::move(self);
    return state;
}

void detectPause(RateShares &state, Instant now)
{
    if (!state.earningStartsAt) {
        state.earningStartsAt = now + state.settings.takeoverDelay;
        state.lastEventAt = now;
        return;
    }
    const bool wasPaused = now - state.lastEventAt > state.settings.pauseThreshold;
    state.lastEventAt = std::max(state.lastEventAt, now);
    if (!wasPaused || state.settings.faults.skipsConfirmationAfterPause || totalSeats(state) <= 1)
        return;
    state.isTrusted = false;
    state.minConfirmingSerial = state.querySerial + 1;
    state.mutualDoubtDeadline = now + state.settings.mutualDoubtTimeout;
    state.nextQueryAt = now;
    ++state.counters.unconfirmedPauses;
}

void setTerms(RateShares &state, TicketNumber ticket, const ZoneSeats &zones,
              const std::vector<ShareTerms> &terms, Instant now)
{
    detectPause(state, now);
    const bool isSameLayout = state.zones == zones;
    state.zones = zones;
    state.ticket = ticket;
    state.firstTicket = state.firstTicket.value_or(ticket);
    std::set<CustomerId> listed;
    for (const ShareTerms &entry : terms) {
        listed.insert(entry.customer);
        CustomerShares &shares = state.customers[entry.customer];
        const bool isSame = shares.terms.ratePerSecond == entry.ratePerSecond
                && shares.terms.burst == entry.burst && !shares.ownedShare.sizes.empty();
        if (!isSame || !isSameLayout)
            applyTerms(state, shares, entry, now);
    }
    // A removed customer's share stays until its last tokens are generated. Otherwise a ticket that
    // adds the customer again would give it a second burst.
    for (auto &[id, shares] : state.customers) {
        if (!listed.contains(id))
            applyTerms(state, shares, ShareTerms{ id, 0, 0 }, now);
    }
    limitFormerLoansByStatements(state, now);
}

void recordContact(RateShares &state, const SeatId &seat, const HostIncarnation &occupant,
                   Instant now, Span lateness)
{
    if (seat == state.seat) {
        state.isSuperseded = state.isSuperseded || occupant.incarnation > state.self.incarnation;
        return;
    }
    SeatView &view = state.seats[seat];
    if (occupant.incarnation < view.occupant.incarnation)
        return;
    view.reachableUntil = std::max(view.reachableUntil,
                                   now + std::max(state.settings.reachableTimeout, lateness));
    if (occupant == view.occupant)
        return;
    const HostIncarnation former = view.occupant;
    view.occupant = occupant;
    view.lastStatementSerial.reset();
    for (auto &[id, shares] : state.customers) {
        const auto account = shares.accounts.find(former);
        if (account != shares.accounts.end())
            returnSurplus(account->second, account->second.available);
        // The platform terminates a host before it starts a successor, and one that was only paused
        // stops when it resumes: its loans cannot be generated any more.
        const auto loan = shares.ownedShare.loans.find(former);
        if (loan != shares.ownedShare.loans.end())
            loan->second.endsAt = std::min(loan->second.endsAt, now + state.settings.takeoverDelay);
    }
}

bool reserve(RateShares &state, const RequestId &request, const CustomerId &customer, Tokens cost,
             Instant now)
{
    CustomerShares *shares = find(state, customer);
    if (!shares || !state.isTrusted || state.isSuperseded)
        return false;
    refill(shares->ownedShare.bucket, now);
    if (availableNow(*shares, now) < static_cast<double>(cost.count))
        return false;
    Reservation reservation;
    reservation.customer = customer;
    const Tokens borrowed = reserveBorrowed(*shares, cost, now, reservation);
    const Tokens own = cost - borrowed;
    if (own.count > 0)
        tryReserve(shares->ownedShare.bucket, own, now);
    if (own.count > 0)
        reservation.sources.push_back(ReservationSource{ HostIncarnation{}, own });
    if (borrowed.count > 0)
        state.lentRequests.push_back(LentRequest{ now + state.settings.maxLentRunTime, request });
    state.reservations[request] = std::move(reservation);
    decayDemand(*shares, state.settings, now);
    shares->demand += static_cast<double>(cost.count)
            / toSeconds(state.settings.demandTimeConstant);
    return true;
}

void settle(RateShares &state, const RequestId &request, Tokens amount, Instant now)
{
    const auto found = state.reservations.find(request);
    if (found == state.reservations.end())
        return;
    CustomerShares *shares = find(state, found->second.customer);
    for (ReservationSource &source : found->second.sources) {
        const Tokens generated = std::min(amount, source.amount);
        if (generated.count <= 0 || !shares)
            continue;
        source.amount -= generated;
        amount -= generated;
        if (source.lender.host.value.empty()) {
            settle(shares->ownedShare.bucket, generated, now);
            continue;
        }
        BorrowerAccount &account = shares->accounts[source.lender];
        account.reserved -= generated;
        account.report.spent += generated;
    }
}

void release(RateShares &state, const RequestId &request, Instant now)
{
    const auto found = state.reservations.find(request);
    if (found == state.reservations.end())
        return;
    CustomerShares *shares = find(state, found->second.customer);
    for (const ReservationSource &source : found->second.sources) {
        if (!shares || source.amount.count <= 0)
            continue;
        if (source.lender.host.value.empty()) {
            giveBack(shares->ownedShare.bucket, source.amount, now);
            continue;
        }
        BorrowerAccount &account = shares->accounts[source.lender];
        account.reserved -= source.amount;
        account.available += source.amount;
        returnExpired(account, now);
    }
    state.reservations.erase(found);
}

std::vector<RequestId> takeOverdueRequests(RateShares &state, Instant now)
{
    std::vector<RequestId> overdue;
    while (!state.lentRequests.empty() && state.lentRequests.front().endsAt <= now) {
        if (state.reservations.contains(state.lentRequests.front().request))
            overdue.push_back(state.lentRequests.front().request);
        state.lentRequests.pop_front();
    }
    state.counters.overdueRequests += overdue.size();
    return overdue;
}

} // namespace azurewell
