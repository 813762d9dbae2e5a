#pragma once

#include "azurewell/limits/loan_account.h"
#include "azurewell/limits/owned_share.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

namespace azurewell {

/// Fleet-wide rate and burst of a customer, from the newest ticket.
struct ShareTerms
{
    CustomerId customer;
    double ratePerSecond = 0;
    double burst = 0;
};

/// What this host knows of another host ordinal.
struct SeatView
{
    HostIncarnation occupant;                         ///< The newest incarnation seen.
    Instant reachableUntil;                           ///< Counted as unreachable after this.
    TicketNumber settled;                             ///< From its newest statement.
    std::optional<std::uint64_t> lastStatementSerial; ///< Serial of the query it last answered.
};

/// One customer at this host: the share that this host owns, and what it has borrowed.
struct CustomerShares
{
    ShareTerms terms;
    std::vector<SeatShare> owners; ///< From the newest ticket.
    OwnedShare ownedShare;
    std::map<HostIncarnation, BorrowerAccount> accounts; ///< By lender.
    Tokens waiting;    ///< Cost of the requests that wait for tokens at this host.
    double demand = 0; ///< Tokens reserved per second, with exponential decay.
    Instant demandAt;  ///< When `demand` was last updated.
};

/// Where a request's tokens came from. An empty lender stands for the host's own share.
struct ReservationSource
{
    HostIncarnation lender;
    Tokens amount; ///< Not yet generated.
};

/// The tokens of one admitted request.
struct Reservation
{
    CustomerId customer;
    std::vector<ReservationSource> sources; ///< Used up in this order.
};

/// A request that runs on lent tokens and must have ended by `endsAt`.
struct LentRequest
{
    Instant endsAt;
    RequestId request;
};

/// Counters for operators.
struct ShareCounters
{
    std::uint64_t requestsSent = 0; ///< Requests sent to lenders.
    std::uint64_t grants = 0;       ///< Received with tokens.
    std::uint64_t emptyGrants = 0;  ///< Received without tokens.
    std::uint64_t lateGrants = 0;   ///< Dropped as late or duplicate.
    std::uint64_t borrowedTokens = 0;
    std::uint64_t lentTokens = 0;
    std::uint64_t unconfirmedPauses
            = 0;                       ///< Pauses after which this host had to confirm its ordinal.
    std::uint64_t overdueRequests = 0; ///< Requests ended because their lent tokens expired.
};

/// All customers' shares at one host. Reads no clock: every function takes the time.
struct RateShares
{
    ShareSettings settings;
    SeatWeight weight = nullptr;
    SeatId seat;
    HostIncarnation self;
    ZoneSeats zones;
    TicketNumber ticket;
    /// The first ticket that this host applied. A host that starts from a snapshot does not know
    /// the share sizes before it, so another ordinal's statement counts only once that ordinal has
    /// settled this ticket.
    std::optional<TicketNumber> firstTicket;
    TicketNumber settled; ///< All shares here have the size that this ticket gives them.

    std::optional<Instant> earningStartsAt; ///< Set by the first event.
    Instant lastEventAt;
    bool isTrusted = true;       ///< False after a pause, until another host confirms the ordinal.
    bool isSuperseded = false;   ///< A newer incarnation has this ordinal: this one admits nothing.
    Instant mutualDoubtDeadline; ///< Unconfirmed hosts may confirm this one after this.
    std::uint64_t minConfirmingSerial
            = 0; ///< Statements that answer earlier queries don't confirm.
    std::uint64_t querySerial = 0;
    Instant nextQueryAt;
    Instant nextWriteOffAt;
    bool hasAllStatements = false; ///< Every other ordinal has stated its former loans.

    std::map<SeatId, SeatView> seats; ///< All other host ordinals seen.
    std::map<SeatId, std::vector<HeldLoan>> statedLoans;
    std::unordered_map<CustomerId, CustomerShares> customers;
    std::set<CustomerId> active; ///< Customers with loan accounts or waiting requests.
    std::unordered_map<RequestId, Reservation> reservations;
    std::deque<LentRequest> lentRequests; ///< Ordered by `endsAt`.
    ShareCounters counters;
};

RateShares makeRateShares(SeatId seat, HostIncarnation self, SeatWeight weight,
                          ShareSettings settings);

/// Detects pauses of this process; call it before any other function at a new time. After a pause
/// the host admits nothing until another host confirms its ordinal.
void detectPause(RateShares &state, Instant now);

/// Applies the terms of \a ticket. \a terms lists all customers.
void setTerms(RateShares &state, TicketNumber ticket, const ZoneSeats &zones,
              const std::vector<ShareTerms> &terms, Instant now);

/// Records contact with \a occupant of \a seat. It counts as unreachable after \a lateness or the
/// settings' reachability timeout, whichever is longer: in a large fleet hosts of other zones send
/// less often.
void recordContact(RateShares &state, const SeatId &seat, const HostIncarnation &occupant,
                   Instant now, Span lateness = {});

/// Reserves \a cost for \a request from borrowed tokens and the host's own share. Returns false and
/// reserves nothing if they don't suffice.
bool reserve(RateShares &state, const RequestId &request, const CustomerId &customer, Tokens cost,
             Instant now);

/// Counts \a amount of the request's tokens as generated.
void settle(RateShares &state, const RequestId &request, Tokens amount, Instant now);

/// Releases the rest of the request's tokens.
void release(RateShares &state, const RequestId &request, Instant now);

/// When tokens for \a cost are expected, after those for the requests that already wait, from what
/// the owners last reported; `never` if no reachable share earns any.
Instant expectedAt(const RateShares &state, const CustomerId &customer, Tokens cost, Instant now);

/// The largest request of \a customer that this host can ever admit: its own share, and what one
/// borrower may hold of the others.
Tokens largestRequest(const RateShares &state, const CustomerId &customer);

/// Sets \a waiting as the total cost of \a customer's waiting requests, and requests the missing
/// tokens from lenders.
void requestTokens(RateShares &state, const CustomerId &customer, Tokens waiting, Instant now,
                   std::vector<ShareOutgoing> &out);

/// Performs due work: reports, returns of surplus, queries, write-off of expired loans.
void pollShares(RateShares &state, Instant now, std::vector<ShareOutgoing> &out);

/// Requests whose lent tokens have expired; each is returned once.
std::vector<RequestId> takeOverdueRequests(RateShares &state, Instant now);

/// Handles a message of another host. Returns the customer whose waiting requests may be retried.
std::optional<CustomerId> onShareMessage(RateShares &state, const HostIncarnation &sender,
                                         const ShareBody &body, Instant now,
                                         std::vector<ShareOutgoing> &out);

} // namespace azurewell
