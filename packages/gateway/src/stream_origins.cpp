#include "azurewell/gateway/stream_origins.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

/// Bytes of a record besides its texts: nodes of a map and two sets.
constexpr std::size_t bytesPerOrigin = 400;

/// The customer and the attempt are kept three times.
constexpr std::size_t copiesOfKey = 3;

std::size_t sizeOf(const StreamKey &key, const StreamOrigin &origin)
{
    return bytesPerOrigin + copiesOfKey * (key.customer.value.size() + key.begunBy.value.size())
            + origin.service.value.size() + origin.version.value.size();
}

void erase(StreamOrigins &origins, const StreamKey &key)
{
    const auto found = origins.records.find(key);
    if (found == origins.records.end())
        return;
    origins.bytes -= sizeOf(key, found->second);
    origins.byExpiry.erase({ found->second.until, key });
    origins.unsent.erase(key);
    origins.records.erase(found);
}

void eraseFirst(StreamOrigins &origins)
{
    const StreamKey key = origins.byExpiry.begin()->second;
    erase(origins, key);
}

} // namespace

void recordOrigin(StreamOrigins &origins, const StreamKey &key, const StreamOrigin &origin)
{
    const bool isRecordable = !key.begunBy.value.empty()
            && key.begunBy.value.size() <= maxAttemptIdLength
            && origin.version.value.size() <= maxVersionLength;
    if (!isRecordable)
        return;
    StreamOrigin merged = origin;
    const bool isUnsent = origins.unsent.contains(key);
    const auto known = origins.records.find(key);
    if (known != origins.records.end()) {
        const StreamOrigin &earlier = known->second;
        merged.until = std::max(merged.until, earlier.until);
        merged.isAmbiguous = merged.isAmbiguous || earlier.isAmbiguous
                || earlier.version != origin.version || earlier.service != origin.service;
        erase(origins, key);
    }
    origins.bytes += sizeOf(key, merged);
    origins.byExpiry.insert({ merged.until, key });
    origins.records[key] = merged;
    if (isUnsent)
        origins.unsent.insert(key);
    while (origins.records.size() > maxOrigins || origins.bytes > maxOriginBytes) {
        ++origins.dropped;
        eraseFirst(origins);
    }
}

const StreamOrigin *findOrigin(const StreamOrigins &origins, const StreamKey &key, Instant now)
{
    const auto found = origins.records.find(key);
    return found == origins.records.end() || now >= found->second.until ? nullptr : &found->second;
}

void dropExpiredOrigins(StreamOrigins &origins, Instant now)
{
    while (!origins.byExpiry.empty() && origins.byExpiry.begin()->first <= now)
        eraseFirst(origins);
}

void updateVersions(ServiceVersions &versions, const std::set<SoftwareVersion> &listed, Instant now)
{
    const bool isFirst = versions.heldSince.empty();
    bool isChanged = listed.size() != versions.heldSince.size();
    for (const SoftwareVersion &version : listed) {
        const bool isNew = versions.heldSince.try_emplace(version, isFirst ? Instant{} : now)
                                   .second;
        isChanged = isChanged || isNew;
    }
    std::erase_if(versions.heldSince,
                  [&](const auto &entry) { return !listed.contains(entry.first); });
    if (listed.size() > 1 || (isChanged && !isFirst))
        versions.mixedAt = now;
}

bool isMixed(const ServiceVersions &versions, Span window, Instant now)
{
    return versions.mixedAt.micros != 0 && now < versions.mixedAt + window;
}

const SoftwareVersion *loneVersion(const ServiceVersions &versions, Span window, Instant now)
{
    const bool isKnownLongEnough = versions.since.micros == 0 || now >= versions.since + window;
    const bool isLone = versions.heldSince.size() == 1 && isKnownLongEnough
            && !isMixed(versions, window, now);
    return isLone ? &versions.heldSince.begin()->first : nullptr;
}

} // namespace azurewell::gateway
