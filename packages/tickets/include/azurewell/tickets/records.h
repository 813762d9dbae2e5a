#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"
#include "azurewell/units/tokens.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurewell {

/// A customer. Rate and burst apply to the whole fleet.
struct Customer
{
    CustomerId id;
    TokenRate rate;                  ///< Prompt and generated tokens per second over all hosts.
    Tokens burst;                    ///< Maximum tokens at once over all hosts.
    double weight = 1.0;             ///< Relative share of a saturated engine.
    std::vector<ServiceId> services; ///< Services the customer may call.
    TicketNumber ticket;             ///< The ticket that put this record in force.
};

enum class KeyState : std::uint8_t { Issued, Withdrawn };

/// A caller's API key, identified by its hash.
struct Key
{
    KeyHash hash;
    CustomerId customer;
    KeyState state = KeyState::Issued;
    TicketNumber ticket;
};

/// One version of an adapter and the customer that owns it.
struct Adapter
{
    AdapterRef ref;
    CustomerId customer;
    std::string baseModel;
    TicketNumber ticket;
};

enum class UpstreamKind : std::uint8_t { Engine, Service };

/// An engine or a back end of a plain service.
struct Upstream
{
    UpstreamId id;
    UpstreamKind kind = UpstreamKind::Engine;
    ZoneId zone;
    std::string address;            ///< IP and port.
    std::string baseModel;          ///< Engines only.
    ServiceId service;              ///< Service back ends only.
    std::uint32_t batchSlots = 1;   ///< Requests it runs concurrently.
    std::uint32_t adapterSlots = 1; ///< Adapters it can hold; engines only.
    bool checksFencing = false;     ///< Whether it rejects orders with an outdated fencing number.
    bool isLeaving = false;
    TicketNumber ticket;
};

/// A plain service.
struct Service
{
    ServiceId id;
    bool isIdempotent = false; ///< Whether calls may be retried after an unknown outcome.
    TicketNumber ticket;
};

/// An availability zone and its number of host ordinals, which own the shares of rate and burst.
struct Zone
{
    ZoneId id;
    std::uint32_t seats = 1;
    TicketNumber ticket;
};

/// Settings of the whole fleet.
struct FleetSettings
{
    /// A host that has received no update from the configuration service for this long, directly or
    /// through other hosts, rejects new requests, as a key may have been withdrawn. Zero: no limit.
    Span maxUpdateAge{};
    TicketNumber ticket;
};

} // namespace azurewell
