#pragma once

#include "azurewell/units/strong_id.h"

namespace azurewell {

/// A host, by its name in its settings and in the platform's host list.
using HostId = StrongId<struct HostTag, std::string>;
/// An availability zone.
using ZoneId = StrongId<struct ZoneTag, std::string>;
/// A customer: a tenant with its keys, rate and adapters.
using CustomerId = StrongId<struct CustomerTag, std::string>;
/// SHA-256 of a caller's key in lower-case hexadecimal; the key itself is never stored.
using KeyHash = StrongId<struct KeyHashTag, std::string>;
/// An adapter with its version, as `adapter@version`.
using AdapterRef = StrongId<struct AdapterRefTag, std::string>;
/// An engine or a plain-service back end, by its name in the tickets.
using UpstreamId = StrongId<struct UpstreamTag, std::string>;
/// A plain service: a group of interchangeable back ends.
using ServiceId = StrongId<struct ServiceTag, std::string>;
/// A caller's request, unique over all hosts: `<host>-<incarnation>-<sequence>`.
using RequestId = StrongId<struct RequestTag, std::string>;
/// A digest of a request's target and whole body, equal each time the request is sent.
using ContentDigest = StrongId<struct ContentDigestTag, std::uint64_t>;
/// A digest of a request's target, whole body and customer, or of a part of its prompt.
using RequestDigest = StrongId<struct RequestDigestTag, std::uint64_t>;
/// A part of a prompt that requests may share, whoever sends them.
using PromptPartId = StrongId<struct PromptPartTag, std::uint64_t>;
/// A version of an upstream's software, not of its weights; empty: the platform states none. What
/// two versions write does not fit together.
using SoftwareVersion = StrongId<struct SoftwareVersionTag, std::string>;
/// The name that a caller gives to one of its attempts; another caller may use the same.
using AttemptId = StrongId<struct AttemptIdTag, std::string>;
/// The id of an event of a stream, as its upstream wrote it.
using EventId = StrongId<struct EventIdTag, std::string>;
/// The number that a caller gives to a call that must not run twice.
using CallNumber = StrongId<struct CallNumberTag, std::string>;
/// The number of a ticket; tickets are applied in ascending order.
using TicketNumber = StrongId<struct TicketTag, std::uint64_t>;
/// The incarnation of a host: rises each time the host is replaced or restarted.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// The fencing number of orders to engines: rises across coordinators and their incarnations.
using FencingNumber = StrongId<struct FencingTag, std::uint64_t>;

/// A host ordinal in a zone. It is passed on when a host is replaced.
using SeatNumber = StrongId<struct SeatTag, std::uint32_t>;

} // namespace azurewell
