#pragma once

#include "azurewell/limits/share_holder.h"

namespace azurewell::shares {

std::uint32_t totalSeats(const ShareHolder &holder);
CustomerShares *find(ShareHolder &holder, const CustomerId &customer);
/// The view of \a seat where its holder can be asked now.
const SeatView *reachable(const ShareHolder &holder, const SeatId &seat, Instant now);
/// Borrowed and not reserved, all lenders together.
Tokens availableOf(const CustomerShares &shares);
/// What the own part and the wallets hold now.
double heldNow(const CustomerShares &shares, Instant now);
/// Gives the part the size that its steps allow.
void shapePart(const ShareHolder &holder, CustomerShares &shares, Instant now);
/// Moves `demand` to \a now.
void decayDemand(CustomerShares &shares, const ShareSettings &settings, Instant now);
/// What the owner in \a part could lend by now, by its last word.
double expectedLevel(const ShareHolder &holder, const CustomerShares &shares, const SeatPart &part,
                     Instant now);
/// Cuts the room for loans of former lives to what seats that are not heard may hold of it.
void cutUnheardLoans(ShareHolder &holder, Instant now);
/// Drops the steps that every seat has left behind, and lets parts grow.
void growParts(ShareHolder &holder, Instant now);
/// Asks every seat whose statement is missing.
void sendQueries(ShareHolder &holder, std::vector<ShareOutgoing> &out);

} // namespace azurewell::shares
