#pragma once

#include "azurewell/limits/loan_wallet.h"
#include "azurewell/limits/share_part.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

namespace azurewell {

/// Rate and burst of a customer over the whole fleet, by the newest ticket.
struct ShareTerms
{
    CustomerId customer;
    double ratePerSecond = 0;
    double burst = 0;
};

/// What this host knows of another seat.
struct SeatView
{
    HostLife life;                             ///< The newest that was heard.
    Instant heardUntil;                        ///< Silent from then on.
    TicketNumber settled;                      ///< From its newest statement.
    std::optional<std::uint64_t> statedSerial; ///< The query that its newest statement answered.
};

/// One customer at this host: the part that this seat owns, and what it has borrowed.
struct CustomerShares
{
    ShareTerms terms;
    std::vector<SeatPart> owners; ///< By the newest ticket.
    SharePart part;
    std::map<HostLife, LoanWallet> wallets;
    Tokens waiting;    ///< Cost of the requests that wait for tokens here.
    double demand = 0; ///< Tokens reserved per second, with exponential decay.
    Instant demandAt;  ///< When `demand` was last brought up to date.
};

/// Where a request's tokens came from. A life without a host stands for the own part.
struct ReservationSource
{
    HostLife lender;
    Tokens amount; ///< Not made yet.
};

/// The tokens of one admitted request.
struct Reservation
{
    CustomerId customer;
    std::vector<ReservationSource> sources; ///< Made in this order.
};

/// A request that runs on lent tokens must have ended by `endsAt`.
struct LentRun
{
    Instant endsAt;
    RequestId request;
};

/// Counted for operators.
struct ShareCounters
{
    std::uint64_t asks = 0;
    std::uint64_t grants = 0;      ///< Received with tokens.
    std::uint64_t emptyGrants = 0; ///< The lender had nothing.
    std::uint64_t lateGrants = 0;  ///< Dropped: too late or doubled.
    std::uint64_t borrowedTokens = 0;
    std::uint64_t lentTokens = 0;
    std::uint64_t distrusted = 0;  ///< Times that this host woke late and doubted its seat.
    std::uint64_t overdueRuns = 0; ///< Requests ended because their lent tokens ran out of time.
};

/// All customers' shares at one host. Reads no clock: every function is handed the time.
struct ShareHolder
{
    ShareSettings settings;
    SeatWeight weight = nullptr;
    SeatId seat;
    HostLife self;
    ZoneSeats zones;
    TicketNumber ticket;
    /// The first that this host had: one that starts from a snapshot does not know the sizes of
    /// parts before it, and counts a seat as unheard until that seat has settled it.
    std::optional<TicketNumber> firstTicket;
    TicketNumber settled; ///< All parts here have the size that this ticket gives them.

    std::optional<Instant> earnsFrom; ///< Set by the first event.
    Instant lastEvent;
    bool isTrusted = true;     ///< False after a pause, until another host confirms the seat.
    bool isSuperseded = false; ///< A newer life of this seat exists: this one serves nothing more.
    Instant mutualDoubtEnds;   ///< From then on the word of doubting hosts counts.
    std::uint64_t trustSerial = 0; ///< Statements that answer earlier queries confirm nothing.
    std::uint64_t querySerial = 0;
    Instant nextQuery;
    Instant nextWriteOff;
    bool hasAllStatements = false; ///< Every other seat said what it holds from former lives.

    std::map<SeatId, SeatView> seats; ///< The others.
    std::map<SeatId, std::vector<HeldLoan>> statedLoans;
    std::unordered_map<CustomerId, CustomerShares> customers;
    std::set<CustomerId> active; ///< With wallets or waiting requests.
    std::unordered_map<RequestId, Reservation> reservations;
    std::deque<LentRun> lentRuns; ///< Rising `endsAt`.
    ShareCounters counters;
};

ShareHolder makeShareHolder(SeatId seat, HostLife self, SeatWeight weight, ShareSettings settings);

/// Must come before any other use at a new time: after a pause the host doubts its seat.
void noteTime(ShareHolder &holder, Instant now);

/// Puts the terms of \a ticket in force. \a terms lists all customers.
void setTerms(ShareHolder &holder, TicketNumber ticket, const ZoneSeats &zones,
              const std::vector<ShareTerms> &terms, Instant now);

/// Another host was heard in \a seat; it counts as silent after \a lateness, where that is longer
/// than the settings' silence: hosts of other zones are heard less often in a large fleet.
void noteSeat(ShareHolder &holder, const SeatId &seat, const HostLife &life, Instant now,
              Span lateness = {});

/// Takes \a cost for \a request from borrowed tokens and the own part; all or nothing.
bool reserve(ShareHolder &holder, const RequestId &request, const CustomerId &customer, Tokens cost,
             Instant now);

/// Counts \a amount of the request's tokens as made.
void settle(ShareHolder &holder, const RequestId &request, Tokens amount, Instant now);

/// Gives the rest of the request's tokens back.
void release(ShareHolder &holder, const RequestId &request, Instant now);

/// When tokens for \a cost are to be expected after those of the requests that wait already, by
/// what the owners last said; `never` where no part in reach can earn them.
Instant expectedAt(const ShareHolder &holder, const CustomerId &customer, Tokens cost, Instant now);

/// The largest request of \a customer that this host can ever admit: its own part, and what one
/// borrower may hold of the others.
Tokens largestRequest(const ShareHolder &holder, const CustomerId &customer);

/// Tells the cost of all requests of \a customer that wait here, and asks for what lacks.
void seekTokens(ShareHolder &holder, const CustomerId &customer, Tokens waiting, Instant now,
                std::vector<ShareOutgoing> &out);

/// Due work: reports, surplus, queries, loans that have run out.
void tendShares(ShareHolder &holder, Instant now, std::vector<ShareOutgoing> &out);

/// Requests whose lent tokens can't be used any longer; each is named once.
std::vector<RequestId> takeOverdue(ShareHolder &holder, Instant now);

/// A message of another host. Names the customer whose waiting requests may go on now.
std::optional<CustomerId> onShareMessage(ShareHolder &holder, const HostLife &sender,
                                         const ShareBody &body, Instant now,
                                         std::vector<ShareOutgoing> &out);

} // namespace azurewell
