#include "azurewell/fleet/keeper_views.h"

#include "azurewell/routing/rendezvous.h"

#include <string>

namespace azurewell {

namespace {

bool isSteady(const KeeperViews &views, const HostId &host, const PeerPromise &promise)
{
    const auto before = views.lastComplete.find(host);
    if (before == views.lastComplete.end())
        return promise.epoch == 1; // it has had no other view in its life
    if (before->second.incarnation == promise.incarnation)
        return promise.epoch - before->second.epoch <= 1;
    return promise.epoch == 1 && promise.isContinued;
}

} // namespace

std::uint64_t viewNumber(std::span<const HostId> hosts)
{
    std::string text;
    for (const HostId &host : hosts)
        text += host.value + '\n';
    const std::uint64_t hash = stableHash(text) >> 1; // positive in the signed integer of a message
    return hash == 0 ? 1 : hash;
}

bool adoptView(KeeperViews &views, const std::vector<HostId> &candidate, Instant now)
{
    const bool isSame = views.view != 0 && views.adopted == candidate;
    if (isSame || now < views.promisedUntil)
        return false;
    views.adopted = candidate;
    views.view = viewNumber(candidate);
    ++views.epoch;
    return true;
}

void notePromise(KeeperViews &views, const HostId &host, Incarnation incarnation,
                 std::uint64_t view, std::uint32_t epoch, Instant until, Instant now)
{
    PeerPromise &promise = views.promises[host];
    if (incarnation < promise.incarnation)
        return;
    if (incarnation > promise.incarnation) {
        const bool isContinued = now <= promise.until && promise.view == views.view
                && isSteady(views, host, promise);
        promise = PeerPromise{};
        promise.incarnation = incarnation;
        promise.isContinued = isContinued;
    }
    if (view == 0 || epoch < promise.epoch)
        return; // a late message must not shorten what a newer one said
    if (epoch > promise.epoch || view != promise.view)
        promise.until = Instant{};
    promise.view = view;
    promise.epoch = epoch;
    promise.until = std::max(promise.until, until);
}

bool isPromisedByAll(const KeeperViews &views, std::span<const HostId> required, Instant until)
{
    if (views.view == 0)
        return false;
    for (const HostId &host : required) {
        const auto promise = views.promises.find(host);
        const bool isPromised = promise != views.promises.end()
                && promise->second.view == views.view && promise->second.until >= until;
        if (!isPromised)
            return false;
    }
    return true;
}

bool noteComplete(KeeperViews &views, std::span<const HostId> required)
{
    bool areSteady = views.lastCompleteEpoch != 0 && views.epoch - views.lastCompleteEpoch <= 1;
    for (const HostId &host : required)
        areSteady = areSteady && isSteady(views, host, views.promises.at(host));
    for (const HostId &host : required)
        views.lastComplete[host] = views.promises.at(host);
    views.lastCompleteEpoch = views.epoch;
    return areSteady;
}

} // namespace azurewell
