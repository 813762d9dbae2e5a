#include "azurewell/routing/upstream_table.h"

#include "azurewell/routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace azurewell {

namespace {

/// Points of each upstream on a ring: with 8 the fullest of 400 upstreams owns about twice its
/// part.
constexpr std::uint64_t ringPoints = 8;
/// How long an adapter is expected where a request for it went: a heartbeat and a load.
constexpr Span expectedFor = fromSeconds(1.5);
constexpr double newWeight = 0.2;
/// An upstream that takes this many times its group's time for a token is slow. Batching alone
/// varies it by less than two.
constexpr double slowRatio = 3.0;
/// A slow upstream is tried again after twice this, and each time it is found slow after twice the
/// time before. Each try costs a caller a late answer.
constexpr Span firstProbe = fromSeconds(15);
constexpr std::uint32_t mostDoublings = 6;

void learn(double &mean, double value, double weight)
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
    const auto found = table.holders.find(adapter);
    if (found == table.holders.end())
        return;
    std::erase(found->second, index);
    if (found->second.empty())
        table.holders.erase(found);
}

void addHolder(UpstreamTable &table, const AdapterRef &adapter, std::uint32_t index)
{
    std::vector<std::uint32_t> &holders = table.holders[adapter];
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

bool isKnownThere(const UpstreamEntry &entry, const AdapterRef &adapter)
{
    return contains(entry.report.loaded, adapter) || contains(entry.report.wanted, adapter)
            || isExpected(entry, adapter);
}

/// Drops expectations that the report has confirmed or that are past.
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

void noteReport(UpstreamTable &table, const UpstreamId &id, EngineReport report, Instant now)
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
    entry.sentSince = 0;
    entry.missesSince = static_cast<std::int32_t>(entry.expected.size());
    const auto dropGone = [&](const AdapterRef &adapter) {
        if (!isKnownThere(entry, adapter))
            dropHolder(table, adapter, found->second);
    };
    std::for_each(old.loaded.begin(), old.loaded.end(), dropGone);
    std::for_each(old.wanted.begin(), old.wanted.end(), dropGone);
    for (const ExpectedAdapter &expected : oldExpected)
        dropGone(expected.adapter);
    for (const AdapterRef &adapter : entry.report.loaded)
        addHolder(table, adapter, found->second);
    for (const AdapterRef &adapter : entry.report.wanted)
        addHolder(table, adapter, found->second);
}

void noteSent(UpstreamTable &table, const UpstreamId &id, const AdapterRef &adapter, Instant now)
{
    const auto found = table.byId.find(id);
    if (found == table.byId.end())
        return;
    UpstreamEntry &entry = table.entries[found->second];
    ++entry.sentSince;
    ++entry.inFlight;
    if (isSlow(table.groups[entry.group], entry))
        entry.probeAfter = now + firstProbe * (1LL << entry.slowProbes);
    if (adapter.value.empty() || isKnownThere(entry, adapter))
        return;
    ++entry.missesSince;
    entry.expected.push_back(ExpectedAdapter{ adapter, now + expectedFor });
    addHolder(table, adapter, found->second);
}

void noteEnded(UpstreamTable &table, const UpstreamId &id)
{
    UpstreamEntry *entry = entryOf(table, id);
    if (!entry)
        return;
    --entry->sentSince;
    entry->inFlight -= entry->inFlight > 0 ? 1 : 0;
}

void notePace(UpstreamTable &table, const UpstreamId &id, Tokens tokens, Span took,
              std::optional<Span> held, Instant now)
{
    UpstreamEntry *entry = entryOf(table, id);
    if (!entry || tokens.count <= 0)
        return;
    const double pace = toSeconds(took) / static_cast<double>(tokens.count);
    UpstreamGroup &group = table.groups[entry->group];
    learn(entry->pace, pace, newWeight);
    // Quick downwards, slow upwards: the first seen may be the slow one.
    if (pace < group.pace)
        learn(group.pace, pace, 0.5);
    if (isSlow(group, *entry)) {
        // A group's pace is that of its healthy members.
        entry->slowProbes = std::min(entry->slowProbes + 1, mostDoublings);
        entry->probeAfter = now + firstProbe * (1LL << entry->slowProbes);
        return;
    }
    entry->slowProbes = 0;
    learn(group.pace, pace, newWeight / 10);
    if (held)
        learn(group.holdSeconds, toSeconds(*held), newWeight / 10);
}

} // namespace azurewell
