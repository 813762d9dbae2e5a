#include "share_internal.h"

#include <algorithm>
#include <cmath>

namespace azurewell {

using namespace shares;

namespace shares {

std::uint32_t totalSeats(const ShareHolder &holder)
{
    std::uint32_t total = 0;
    for (const auto &[zone, count] : holder.zones)
        total += count;
    return total;
}

CustomerShares *find(ShareHolder &holder, const CustomerId &customer)
{
    const auto found = holder.customers.find(customer);
    return found == holder.customers.end() ? nullptr : &found->second;
}

const SeatView *reachable(const ShareHolder &holder, const SeatId &seat, Instant now)
{
    const auto found = holder.seats.find(seat);
    const bool isHeard = found != holder.seats.end() && now < found->second.heardUntil;
    return isHeard ? &found->second : nullptr;
}

Tokens availableOf(const CustomerShares &shares)
{
    Tokens available;
    for (const auto &[life, wallet] : shares.wallets)
        available += wallet.available;
    return available;
}

double heldNow(const CustomerShares &shares, Instant now)
{
    Tokens usable;
    for (const auto &[life, wallet] : shares.wallets)
        usable += wallet.usableUntil > now ? wallet.available : Tokens{};
    // Whole tokens only: a reservation can't be split below one.
    return std::floor(shares.part.bucket.level) + static_cast<double>(usable.count);
}

void decayDemand(CustomerShares &shares, const ShareSettings &settings, Instant now)
{
    if (now <= shares.demandAt)
        return;
    const double age = toSeconds(now - shares.demandAt) / toSeconds(settings.demandMemory);
    shares.demand *= std::exp(-age);
    shares.demandAt = now;
}

double expectedLevel(const ShareHolder &holder, const CustomerShares &shares, const SeatPart &part,
                     Instant now)
{
    const SeatView *view = reachable(holder, part.seat, now);
    if (!view)
        return 0;
    const double burst = shares.terms.burst * part.fraction;
    const auto wallet = shares.wallets.find(view->life);
    if (wallet == shares.wallets.end() || !wallet->second.left)
        return burst;
    const double earned = toSeconds(now - wallet->second.leftAt) * shares.terms.ratePerSecond
            * part.fraction;
    return std::min(burst, static_cast<double>(wallet->second.left->count) + earned);
}

} // namespace shares

namespace {

/// A smaller loan costs more in messages than it serves.
constexpr double smallestLoan = 32;

/// An owner of the own zone comes before one that is fuller by up to this part of its burst.
constexpr double ownZonePreference = 0.1;

/// Owners that can be asked now, the fullest first: a part that is full earns nothing, so draining
/// the own zone's parts alone would lose the rate of the others.
std::vector<const SeatPart *> lendersFor(const ShareHolder &holder, const CustomerShares &shares,
                                         Instant now)
{
    std::vector<std::pair<double, const SeatPart *>> ranked;
    for (const SeatPart &part : shares.owners) {
        if (part.seat == holder.seat || !reachable(holder, part.seat, now))
            continue;
        const double preference = part.seat.zone == holder.seat.zone ? ownZonePreference : 0;
        const double burst = std::max(1.0, shares.terms.burst * part.fraction);
        ranked.emplace_back(expectedLevel(holder, shares, part, now) / burst + preference, &part);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<const SeatPart *> lenders;
    lenders.reserve(ranked.size());
    for (const auto &[rank, part] : ranked)
        lenders.push_back(part);
    return lenders;
}

/// What the requests that wait here and the demand of the next moments lack.
double shortageOf(const CustomerShares &shares, const ShareSettings &settings, Instant now)
{
    Tokens asked;
    for (const auto &[life, wallet] : shares.wallets)
        asked += wallet.asked;
    const double ahead = shares.demand * toSeconds(settings.prefetch);
    const double held = heldNow(shares, now) + static_cast<double>(asked.count);
    const double waiting = static_cast<double>(shares.waiting.count);
    // Asked for at half of the target and filled to the whole, so that it does not flap.
    if (waiting == 0 && held >= ahead / 2)
        return 0;
    return waiting + ahead - held;
}

void askLenders(ShareHolder &holder, CustomerShares &shares, Instant now,
                std::vector<ShareOutgoing> &out)
{
    double lacking = shortageOf(shares, holder.settings, now);
    if (lacking < 1)
        return;
    for (const SeatPart *part : lendersFor(holder, shares, now)) {
        if (lacking < 1)
            return;
        const HostLife lender = holder.seats.at(part->seat).life;
        LoanWallet &wallet = shares.wallets[lender];
        wallet.seat = part->seat;
        wallet.lender = lender;
        if (wallet.asked.count > 0 || now < wallet.nextAsk)
            continue;
        const double most = shares.terms.burst * part->fraction * holder.settings.mostPerBorrower;
        const double expected = expectedLevel(holder, shares, *part, now);
        // What other borrowers return there is not known here: a small ask finds out.
        const double wanted = std::min(
                { std::max(expected, smallestLoan), most, std::max(lacking, smallestLoan) });
        if (wanted < 1)
            continue;
        const Tokens amount{ static_cast<std::int64_t>(std::ceil(wanted)) };
        out.push_back(ShareOutgoing{
                lender.host,
                openAsk(wallet, shares.terms.customer, amount, holder.settings, now) });
        ++holder.counters.asks;
        lacking -= wanted;
    }
}

/// Returns borrowed tokens above twice the target: they wait at their owner for another host.
void returnUnneeded(CustomerShares &shares, const ShareSettings &settings)
{
    const double target = static_cast<double>(shares.waiting.count)
            + 2 * shares.demand * toSeconds(settings.prefetch);
    double surplus = static_cast<double>(availableOf(shares).count) - target;
    for (auto &[life, wallet] : shares.wallets) {
        if (surplus < 1)
            return;
        const Tokens amount = std::min(wallet.available,
                                       Tokens{ static_cast<std::int64_t>(surplus) });
        returnSurplus(wallet, amount);
        surplus -= static_cast<double>(amount.count);
    }
}

/// Whether nothing is left to tell or to use.
bool isSpent(const ShareHolder &holder, const LoanWallet &wallet, Instant now)
{
    const auto view = holder.seats.find(wallet.seat);
    const bool isFormer = view == holder.seats.end() || view->second.life != wallet.lender;
    const bool isEmpty = wallet.reserved.count == 0 && wallet.available.count == 0;
    const Span memory = holder.settings.lease + holder.settings.longestRun;
    // The totals must outlive the lender's account, which they continue.
    return isEmpty && wallet.asked.count == 0
            && (isFormer || wallet.askSentAt + memory + memory < now);
}

void tendWallets(ShareHolder &holder, CustomerShares &shares, Instant now,
                 std::vector<ShareOutgoing> &out)
{
    for (auto &[life, wallet] : shares.wallets) {
        giveUpLateAsk(wallet, now);
        voidUnusable(wallet, now);
    }
    returnUnneeded(shares, holder.settings);
    for (auto &[life, wallet] : shares.wallets) {
        const std::optional<ShareAsk> report = takeReport(wallet, shares.terms.customer,
                                                          holder.settings, now);
        if (report)
            out.push_back(ShareOutgoing{ life.host, *report });
    }
    std::erase_if(shares.wallets,
                  [&holder, now](const auto &entry) { return isSpent(holder, entry.second, now); });
}

} // namespace

Instant expectedAt(const ShareHolder &holder, const CustomerId &customer, Tokens cost, Instant now)
{
    const auto found = holder.customers.find(customer);
    if (found == holder.customers.end())
        return never;
    const CustomerShares &shares = found->second;
    double held = heldNow(shares, now);
    double rate = shares.part.bucket.ratePerSecond;
    for (const SeatPart &part : shares.owners) {
        if (part.seat == holder.seat || !reachable(holder, part.seat, now))
            continue;
        held += expectedLevel(holder, shares, part, now);
        rate += shares.terms.ratePerSecond * part.fraction;
    }
    const double lacking = static_cast<double>(cost.count + shares.waiting.count) - held;
    if (lacking <= 0)
        return now;
    return rate > 0 ? now + fromSeconds(lacking / rate) + Span{ 1 } : never;
}

Tokens largestRequest(const ShareHolder &holder, const CustomerId &customer)
{
    const auto found = holder.customers.find(customer);
    if (found == holder.customers.end())
        return Tokens{};
    const double own = fractionOf(found->second.owners, holder.seat);
    const double reach = own + (1 - own) * holder.settings.mostPerBorrower;
    return Tokens{ static_cast<std::int64_t>(found->second.terms.burst * reach) };
}

void seekTokens(ShareHolder &holder, const CustomerId &customer, Tokens waiting, Instant now,
                std::vector<ShareOutgoing> &out)
{
    CustomerShares *shares = find(holder, customer);
    if (!shares)
        return;
    shares->waiting = waiting;
    holder.active.insert(customer);
    if (!holder.isTrusted || holder.isSuperseded)
        return;
    refill(shares->part.bucket, now);
    askLenders(holder, *shares, now, out);
}

void tendShares(ShareHolder &holder, Instant now, std::vector<ShareOutgoing> &out)
{
    noteTime(holder, now);
    for (auto id = holder.active.begin(); id != holder.active.end();) {
        CustomerShares *shares = find(holder, *id);
        if (shares) {
            decayDemand(*shares, holder.settings, now);
            tendWallets(holder, *shares, now, out);
            seekTokens(holder, *id, shares->waiting, now, out);
        }
        const bool isIdle = !shares || (shares->wallets.empty() && shares->waiting.count == 0);
        id = isIdle ? holder.active.erase(id) : std::next(id);
    }
    const bool resumes = holder.settings.resumesUnconfirmed && now >= holder.mutualDoubtEnds;
    holder.isTrusted = holder.isTrusted || resumes;
    if (now < holder.nextQuery)
        return;
    holder.nextQuery = now + holder.settings.queryInterval;
    for (auto &[id, shares] : holder.customers)
        writeOffLoans(shares.part, now);
    growParts(holder, now);
    sendQueries(holder, out);
}

} // namespace azurewell
