#pragma once

#include "azurewell/gateway/crash_quarantine.h"
#include "azurewell/gateway/members.h"
#include "azurewell/gateway/store_position.h"
#include "azurewell/gateway/stream_origins.h"
#include "azurewell/gateway/upstreams.h"
#include "azurewell/units/priority.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurewell::gateway {

/// Tokens that the sender admitted for a customer.
struct CustomerUse
{
    CustomerId customer;
    double admitted = 0; ///< Tokens since the sender's start.
    double inWindow = 0; ///< Of these, the tokens within the window of the limits.
};

/// The state of an engine that the sender coordinates.
struct EngineUpdate
{
    UpstreamId engine;
    EngineState state;       ///< `seenAt` is in the receiver's time, from the age in the message.
    bool isOrdering = false; ///< The sender may order at the engine.
    std::uint32_t tokensPerSecond = 0;         ///< Prompt tokens that it reads; 0: not known.
    std::optional<std::uint32_t> openPlaces{}; ///< Adapters that could be loaded now.
    std::uint32_t unreadTokens = 0;            ///< Granted to hosts and not read yet.
    double slowdown = 0; ///< How long work takes now, relative to the usual; 0: not known.
};

/// The sender's requests that use an adapter at an engine.
struct AdapterUse
{
    UpstreamId engine;
    ModelName adapter;
    bool isRunning = false;  ///< Requests are running: the adapter must not be evicted.
    std::uint32_t begun = 0; ///< Requests started since the last update.
};

/// Prompt tokens that the sender recently sent to an engine, decayed over promptDecayTime.
struct PromptWork
{
    UpstreamId engine;
    double tokens = 0;
};

/// Requests a prompt admission from the coordinator of an engine (see prompt_pacing.h).
struct AdmissionRequest
{
    UpstreamId engine;
    ModelName adapter;
    std::uint64_t request = 0; ///< Request number at the requesting host.
    double tokens = 0;
    bool isReturned = false; ///< Returns an admission that is not used.
    double limit = 0; ///< Rate limit stated by the upstream, in requests per second; 0: none.
    CustomerId customer{};
    std::optional<Priority> priority{}; ///< Empty: the configuration states none.
    Span objectiveLeft{}; ///< Time until the objective of the request's route; 0: none or past.
    Span maxPause{};      ///< Longest pause between events that the route allows; 0: not stated.
    /// The sender reports the first event. The first byte of an answer that is no stream comes when
    /// all of it is generated, and says nothing about when the prompt was read.
    bool isReported = false;
};

struct AdmissionReply
{
    std::uint64_t request = 0;
    Span wait{};
    bool isCopyWanted = false;
    bool isPermit = false;
    bool isQueued = false;     ///< The prompt waits at the sender; a further reply follows.
    bool isUnservable = false; ///< The engine cannot read the prompt in time.
    UpstreamId engine{};       ///< Empty: from a host that does not state it.
};

/// Reports the first event of the answer to an admitted prompt, or the end of its attempt, to the
/// coordinator of the engine.
struct PromptRead
{
    UpstreamId engine;
    std::uint64_t request = 0; ///< Request number at the sender.
    Span elapsed{};            ///< Since the prompt was sent to the engine.
    bool isFailed = false;     ///< The attempt ended without a first event.
    double slowdown = 0;       ///< As the engine last stated it; 0: not stated.
};

/// The rate limit that an upstream states for the requests of all hosts together.
struct UpstreamLimit
{
    UpstreamId upstream;
    std::int64_t start = 0;
    double perSecond = 0; ///< Requests per second; 0: the upstream no longer states a limit.
    Instant at;           ///< Time of the answer that stated it.
};

/// Requests that the coordinator of an engine load an adapter there.
struct LoadRequest
{
    UpstreamId engine;
    ModelName adapter;
};

/// The reply to a LoadRequest that is refused.
struct LoadRefusal
{
    UpstreamId engine;
    ModelName adapter;
    bool isStoreBusy = false; ///< The weight store is busy: another engine would not be faster.
};

/// A member known to the sender.
struct MemberUpdate
{
    HostId id;
    ZoneId zone;
    Endpoint address;
    Incarnation incarnation;
    Span silentFor{};
};

/// A value published by the platform, as bytes. Hosts that the platform rejects receive it from
/// other hosts.
struct PublishedItem
{
    std::string key;
    StorePosition position;
    bool isDeleted = false;
    std::string value;
};

/// Changes of published items in the order of their revisions. Contains every change after
/// `after` up to and including `upTo`.
struct PublishedChanges
{
    StorePosition after;
    StorePosition upTo;
    std::vector<PublishedItem> items;
    /// The items are of an earlier era than `upTo`, and the sender holds them (see published.h).
    bool isHeld = false;
};

/// A part of an item that is too large for one message.
struct ItemPart
{
    StorePosition after; ///< As in PublishedChanges; the item is the only one.
    StorePosition upTo;
    std::string key;
    StorePosition position;
    std::size_t offset = 0;
    std::size_t size = 0; ///< Size of the whole packed value in bytes.
    std::string bytes;
    bool isHeld = false; ///< As in PublishedChanges.
};

/// To whom the receiver of a message relays its updates.
enum class RelayScope : std::uint8_t {
    None,
    Zone,  ///< The hosts of its own zone.
    Fleet, ///< The hosts of all zones.
};

/// Updates of a host that another host relays.
struct RelayedUpdate
{
    HostId origin;
    Incarnation incarnation;
    std::vector<CustomerUse> uses;
    std::vector<EngineUpdate> engines;
    std::vector<CrashSuspicion> crashes;
    std::vector<UpstreamLimit> limits;
};

/// A record of which software began a stream, or the answer to a question for it.
struct StreamOriginUpdate
{
    StreamKey key;
    StreamOrigin origin; ///< `until` is in the receiver's time, from the span in the message.
};

/// Asks which software began a stream that a caller takes up again.
struct OriginQuestion
{
    StreamKey key;
    ServiceId service;
    std::uint64_t request = 0; ///< Request number at the asking host.
};

struct OriginAnswer
{
    StreamOriginUpdate update;
    std::uint64_t request = 0;
    /// There is no record, but the service had this version only for longer than streams last.
    bool isLoneVersion = false;
};

/// A service whose upstreams have, or recently had, several software versions.
struct MixedService
{
    ServiceId service;
    Instant mixedAt; ///< When this was last so.
};

/// One message between hosts. Each list may be empty.
struct Gossip
{
    HostId from;
    ZoneId zone;
    Endpoint address;
    Incarnation incarnation;
    Span runningFor{}; ///< Time since the sender's process started.
    bool isLeaving = false;
    bool isOverloaded = false; ///< The sender turns callers away.
    PlatformView platform = PlatformView::NotRead;
    StorePosition position;       ///< The sender knows all published changes up to here.
    StorePosition newestChange;   ///< Position of the newest item known to the sender.
    bool wantsChanges = false;    ///< Requests the changes after `position` from the receiver.
    bool holdsItems = false;      ///< The sender holds items of an earlier era of the store.
    bool wantsHeld = false;       ///< Requests these items from the receiver.
    std::optional<Span> heardAgo; ///< Since the sender last received a message of the receiver;
                                  ///< stated in heartbeats.
    std::uint32_t linkMbps = 0;   ///< Link speed of the sender in Mbit/s; 0: unknown.
    RelayScope relayTo = RelayScope::None;
    std::vector<RelayedUpdate> relayed;
    std::vector<MemberUpdate> members;
    std::vector<CustomerUse> uses;
    std::vector<EngineUpdate> engines;
    std::vector<AdapterUse> adapterUses;
    std::vector<PromptWork> promptWork;
    std::vector<AdmissionRequest> admissionRequests;
    std::vector<AdmissionReply> admissionReplies;
    std::vector<PromptRead> promptsRead;
    std::vector<LoadRequest> loadRequests;
    std::vector<LoadRefusal> loadRefusals;
    std::vector<PublishedChanges> changes; ///< At most one.
    std::vector<ItemPart> itemParts;       ///< At most one.
    std::vector<CrashSuspicion> crashes;
    std::vector<UpstreamLimit> limits;
    /// Upstreams that have stated in an answer that they leave.
    std::vector<UpstreamIncarnation> leavingUpstreams;
    std::set<ServiceId> unreachableServices; ///< The sender reaches none of their upstreams.
    std::vector<MixedService> mixedServices;
    std::vector<StreamOriginUpdate> origins;
    std::vector<OriginQuestion> originQuestions;
    std::vector<OriginAnswer> originAnswers;
};

} // namespace azurewell::gateway
