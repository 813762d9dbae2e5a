#include "azurewell/gateway/zone_relay.h"

#include "azurewell/routing/rendezvous.h"

#include <algorithm>

namespace azurewell::gateway {

namespace {

constexpr std::string_view relayKey = "relays of a zone";

/// Approximate size of one message; a link of 20 Mbit/s takes 5 ms for it.
constexpr std::size_t maxUpdateBytes = 12'000;

/// Approximate sizes on the wire; names of hosts, engines and adapters have some 16 bytes.
constexpr std::size_t originBytes = 32;
constexpr std::size_t useBytes = 40;
constexpr std::size_t engineBytes = 80;
constexpr std::size_t adapterBytes = 24;
constexpr std::size_t crashBytes = 40;
constexpr std::size_t limitBytes = 40;

std::size_t sizeOf(const RelayedUpdate &update)
{
    std::size_t bytes = originBytes + update.uses.size() * useBytes
            + update.crashes.size() * crashBytes + update.limits.size() * limitBytes;
    for (const EngineUpdate &engine : update.engines) {
        bytes += engineBytes
                + (engine.state.ready.size() + engine.state.loading.size()) * adapterBytes;
    }
    return bytes;
}

/// Whether a relay request to \a member has timed out without a message from it.
bool isUnanswered(const Member &member, Instant now)
{
    return member.relayRequestedAt.micros != 0 && member.lastMessageAt <= member.relayRequestedAt
            && now - member.relayRequestedAt >= relayAnswerTimeout;
}

std::uint64_t rankOf(const Member &member)
{
    return rendezvousMix(stableHash(relayKey), member.idHash);
}

/// Hosts with a faster link come first: a relay sends the updates of a whole zone to each of its
/// hosts.
bool isPreferred(const Member *a, const Member *b)
{
    return a->linkMbps != b->linkMbps ? a->linkMbps > b->linkMbps : rankOf(*a) > rankOf(*b);
}

void recordRelayRequest(Member &member, Instant now)
{
    if (member.relayRequestedAt.micros == 0 || member.lastMessageAt > member.relayRequestedAt)
        member.relayRequestedAt = now;
}

} // namespace

void mergeUpdate(std::map<HostId, RelayedUpdate> &collected, const RelayedUpdate &update)
{
    RelayedUpdate &known = collected[update.origin];
    if (known.incarnation != update.incarnation)
        known = { update.origin, update.incarnation, {}, {}, {}, {} };
    for (const CustomerUse &use : update.uses) {
        std::erase_if(known.uses,
                      [&](const CustomerUse &one) { return one.customer == use.customer; });
        known.uses.push_back(use);
    }
    for (const EngineUpdate &engine : update.engines) {
        std::erase_if(known.engines,
                      [&](const EngineUpdate &one) { return one.engine == engine.engine; });
        known.engines.push_back(engine);
    }
    for (const UpstreamLimit &limit : update.limits) {
        std::erase_if(known.limits,
                      [&](const UpstreamLimit &one) { return one.upstream == limit.upstream; });
        known.limits.push_back(limit);
    }
    known.crashes.insert(known.crashes.end(), update.crashes.begin(), update.crashes.end());
}

std::vector<std::vector<RelayedUpdate>> splitUpdates(
        const std::map<HostId, RelayedUpdate> &collected)
{
    std::vector<std::vector<RelayedUpdate>> parts;
    std::size_t bytes = 0;
    for (const auto &[origin, update] : collected) {
        const std::size_t size = sizeOf(update);
        if (parts.empty() || bytes + size > maxUpdateBytes) {
            parts.emplace_back();
            bytes = 0;
        }
        parts.back().push_back(update);
        bytes += size;
    }
    return parts;
}

const Member *selectRelay(Members &members, const ZoneId &zone, Instant now)
{
    std::vector<Member *> candidates;
    for (auto &[id, member] : members.others) {
        if (member.zone == zone && isAlive(members, id, now) && !isUnanswered(member, now))
            candidates.push_back(&member);
    }
    if (candidates.empty())
        return nullptr;
    const std::size_t relays = std::min(relaysPerZone, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(relays),
                      candidates.end(), isPreferred);
    Member *relay = candidates[stableHash(members.self.value) % relays];
    recordRelayRequest(*relay, now);
    return relay;
}

} // namespace azurewell::gateway
