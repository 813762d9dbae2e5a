#include "share_internal.h"

#include <algorithm>
#include <limits>

namespace azurewell {

using namespace shares;

namespace shares {

void resizeShare(const RateShares &state, CustomerShares &shares, Instant now)
{
    const std::vector<ShareSize> &sizes = shares.ownedShare.sizes;
    const double fraction = state.settings.faults.growsSharesAtOnce && !sizes.empty()
            ? sizes.back().fraction
            : effectiveFraction(shares.ownedShare);
    const double earned = 1.0 - state.settings.earningMargin;
    reshape(shares.ownedShare.bucket, shares.terms.ratePerSecond * fraction * earned,
            shares.terms.burst * fraction, now);
}

/// Whether \a seat has stated its former loans and settled this host's first ticket.
bool hasStatement(const RateShares &state, const SeatId &seat)
{
    const auto view = state.seats.find(seat);
    return view != state.seats.end() && state.statedLoans.contains(seat)
            && view->second.settled >= state.firstTicket.value_or(TicketNumber{});
}

void limitFormerLoansByStatements(RateShares &state, Instant now)
{
    double missing = 0;
    for (const auto &[zone, count] : state.zones) {
        for (std::uint32_t number = 0; number < count; ++number) {
            const SeatId seat{ zone, SeatNumber{ number } };
            missing += seat != state.seat && !hasStatement(state, seat) ? 1 : 0;
        }
    }
    state.hasAllStatements = missing == 0 && !state.zones.empty();
    std::map<CustomerId, double> stated;
    for (const auto &[seat, loans] : state.statedLoans) {
        for (const HeldLoan &loan : loans)
            stated[loan.customer] += static_cast<double>(loan.amount.count);
    }
    for (auto &[id, shares] : state.customers) {
        const double limit = shares.ownedShare.bucket.burst * state.settings.maxFractionPerBorrower;
        limitFormerLoans(shares.ownedShare, limit * missing + stated[id], now);
    }
}

void growShares(RateShares &state, Instant now)
{
    TicketNumber settledEverywhere = state.ticket;
    for (const auto &[zone, count] : state.zones) {
        for (std::uint32_t number = 0; number < count; ++number) {
            const SeatId seat{ zone, SeatNumber{ number } };
            const auto view = state.seats.find(seat);
            if (seat != state.seat)
                settledEverywhere = std::min(settledEverywhere,
                                             view == state.seats.end() ? TicketNumber{}
                                                                       : view->second.settled);
        }
    }
    // An ordinal that the newest ticket removed still uses its old share while it is reachable.
    for (const auto &[seat, view] : state.seats) {
        if (view.reachableUntil + state.settings.maxLentRunTime > now)
            settledEverywhere = std::min(settledEverywhere, view.settled);
    }
    for (auto &[id, shares] : state.customers) {
        if (shares.ownedShare.sizes.size() < 2)
            continue;
        pruneSizes(shares.ownedShare, settledEverywhere);
        resizeShare(state, shares, now);
    }
}

void sendQueries(RateShares &state, std::vector<ShareOutgoing> &out)
{
    const auto isGrowing = [](const auto &entry) {
        return entry.second.ownedShare.sizes.size() > 1;
    };
    const bool grows = std::any_of(state.customers.begin(), state.customers.end(), isGrowing);
    ++state.querySerial;
    for (const auto &[seat, view] : state.seats) {
        // A host that holds loans of former incarnations is queried again, as they decrease.
        const bool isMissing = !hasStatement(state, seat) || !state.statedLoans.at(seat).empty();
        const bool isBehind = grows && view.settled < state.ticket;
        if (isMissing || isBehind || !state.isTrusted)
            out.push_back(ShareOutgoing{ view.occupant.host,
                                         ShareQuery{ state.seat, state.querySerial } });
    }
}

} // namespace shares

namespace {

/// Marks the newest ticket as settled once no share exceeds the size it gives.
void updateSettled(RateShares &state)
{
    if (state.settled == state.ticket)
        return;
    const auto isSettled = [](const auto &entry) {
        const OwnedShare &share = entry.second.ownedShare;
        const double burst = entry.second.terms.burst * share.sizes.back().fraction;
        return share.bucket.reserved <= burst + 1e-6;
    };
    if (std::all_of(state.customers.begin(), state.customers.end(), isSettled))
        state.settled = state.ticket;
}

void answerRequest(RateShares &state, const HostIncarnation &sender, const ShareAsk &ask,
                   Instant now, std::vector<ShareOutgoing> &out)
{
    CustomerShares *shares = find(state, ask.customer);
    const bool isForThisIncarnation = ask.lender == state.self.incarnation;
    ShareGrant grant{ ask.customer,         ask.serial, Tokens{}, sender.incarnation,
                      state.settings.lease, Tokens{},   0 };
    if (shares && isForThisIncarnation && ask.serial == 0) {
        const auto account = shares->ownedShare.loans.find(sender);
        if (account != shares->ownedShare.loans.end())
            applyReport(shares->ownedShare, account->second, ask.report, now);
        return;
    }
    if (ask.serial == 0)
        return;
    if (shares && isForThisIncarnation && state.isTrusted && !state.isSuperseded) {
        grant.amount = lend(shares->ownedShare, sender, ask, shares->waiting, state.settings, now);
        grant.left = Tokens{ static_cast<std::int64_t>(shares->ownedShare.bucket.level) };
        grant.borrowers = static_cast<std::uint32_t>(shares->ownedShare.loans.size());
        state.counters.lentTokens += static_cast<std::uint64_t>(grant.amount.count);
    }
    out.push_back(ShareOutgoing{ sender.host, grant });
}

std::optional<CustomerId> applyGrant(RateShares &state, const HostIncarnation &sender,
                                     const ShareGrant &grant, Instant now)
{
    CustomerShares *shares = find(state, grant.customer);
    if (!shares || grant.borrower != state.self.incarnation)
        return std::nullopt;
    const auto account = shares->accounts.find(sender);
    const bool isAccepted = account != shares->accounts.end()
            && acceptGrant(account->second, grant, state.settings, now);
    if (!isAccepted) {
        ++state.counters.lateGrants;
        return std::nullopt;
    }
    // Tokens of an ended incarnation must not be used: its successor was sent the amount held.
    const auto view = state.seats.find(account->second.seat);
    if (view == state.seats.end() || view->second.occupant != sender)
        returnSurplus(account->second, account->second.available);
    ++(grant.amount.count > 0 ? state.counters.grants : state.counters.emptyGrants);
    state.counters.borrowedTokens += static_cast<std::uint64_t>(grant.amount.count);
    return grant.customer;
}

void answerQuery(RateShares &state, const HostIncarnation &sender, const ShareQuery &query,
                 Instant now, std::vector<ShareOutgoing> &out)
{
    recordContact(state, query.seat, sender, now);
    // A new host sends no statement until a predecessor that was only paused has stopped: what that
    // one had borrowed cannot be generated after that.
    if (!state.earningStartsAt || now < *state.earningStartsAt || state.isSuperseded)
        return;
    updateSettled(state);
    ShareStatement statement;
    statement.seat = state.seat;
    statement.serial = query.serial;
    statement.asker = sender.incarnation;
    statement.isTrusted = state.isTrusted;
    statement.settled = state.settled;
    const auto view = state.seats.find(query.seat);
    statement.newestOfAsker = view == state.seats.end() ? Incarnation{}
                                                        : view->second.occupant.incarnation;
    if (statement.newestOfAsker == sender.incarnation) {
        for (auto &[id, shares] : state.customers) {
            Tokens held;
            for (const auto &[lender, account] : shares.accounts) {
                if (account.seat == query.seat && lender != sender)
                    held += account.reserved + account.available;
            }
            if (held.count > 0)
                statement.held.push_back(HeldLoan{ id, held });
        }
    }
    out.push_back(ShareOutgoing{ sender.host, statement });
}

void applyStatement(RateShares &state, const HostIncarnation &sender,
                    const ShareStatement &statement, Instant now)
{
    if (statement.asker != state.self.incarnation)
        return;
    recordContact(state, statement.seat, sender, now);
    const auto view = state.seats.find(statement.seat);
    if (view == state.seats.end() || view->second.occupant != sender)
        return;
    if (statement.newestOfAsker > state.self.incarnation) {
        state.isSuperseded = true;
        return;
    }
    const bool mayConfirm = statement.isTrusted || now >= state.mutualDoubtDeadline;
    if (statement.serial >= state.minConfirmingSerial && mayConfirm)
        state.isTrusted = true;
    const bool isStale = view->second.lastStatementSerial
            && statement.serial <= *view->second.lastStatementSerial;
    if (isStale)
        return;
    view->second.lastStatementSerial = statement.serial;
    view->second.settled = statement.settled;
    state.statedLoans[statement.seat] = statement.held;
    limitFormerLoansByStatements(state, now);
}

} // namespace

std::optional<CustomerId> onShareMessage(RateShares &state, const HostIncarnation &sender,
                                         const ShareBody &body, Instant now,
                                         std::vector<ShareOutgoing> &out)
{
    detectPause(state, now);
    if (const ShareGrant *grant = std::get_if<ShareGrant>(&body))
        return applyGrant(state, sender, *grant, now);
    if (const ShareAsk *ask = std::get_if<ShareAsk>(&body))
        answerRequest(state, sender, *ask, now, out);
    else if (const ShareQuery *query = std::get_if<ShareQuery>(&body))
        answerQuery(state, sender, *query, now, out);
    else
        applyStatement(state, sender, std::get<ShareStatement>(body), now);
    return std::nullopt;
}

} // namespace azurewell
