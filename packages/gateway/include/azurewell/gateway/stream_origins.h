#pragma once

#include "azurewell/units/ids.h"
#include "azurewell/units/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace azurewell::gateway {

/// Identifies a stream over all tries of its caller. Another customer may use the same attempt id.
struct StreamKey
{
    CustomerId customer; ///< Empty on a public route.
    AttemptId begunBy;   ///< The attempt that brought the stream's first event.

    auto operator<=>(const StreamKey &) const = default;
};

/// Which software began a stream. Only a server of that version may go on with it.
struct StreamOrigin
{
    ServiceId service;
    SoftwareVersion version;
    Instant until;            ///< The record is dropped then.
    bool isAmbiguous = false; ///< Two versions claim to have begun it: its caller uses an id twice.
};

/// Bounds of what a host keeps: a stream of 10,000 a second in a fleet of 6 hosts is recorded at 3
/// of them, for some 20 s.
inline constexpr std::size_t maxOrigins = 100'000;
inline constexpr std::size_t maxOriginBytes = 32ULL * 1024 * 1024;

/// The longest attempt id and version that are recorded.
inline constexpr std::size_t maxAttemptIdLength = 128;
inline constexpr std::size_t maxVersionLength = 128;

/// Records of other hosts are kept no longer than this.
inline constexpr Span maxOriginAge = std::chrono::minutes(10);

/// Records of which software began the streams that callers may take up again.
struct StreamOrigins
{
    std::map<StreamKey, StreamOrigin> records;
    std::set<std::pair<Instant, StreamKey>> byExpiry;
    std::size_t bytes = 0;
    std::uint64_t dropped = 0;  ///< Records dropped before their time, as there were too many.
    std::set<StreamKey> unsent; ///< Streams of this host that no other host has a record of.
};

/// Records \a origin. A second version makes the record ambiguous.
void recordOrigin(StreamOrigins &origins, const StreamKey &key, const StreamOrigin &origin);

/// The record of \a key; null if there is none.
const StreamOrigin *findOrigin(const StreamOrigins &origins, const StreamKey &key, Instant now);

void dropExpiredOrigins(StreamOrigins &origins, Instant now);

/// The software versions of a service's upstreams, as far as this host knows.
struct ServiceVersions
{
    /// The versions that are listed now, with the time since which new streams do not begin there;
    /// zero: they do.
    std::map<SoftwareVersion, Instant> heldSince;
    Instant mostKnowAt; ///< Since when most hosts state that versions are mixed; zero: they do not.
    Instant allButOneKnowAt; ///< Since when all other hosts, or all but one, state it.
    Instant mixedAt; ///< When two versions were last known side by side, here or at another host;
                     ///< zero: never.
    Instant since;   ///< Since when this host knows the service's versions; zero: since the system
                     ///< started for the first time.
};

/// Updates \a versions by those that are \a listed now. A version that is new beside others, or in
/// their place, is held.
void updateVersions(ServiceVersions &versions, const std::set<SoftwareVersion> &listed,
                    Instant now);

/// Whether versions are mixed, or were so recently that streams of a version that is gone may still
/// be taken up again. Callers take streams up within \a window after they began.
bool isMixed(const ServiceVersions &versions, Span window, Instant now);

/// The only version that can have begun a stream which is taken up now; null if there may be two.
/// That none is known is no sign of it until this host has known the versions for \a window.
const SoftwareVersion *loneVersion(const ServiceVersions &versions, Span window, Instant now);

} // namespace azurewell::gateway
