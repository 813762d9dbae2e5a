#pragma once

#include "azurewell/limits/rate_shares.h"

namespace azurewell::shares {

std::uint32_t totalSeats(const RateShares &state);
CustomerShares *find(RateShares &state, const CustomerId &customer);
/// The view of \a seat if its host is reachable at \a now, else null.
const SeatView *reachable(const RateShares &state, const SeatId &seat, Instant now);
/// Tokens borrowed from all lenders and not reserved.
Tokens availableBorrowed(const CustomerShares &shares);
/// Whole tokens that can be reserved at \a now from the own share and the loans.
double availableNow(const CustomerShares &shares, Instant now);
/// Resizes the bucket to the effective fraction of the share.
void resizeShare(const RateShares &state, CustomerShares &shares, Instant now);
/// Decays `demand` to \a now.
void decayDemand(CustomerShares &shares, const ShareSettings &settings, Instant now);
/// Tokens that the owner of \a share could lend at \a now, estimated from its last grant; 0 if it
/// is unreachable.
double expectedLevel(const RateShares &state, const CustomerShares &shares, const SeatShare &share,
                     Instant now);
/// Limits the tokens kept for former loans to those stated, and the maximum for each ordinal whose
/// statement is missing.
void limitFormerLoansByStatements(RateShares &state, Instant now);
/// Drops the sizes that every host has superseded, and grows shares accordingly.
void growShares(RateShares &state, Instant now);
/// Queries every host whose statement is missing.
void sendQueries(RateShares &state, std::vector<ShareOutgoing> &out);

} // namespace azurewell::shares
