#pragma once

#include "azurewell/units/ids.h"

#include <cstdint>
#include <optional>

namespace azurewell {

/// What a call number says: which life of which host issued it, and as which of the customer's.
/// Only that instance can know whether the call ran, so a repeat at any host is led to it.
struct CallNumberParts
{
    HostId host;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< Counted for each customer apart.
    std::uint32_t check = 0;    ///< Of the issuer's secret, the customer and the sequence.
};

/// `<host>.<incarnation>.<sequence>.<check>`, the check as eight hexadecimal digits.
CallNumber formatCallNumber(const CallNumberParts &parts);

/// The parts of \a number; nothing where it is not of that form.
std::optional<CallNumberParts> parseCallNumber(const CallNumber &number);

/// The check of a number. It catches a number that was mistyped or belongs to another customer. It
/// is no cryptographic code and need be none: a number counts only within the customer of the key
/// that came with it, so a guessed one can spoil nothing but the guesser's own calls.
std::uint32_t checkOf(std::uint64_t secret, const CustomerId &customer, std::uint64_t sequence);

} // namespace azurewell
