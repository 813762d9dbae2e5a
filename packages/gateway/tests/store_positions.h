#pragma once

#include "azurewell/gateway/store_position.h"

namespace azurewell::gateway {

/// A position in the first era of a store.
constexpr StorePosition at(std::uint64_t revision)
{
    return { 1, revision };
}

} // namespace azurewell::gateway
