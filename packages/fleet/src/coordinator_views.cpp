#include "azurewell/fleet/coordinator_views.h"

#include "azurewell/routing/rendezvous.h"

#include <string>

namespace azurewell {

namespace {

bool isSteady(const CoordinatorViews &views, const HostId &host, const PeerPromise &promise)
{
    const auto before = views.lastCompletePromises.find(host);
    if (before == views.lastCompletePromises.end())
        return promise.epoch == 1; // it has adopted no other view in this incarnation
    if (before->second.incarnation == promise.incarnation)
        return promise.epoch - before->second.epoch <= 1;
    return promise.epoch == 1 && promise.isContinuous;
}

} // namespace

std::uint64_t viewNumber(std::span<const HostId> hosts)
{
    std::string text;
    for (const HostId &host : hosts)
        text += host.value + '\n';
    // positive in the signed 64-bit field of the message
    const std::uint64_t hash = stableHash(text) >> 1;
    return hash == 0 ? 1 : hash;
}

bool adoptView(CoordinatorViews &views, const std::vector<HostId> &candidate, Instant now)
{
    const bool isSame = views.view != 0 && views.adoptedHosts == candidate;
    if (isSame || now < views.promisedUntil)
        return false;
    views.adoptedHosts = candidate;
    views.view = viewNumber(candidate);
    ++views.epoch;
    return true;
}

void recordPromise(CoordinatorViews &views, const HostId &host, Incarnation incarnation,
                   std::uint64_t view, std::uint32_t epoch, Instant until, Instant now)
{
    PeerPromise &promise = views.promises[host];
    if (incarnation < promise.incarnation)
        return;
    if (incarnation > promise.incarnation) {
        const bool isContinuous = now <= promise.until && promise.view == views.view
                && isSteady(views, host, promise);
        promise = PeerPromise{};
        promise.incarnation = incarnation;
        promise.isContinuous = isContinuous;
    }
    if (view == 0 || epoch < promise.epoch)
        return; // a delayed message must not shorten a newer promise
    if (epoch > promise.epoch || view != promise.view)
        promise.until = Instant{};
    promise.view = view;
    promise.epoch = epoch;
    promise.until = std::max(promise.until, until);
}

bool isPromisedByAll(const CoordinatorViews &views, std::span<const HostId> required, Instant until)
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

bool recordAllPromises(CoordinatorViews &views, std::span<const HostId> required)
{
    bool areSteady = views.lastCompleteEpoch != 0 && views.epoch - views.lastCompleteEpoch <= 1;
    for (const HostId &host : required)
        areSteady = areSteady && isSteady(views, host, views.promises.at(host));
    for (const HostId &host : required)
        views.lastCompletePromises[host] = views.promises.at(host);
    views.lastCompleteEpoch = views.epoch;
    return areSteady;
}

} // namespace azurewell
