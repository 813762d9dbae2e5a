#include "share_internal.h"

#include <algorithm>
#include <cmath>

namespace azurewell {

using namespace shares;

namespace shares {

std::uint32_t totalSeats(const RateShares &state)
{
    std::uint32_t total = 0;
    for (const auto &[zone, count] : state.zones)
        total += count;
    return total;
}

CustomerShares *find(RateShares &state, const CustomerId &customer)
{
    const auto found = state.customers.find(customer);
    return found == state.customers.end() ? nullptr : &found->second;
}

const SeatView *reachable(const RateShares &state, const SeatId &seat, Instant now)
{
    const auto found = state.seats.find(seat);
    const bool isReachable = found != state.seats.end() && now < found->second.reachableUntil;
    return isReachable ? &found->second : nullptr;
}

Tokens availableBorrowed(const CustomerShares &shares)
{
    Tokens available;
    for (const auto &[lender, account] : shares.accounts)
        available += account.available;
    return available;
}

double availableNow(const CustomerShares &shares, Instant now)
{
    Tokens usable;
    for (const auto &[lender, account] : shares.accounts)
        usable += account.usableUntil > now ? account.available : Tokens{};
    // Whole tokens only: a reservation can't be split below one token.
    return std::floor(shares.ownedShare.bucket.level) + static_cast<double>(usable.count);
}

void decayDemand(CustomerShares &shares, const ShareSettings &settings, Instant now)
{
    if (now <= shares.demandAt)
        return;
    const double age = toSeconds(now - shares.demandAt) / toSeconds(settings.demandTimeConstant);
    shares.demand *= std::exp(-age);
    shares.demandAt = now;
}

double expectedLevel(const RateShares &state, const CustomerShares &shares, const SeatShare &share,
                     Instant now)
{
    const SeatView *view = reachable(state, share.seat, now);
    if (!view)
        return 0;
    const double burst = shares.terms.burst * share.fraction;
    const auto account = shares.accounts.find(view->occupant);
    if (account == shares.accounts.end() || !account->second.lenderRemaining)
        return burst;
    const double earned = toSeconds(now - account->second.lenderRemainingAt)
            * shares.terms.ratePerSecond * share.fraction;
    return std::min(burst, static_cast<double>(account->second.lenderRemaining->count) + earned);
}

} // namespace shares

namespace {

/// Smaller loans cost more in messages than they serve.
constexpr double minLoanTokens = 32;

/// An owner in this host's zone is preferred to one that is fuller by up to this fraction of its
/// burst.
constexpr double ownZonePreference = 0.1;

/// Reachable owners, fullest first: a full share earns nothing, so that draining only the shares of
/// the own zone would lose the rate of the others.
std::vector<const SeatShare *> lendersFor(const RateShares &state, const CustomerShares &shares,
                                          Instant now)
{
    std::vector<std::pair<double, const SeatShare *>> ranked;
    for (const SeatShare &share : shares.owners) {
        if (share.seat == state.seat || !reachable(state, share.seat, now))
            continue;
        const double preference = share.seat.zone == state.seat.zone ? ownZonePreference : 0;
        const double burst = std::max(1.0, shares.terms.burst * share.fraction);
        ranked.emplace_back(expectedLevel(state, shares, share, now) / burst + preference, &share);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<const SeatShare *> lenders;
    lenders.reserve(ranked.size());
    for (const auto &[rank, share] : ranked)
        lenders.push_back(share);
    return lenders;
}

/// Tokens missing for the requests that wait here and the expected demand.
double shortageOf(const CustomerShares &shares, const ShareSettings &settings, Instant now)
{
    Tokens requested;
    for (const auto &[lender, account] : shares.accounts)
        requested += account.requested;
    const double ahead = shares.demand * toSeconds(settings.prefetch);
    const double held = availableNow(shares, now) + static_cast<double>(requested.count);
    const double waiting = static_cast<double>(shares.waiting.count);
    // Requested below half of the target and filled up to it, to avoid oscillation.
    if (waiting == 0 && held >= ahead / 2)
        return 0;
    return waiting + ahead - held;
}

void requestFromLenders(RateShares &state, CustomerShares &shares, Instant now,
                        std::vector<ShareOutgoing> &out)
{
    double lacking = shortageOf(shares, state.settings, now);
    if (lacking < 1)
        return;
    for (const SeatShare *share : lendersFor(state, shares, now)) {
        if (lacking < 1)
            return;
        const HostIncarnation lender = state.seats.at(share->seat).occupant;
        BorrowerAccount &account = shares.accounts[lender];
        account.seat = share->seat;
        account.lender = lender;
        if (account.requested.count > 0 || now < account.nextRequestAt)
            continue;
        const double limit = shares.terms.burst * share->fraction
                * state.settings.maxFractionPerBorrower;
        const double expected = expectedLevel(state, shares, *share, now);
        // Other borrowers' returns there are unknown here, so a small request is sent in any case.
        const double wanted = std::min(
                { std::max(expected, minLoanTokens), limit, std::max(lacking, minLoanTokens) });
        if (wanted < 1)
            continue;
        const Tokens amount{ static_cast<std::int64_t>(std::ceil(wanted)) };
        out.push_back(ShareOutgoing{
                lender.host,
                openRequest(account, shares.terms.customer, amount, state.settings, now) });
        ++state.counters.requestsSent;
        lacking -= wanted;
    }
}

/// Returns borrowed tokens beyond twice the prefetch target, so that other hosts can borrow them.
void returnUnneeded(CustomerShares &shares, const ShareSettings &settings)
{
    const double target = static_cast<double>(shares.waiting.count)
            + 2 * shares.demand * toSeconds(settings.prefetch);
    double surplus = static_cast<double>(availableBorrowed(shares).count) - target;
    for (auto &[lender, account] : shares.accounts) {
        if (surplus < 1)
            return;
        const Tokens amount = std::min(account.available,
                                       Tokens{ static_cast<std::int64_t>(surplus) });
        returnSurplus(account, amount);
        surplus -= static_cast<double>(amount.count);
    }
}

/// Whether the account has nothing left to use or to report.
bool isRemovable(const RateShares &state, const BorrowerAccount &account, Instant now)
{
    const auto view = state.seats.find(account.seat);
    const bool isFormer = view == state.seats.end() || view->second.occupant != account.lender;
    const bool isEmpty = account.reserved.count == 0 && account.available.count == 0;
    const Span memory = state.settings.lease + state.settings.maxLentRunTime;
    // The totals must outlive the lender's account of them, or its differences would be wrong.
    return isEmpty && account.requested.count == 0
            && (isFormer || account.requestSentAt + memory + memory < now);
}

void pollAccounts(RateShares &state, CustomerShares &shares, Instant now,
                  std::vector<ShareOutgoing> &out)
{
    for (auto &[lender, account] : shares.accounts) {
        abandonTimedOutRequest(account, now);
        returnExpired(account, now);
    }
    returnUnneeded(shares, state.settings);
    for (auto &[lender, account] : shares.accounts) {
        const std::optional<ShareAsk> report = takeReport(account, shares.terms.customer,
                                                          state.settings, now);
        if (report)
            out.push_back(ShareOutgoing{ lender.host, *report });
    }
    std::erase_if(shares.accounts, [&state, now](const auto &entry) {
        return isRemovable(state, entry.second, now);
    });
}

} // namespace

Instant expectedAt(const RateShares &state, const CustomerId &customer, Tokens cost, Instant now)
{
    const auto found = state.customers.find(customer);
    if (found == state.customers.end())
        return never;
    const CustomerShares &shares = found->second;
    double held = availableNow(shares, now);
    double rate = shares.ownedShare.bucket.ratePerSecond;
    for (const SeatShare &share : shares.owners) {
        if (share.seat == state.seat || !reachable(state, share.seat, now))
            continue;
        held += expectedLevel(state, shares, share, now);
        rate += shares.terms.ratePerSecond * share.fraction;
    }
    const double lacking = static_cast<double>(cost.count + shares.waiting.count) - held;
    if (lacking <= 0)
        return now;
    return rate > 0 ? now + fromSeconds(lacking / rate) + Span{ 1 } : never;
}

Tokens largestRequest(const RateShares &state, const CustomerId &customer)
{
    const auto found = state.customers.find(customer);
    if (found == state.customers.end())
        return Tokens{};
    const double own = fractionOf(found->second.owners, state.seat);
    const double reach = own + (1 - own) * state.settings.maxFractionPerBorrower;
    return Tokens{ static_cast<std::int64_t>(found->second.terms.burst * reach) };
}

void requestTokens(RateShares &state, const CustomerId &customer, Tokens waiting, Instant now,
                   std::vector<ShareOutgoing> &out)
{
    CustomerShares *shares = find(state, customer);
    if (!shares)
        return;
    shares->waiting = waiting;
    state.active.insert(customer);
    if (!state.isTrusted || state.isSuperseded)
        return;
    refill(shares->ownedShare.bucket, now);
    requestFromLenders(state, *shares, now, out);
}

void pollShares(RateShares &state, Instant now, std::vector<ShareOutgoing> &out)
{
    detectPause(state, now);
    for (auto id = state.active.begin(); id != state.active.end();) {
        CustomerShares *shares = find(state, *id);
        if (shares) {
            decayDemand(*shares, state.settings, now);
            pollAccounts(state, *shares, now, out);
            requestTokens(state, *id, shares->waiting, now, out);
        }
        const bool isIdle = !shares || (shares->accounts.empty() && shares->waiting.count == 0);
        id = isIdle ? state.active.erase(id) : std::next(id);
    }
    const bool resumes = state.settings.resumesUnconfirmed && now >= state.mutualDoubtDeadline;
    state.isTrusted = state.isTrusted || resumes;
    if (now < state.nextQueryAt)
        return;
    state.nextQueryAt = now + state.settings.queryInterval;
    for (auto &[id, shares] : state.customers)
        writeOffLoans(shares.ownedShare, now);
    growShares(state, now);
    sendQueries(state, out);
}

} // namespace azurewell
