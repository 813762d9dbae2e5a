#pragma once

#include <cstdint>
#include <string_view>

namespace azurewell {

/// The weight of \a node for \a key (rendezvous hashing): each key is assigned to the node with the
/// highest weight, and only the keys of a removed node move. Equal on every host and build.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/// rendezvousWeight() of a key and a node given by their stableHash().
std::uint64_t rendezvousMix(std::uint64_t keyHash, std::uint64_t nodeHash);

/// A 64-bit hash that is equal on every host and build (std::hash is not).
std::uint64_t stableHash(std::string_view text);

} // namespace azurewell
