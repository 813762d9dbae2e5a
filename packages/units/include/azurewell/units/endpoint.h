#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace azurewell {

/// IP and port. Names are not resolved: hosts talk by IP numbers.
struct Endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

} // namespace azurewell
