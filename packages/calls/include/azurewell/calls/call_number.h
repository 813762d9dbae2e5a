#pragma once

#include "azurewell/units/ids.h"

#include <cstdint>
#include <optional>

namespace azurewell {

/// The parts of a call number: the host incarnation that issued it and its sequence number within
/// the customer. Only that incarnation knows whether the call ran, so a repeat that arrives at any
/// host is checked with it.
struct CallNumberParts
{
    HostId host;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< Counted separately for each customer; starts at 1.
    std::uint32_t check = 0;    ///< Checksum of the issuer's secret, the customer and the sequence.
};

/// `<host>.<incarnation>.<sequence>.<check>`, the check as eight hexadecimal digits.
CallNumber formatCallNumber(const CallNumberParts &parts);

/// The parts of \a number; std::nullopt if it is malformed.
std::optional<CallNumberParts> parseCallNumber(const CallNumber &number);

/// The checksum of a call number. It detects a mistyped number and one that belongs to another
/// customer. It need not be cryptographic: a number is only looked up within the customer of the
/// key that came with it, so a guessed number can only affect the guesser's own calls.
std::uint32_t checksumOf(std::uint64_t secret, const CustomerId &customer, std::uint64_t sequence);

} // namespace azurewell
