#include "share_internal.h"

#include <algorithm>
#include <limits>

namespace azurewell {

using namespace shares;

namespace shares {

void shapePart(const ShareHolder &holder, CustomerShares &shares, Instant now)
{
    const std::vector<PartStep> &steps = shares.part.steps;
    const double fraction = holder.settings.faults.movesPartsAtOnce && !steps.empty()
            ? steps.back().fraction
            : fractionInForce(shares.part);
    const double earned = 1.0 - holder.settings.earningMargin;
    reshape(shares.part.bucket, shares.terms.ratePerSecond * fraction * earned,
            shares.terms.burst * fraction, now);
}

/// Whether \a seat has said what it holds, and left the tickets before this host's first behind.
bool hasStated(const ShareHolder &holder, const SeatId &seat)
{
    const auto view = holder.seats.find(seat);
    return view != holder.seats.end() && holder.statedLoans.contains(seat)
            && view->second.settled >= holder.firstTicket.value_or(TicketNumber{});
}

void cutUnheardLoans(ShareHolder &holder, Instant now)
{
    double unheard = 0;
    for (const auto &[zone, count] : holder.zones) {
        for (std::uint32_t number = 0; number < count; ++number) {
            const SeatId seat{ zone, SeatNumber{ number } };
            unheard += seat != holder.seat && !hasStated(holder, seat) ? 1 : 0;
        }
    }
    holder.hasAllStatements = unheard == 0 && !holder.zones.empty();
    std::map<CustomerId, double> stated;
    for (const auto &[seat, loans] : holder.statedLoans) {
        for (const HeldLoan &loan : loans)
            stated[loan.customer] += static_cast<double>(loan.amount.count);
    }
    for (auto &[id, shares] : holder.customers) {
        const double most = shares.part.bucket.burst * holder.settings.mostPerBorrower;
        cutFormerLoans(shares.part, most * unheard + stated[id], now);
    }
}

void growParts(ShareHolder &holder, Instant now)
{
    TicketNumber everywhere = holder.ticket;
    for (const auto &[zone, count] : holder.zones) {
        for (std::uint32_t number = 0; number < count; ++number) {
            const SeatId seat{ zone, SeatNumber{ number } };
            const auto view = holder.seats.find(seat);
            if (seat != holder.seat)
                everywhere = std::min(everywhere,
                                      view == holder.seats.end() ? TicketNumber{}
                                                                 : view->second.settled);
        }
    }
    // A seat that the newest ticket took away still uses its old part while it is heard.
    for (const auto &[seat, view] : holder.seats) {
        if (view.heardUntil + holder.settings.longestRun > now)
            everywhere = std::min(everywhere, view.settled);
    }
    for (auto &[id, shares] : holder.customers) {
        if (shares.part.steps.size() < 2)
            continue;
        pruneSteps(shares.part, everywhere);
        shapePart(holder, shares, now);
    }
}

void sendQueries(ShareHolder &holder, std::vector<ShareOutgoing> &out)
{
    const auto isGrowing = [](const auto &entry) {
        return entry.second.part.steps.size() > 1;
    };
    const bool grows = std::any_of(holder.customers.begin(), holder.customers.end(), isGrowing);
    ++holder.querySerial;
    for (const auto &[seat, view] : holder.seats) {
        // One that holds loans of a former life is asked again: they become fewer.
        const bool isMissing = !hasStated(holder, seat) || !holder.statedLoans.at(seat).empty();
        const bool isBehind = grows && view.settled < holder.ticket;
        if (isMissing || isBehind || !holder.isTrusted)
            out.push_back(
                    ShareOutgoing{ view.life.host, ShareQuery{ holder.seat, holder.querySerial } });
    }
}

} // namespace shares

namespace {

/// Notes that all parts here are as small as the newest ticket makes them.
void updateSettled(ShareHolder &holder)
{
    if (holder.settled == holder.ticket)
        return;
    const auto isSettled = [](const auto &entry) {
        const SharePart &part = entry.second.part;
        const double burst = entry.second.terms.burst * part.steps.back().fraction;
        return part.bucket.reserved <= burst + 1e-6;
    };
    if (std::all_of(holder.customers.begin(), holder.customers.end(), isSettled))
        holder.settled = holder.ticket;
}

void answerAsk(ShareHolder &holder, const HostLife &sender, const ShareAsk &ask, Instant now,
               std::vector<ShareOutgoing> &out)
{
    CustomerShares *shares = find(holder, ask.customer);
    const bool isForThisLife = ask.lender == holder.self.incarnation;
    ShareGrant grant{ ask.customer,          ask.serial, Tokens{}, sender.incarnation,
                      holder.settings.lease, Tokens{},   0 };
    if (shares && isForThisLife && ask.serial == 0) {
        const auto account = shares->part.loans.find(sender);
        if (account != shares->part.loans.end())
            noteReport(shares->part, account->second, ask.report, now);
        return;
    }
    if (ask.serial == 0)
        return;
    if (shares && isForThisLife && holder.isTrusted && !holder.isSuperseded) {
        grant.amount = lend(shares->part, sender, ask, shares->waiting, holder.settings, now);
        grant.left = Tokens{ static_cast<std::int64_t>(shares->part.bucket.level) };
        grant.borrowers = static_cast<std::uint32_t>(shares->part.loans.size());
        holder.counters.lentTokens += static_cast<std::uint64_t>(grant.amount.count);
    }
    out.push_back(ShareOutgoing{ sender.host, grant });
}

std::optional<CustomerId> takeGrant(ShareHolder &holder, const HostLife &sender,
                                    const ShareGrant &grant, Instant now)
{
    CustomerShares *shares = find(holder, grant.customer);
    if (!shares || grant.borrower != holder.self.incarnation)
        return std::nullopt;
    const auto wallet = shares->wallets.find(sender);
    const bool isAccepted = wallet != shares->wallets.end()
            && acceptGrant(wallet->second, grant, holder.settings, now);
    if (!isAccepted) {
        ++holder.counters.lateGrants;
        return std::nullopt;
    }
    // Tokens of a life that has ended must not be used: its successor was told what is held.
    const auto view = holder.seats.find(wallet->second.seat);
    if (view == holder.seats.end() || view->second.life != sender)
        returnSurplus(wallet->second, wallet->second.available);
    ++(grant.amount.count > 0 ? holder.counters.grants : holder.counters.emptyGrants);
    holder.counters.borrowedTokens += static_cast<std::uint64_t>(grant.amount.count);
    return grant.customer;
}

void answerQuery(ShareHolder &holder, const HostLife &sender, const ShareQuery &query, Instant now,
                 std::vector<ShareOutgoing> &out)
{
    noteSeat(holder, query.seat, sender, now);
    // A fresh host says nothing until a predecessor that was only paused has stopped: what that one
    // had borrowed is not made any more from then on.
    if (!holder.earnsFrom || now < *holder.earnsFrom || holder.isSuperseded)
        return;
    updateSettled(holder);
    ShareStatement statement;
    statement.seat = holder.seat;
    statement.serial = query.serial;
    statement.asker = sender.incarnation;
    statement.isTrusted = holder.isTrusted;
    statement.settled = holder.settled;
    const auto view = holder.seats.find(query.seat);
    statement.newestOfAsker = view == holder.seats.end() ? Incarnation{}
                                                         : view->second.life.incarnation;
    if (statement.newestOfAsker == sender.incarnation) {
        for (auto &[id, shares] : holder.customers) {
            Tokens held;
            for (const auto &[life, wallet] : shares.wallets) {
                if (wallet.seat == query.seat && life != sender)
                    held += wallet.reserved + wallet.available;
            }
            if (held.count > 0)
                statement.held.push_back(HeldLoan{ id, held });
        }
    }
    out.push_back(ShareOutgoing{ sender.host, statement });
}

void takeStatement(ShareHolder &holder, const HostLife &sender, const ShareStatement &statement,
                   Instant now)
{
    if (statement.asker != holder.self.incarnation)
        return;
    noteSeat(holder, statement.seat, sender, now);
    const auto view = holder.seats.find(statement.seat);
    if (view == holder.seats.end() || view->second.life != sender)
        return;
    if (statement.newestOfAsker > holder.self.incarnation) {
        holder.isSuperseded = true;
        return;
    }
    const bool isConvincing = statement.isTrusted || now >= holder.mutualDoubtEnds;
    if (statement.serial >= holder.trustSerial && isConvincing)
        holder.isTrusted = true;
    const bool isOvertaken = view->second.statedSerial
            && statement.serial <= *view->second.statedSerial;
    if (isOvertaken)
        return;
    view->second.statedSerial = statement.serial;
    view->second.settled = statement.settled;
    holder.statedLoans[statement.seat] = statement.held;
    cutUnheardLoans(holder, now);
}

} // namespace

std::optional<CustomerId> onShareMessage(ShareHolder &holder, const HostLife &sender,
                                         const ShareBody &body, Instant now,
                                         std::vector<ShareOutgoing> &out)
{
    noteTime(holder, now);
    if (const ShareGrant *grant = std::get_if<ShareGrant>(&body))
        return takeGrant(holder, sender, *grant, now);
    if (const ShareAsk *ask = std::get_if<ShareAsk>(&body))
        answerAsk(holder, sender, *ask, now, out);
    else if (const ShareQuery *query = std::get_if<ShareQuery>(&body))
        answerQuery(holder, sender, *query, now, out);
    else
        takeStatement(holder, sender, std::get<ShareStatement>(body), now);
    return std::nullopt;
}

} // namespace azurewell
