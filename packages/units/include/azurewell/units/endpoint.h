#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace azurewell {

/// An IP address and port. Host names are not resolved.
struct Endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

} // namespace azurewell
