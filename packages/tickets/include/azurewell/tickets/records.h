#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"
#include "azurewell/units/tokens.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurewell {

/// A customer: the rate and burst hold over the whole fleet.
struct Customer
{
    CustomerId id;
    TokenRate rate;      ///< Prompt and generated tokens per second, all hosts together.
    Tokens burst;        ///< Most tokens at one moment, all hosts together.
    double weight = 1.0; ///< Share of a full engine relative to other customers.
    std::vector<ServiceId> services; ///< Services the customer may call.
    TicketNumber ticket;             ///< The ticket that put this record in force.
};

enum class KeyState : std::uint8_t { Issued, Withdrawn };

/// A caller's key, by its hash.
struct Key
{
    KeyHash hash;
    CustomerId customer;
    KeyState state = KeyState::Issued;
    TicketNumber ticket;
};

/// One version of an adapter, and whose it is.
struct Adapter
{
    AdapterRef ref;
    CustomerId customer;
    std::string baseModel;
    TicketNumber ticket;
};

enum class UpstreamKind : std::uint8_t { Engine, Service };

/// An engine or a plain-service back end.
struct Upstream
{
    UpstreamId id;
    UpstreamKind kind = UpstreamKind::Engine;
    ZoneId zone;
    std::string address;            ///< IP and port.
    std::string baseModel;          ///< Engines only.
    ServiceId service;              ///< Service back ends only.
    std::uint32_t batchSlots = 1;   ///< Requests it runs at once.
    std::uint32_t adapterSlots = 1; ///< Adapters it holds at once; engines only.
    bool checksFencing = false;     ///< Whether it refuses orders with an old fencing number.
    bool isLeaving = false;
    TicketNumber ticket;
};

/// A plain service.
struct Service
{
    ServiceId id;
    bool isIdempotent = false; ///< Whether a call may be sent twice.
    TicketNumber ticket;
};

/// An availability zone and its host places; shares of rate and burst belong to places.
struct Zone
{
    ZoneId id;
    std::uint32_t seats = 1;
    TicketNumber ticket;
};

/// Settings of the whole fleet.
struct FleetSettings
{
    /// A host that has had no word from the configuration service for so long, neither itself nor
    /// through other hosts, serves nothing new: a key may have been withdrawn meanwhile. Zero: it
    /// goes on.
    Span longestWithoutNews{};
    TicketNumber ticket;
};

} // namespace azurewell
