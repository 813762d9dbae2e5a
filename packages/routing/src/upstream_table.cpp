#include "azurewell/routing/upstream_table.h"

#include "azurewell/routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace azurewell {

namespace {

/// Points of each upstream on a ring. With 8 the most loaded of 400 upstreams owns about twice its
/// share.
constexpr std::uint64_t ringPoints = 8;
/// How long an adapter is expected after a request for it was sent: one heartbeat and one load.
constexpr Span expectationLifetime = fromSeconds(1.5);
constexpr double sampleWeight = 0.2;
/// An upstream is slow above this multiple of its group's time per token. Batching alone varies the
/// time by a factor of less than two.
constexpr double slowRatio = 3.0;
/// The first probe of a slow upstream is sent after twice this, and the delay doubles with each
/// probe that finds it slow. Each probe costs a caller a late answer.
constexpr Span probeDelay = fromSeconds(15);
constexpr std::uint32_t maxDoublings = 6;

void updateMean(double &mean, double value, double weight)
{
    mean = mean == 0 ? value : mean + (value - mean) * weight;
}

void addToRing(std::vector<std::pair<std::uint64_t, std::uint32_t>> &ring, const std::string &id,
               std::uint32_t index)
{
    for (std::uint64_t point = 0; point < ringPoints; ++point)
        ring.emplace_back(stableHash(id + '#' + std::to_string(point)), index);
}

UpstreamEntry *entryOf(UpstreamTable &table, const UpstreamId &id)
{
    const auto found = table.byId.find(id);
    return found == table.byId.end() ? nullptr : &table.entries[found->second];
}

void addEntry(UpstreamTable &table, const Upstream &upstream, const ZoneId &ownZone)
{
    const std::uint32_t index = static_cast<std::uint32_t>(table.entries.size());
    table.byId.emplace(upstream.id, index);
    UpstreamEntry &entry = table.entries.emplace_back();
    entry.id = upstream.id;
    entry.hash = stableHash(upstream.id.value);
    entry.kind = upstream.kind;
    entry.isOwnZone = upstream.zone == ownZone;
    const bool isEngine = upstream.kind == UpstreamKind::Engine;
    auto &byName = isEngine ? table.engineGroups : table.serviceGroups;
    const auto [named, isNew] = byName.try_emplace(isEngine ? upstream.baseModel
                                                            : upstream.service.value,
                                                   static_cast<std::uint32_t>(table.groups.size()));
    if (isNew)
        table.groups.emplace_back();
    entry.group = named->second;
    UpstreamGroup &group = table.groups[entry.group];
    group.all.push_back(index);
    addToRing(group.ring, upstream.id.value, index);
    if (!entry.isOwnZone)
        return;
    group.own.push_back(index);
    addToRing(group.ownRing, upstream.id.value, index);
}

void dropHolder(UpstreamTable &table, const AdapterRef &adapter, std::uint32_t index)
{
    const auto found = table.adapterHolders.find(adapter);
    if (found == table.adapterHolders.end())
        return;
    std::erase(found->second, index);
    if (found->second.empty())
        table.adapterHolders.erase(found);
}

void addHolder(UpstreamTable &table, const AdapterRef &adapter, std::uint32_t index)
{
    std::vector<std::uint32_t> &holders = table.adapterHolders[adapter];
    if (std::find(holders.begin(), holders.end(), index) == holders.end())
        holders.push_back(index);
}

bool contains(const std::vector<AdapterRef> &list, const AdapterRef &adapter)
{
    return std::find(list.begin(), list.end(), adapter) != list.end();
}

bool isExpected(const UpstreamEntry &entry, const AdapterRef &adapter)
{
    return std::any_of(
            entry.expected.begin(), entry.expected.end(),
            [&adapter](const ExpectedAdapter &expected) { return expected.adapter == adapter; });
}

bool isLoadedOrExpected(const UpstreamEntry &entry, const AdapterRef &adapter)
{
    return contains(entry.report.loaded, adapter) || contains(entry.report.wanted, adapter)
            || isExpected(entry, adapter);
}

/// Removes expected adapters that the report confirms or that have expired.
void dropExpected(UpstreamEntry &entry, Instant now)
{
    std::erase_if(entry.expected, [&entry, now](const ExpectedAdapter &expected) {
        return expected.until <= now || contains(entry.report.loaded, expected.adapter)
                || contains(entry.report.wanted, expected.adapter);
    });
}

} // namespace

void setUpstreams(UpstreamTable &table, const std::unordered_map<UpstreamId, Upstream> &inForce,
                  const ZoneId &ownZone)
{
    const std::size_t before = table.entries.size();
    for (const auto &[id, upstream] : inForce) {
        if (!table.byId.contains(id))
            addEntry(table, upstream, ownZone);
        UpstreamEntry &entry = *entryOf(table, id);
        entry.batchSlots = std::max(1U, upstream.batchSlots);
        entry.adapterSlots = std::max(1U, upstream.adapterSlots);
    }
    for (UpstreamEntry &entry : table.entries) {
        const auto found = inForce.find(entry.id);
        entry.isLeaving = found == inForce.end() || found->second.isLeaving;
    }
    if (table.entries.size() == before)
        return;
    for (UpstreamGroup &group : table.groups) {
        std::sort(group.ring.begin(), group.ring.end());
        std::sort(group.ownRing.begin(), group.ownRing.end());
    }
}

bool isSlow(const UpstreamGroup &group, const UpstreamEntry &entry)
{
    return group.pace > 0 && entry.pace > group.pace * slowRatio;
}

void setState(UpstreamTable &table, const UpstreamId &id, UpstreamState state)
{
    if (UpstreamEntry *entry = entryOf(table, id))
        entry->state = state;
}

void recordReport(UpstreamTable &table, const UpstreamId &id, EngineReport report, Instant now)
{
    const auto found = table.byId.find(id);
    if (found == table.byId.end())
        return;
    UpstreamEntry &entry = table.entries[found->second];
    const EngineReport old = std::exchange(entry.report, std::move(report));
    if (entry.report.keepsLoaded)
        entry.report.loaded = old.loaded;
    const std::vector<ExpectedAdapter> oldExpected = entry.expected;
    dropExpected(entry, now);
    entry.sentSinceReport = 0;
    entry.missesSinceReport = static_cast<std::int32_t>(entry.expected.size());
    const auto dropUnlessExpected = [&](const AdapterRef &adapter) {
        if (!isLoadedOrExpected(entry, adapter))
            dropHolder(table, adapter, found->second);
    };
    std::for_each(old.loaded.begin(), old.loaded.end(), dropUnlessExpected);
    std::for_each(old.wanted.begin(), old.wanted.end(), dropUnlessExpected);
    for (const ExpectedAdapter &expected : oldExpected)
        dropUnlessExpected(expected.adapter);
    for (const AdapterRef &adapter : entry.report.loaded)
        addHolder(table, adapter, found->second);
    for (const AdapterRef &adapter : entry.report.wanted)
        addHolder(table, adapter, found->second);
}

void recordSent(UpstreamTable &table, const UpstreamId &id, const AdapterRef &adapter, Instant now)
{
    const auto found = table.byId.find(id);
    if (found == table.byId.end())
        return;
    UpstreamEntry &entry = table.entries[found->second];
    ++entry.sentSinceReport;
    ++entry.inFlight;
    if (isSlow(table.groups[entry.group], entry))
        entry.probeAfter = now + probeDelay * (1LL << entry.failedProbes);
    if (adapter.value.empty() || isLoadedOrExpected(entry, adapter))
        return;
    ++entry.missesSinceReport;
    entry.expected.push_back(ExpectedAdapter{ adapter, now + expectationLifetime });
    addHolder(table, adapter, found->second);
}

void recordEnded(UpstreamTable &table, const UpstreamId &id)
{
    UpstreamEntry *entry = entryOf(table, id);
    if (!entry)
        return;
    --entry->sentSinceReport;
    entry->inFlight -= entry->inFlight > 0 ? 1 : 0;
}

void recordPace(UpstreamTable &table, const UpstreamId &id, Tokens tokens, Span took,
                std::optional<Span> held, Instant now)
{
    UpstreamEntry *entry = entryOf(table, id);
    if (!entry || tokens.count <= 0)
        return;
    const double pace = toSeconds(took) / static_cast<double>(tokens.count);
    UpstreamGroup &group = table.groups[entry->group];
    updateMean(entry->pace, pace, sampleWeight);
    // Fast decrease, slow increase: the first sample may come from a slow member.
    if (pace < group.pace)
        updateMean(group.pace, pace, 0.5);
    if (isSlow(group, *entry)) {
        // The group's pace is the mean of its healthy members only.
        entry->failedProbes = std::min(entry->failedProbes + 1, maxDoublings);
        entry->probeAfter = now + probeDelay * (1LL << entry->failedProbes);
        return;
    }
    entry->failedProbes = 0;
    updateMean(group.pace, pace, sampleWeight / 10);
    if (held)
        updateMean(group.holdSeconds, toSeconds(*held), sampleWeight / 10);
}

} // namespace azurewell
