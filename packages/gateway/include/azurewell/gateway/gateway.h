#pragma once

#include "azurewell/charts/known_charts.h"
#include "azurewell/gateway/adapter_uses.h"
#include "azurewell/gateway/caller_stage.h"
#include "azurewell/gateway/choose_upstream.h"
#include "azurewell/gateway/crash_quarantine.h"
#include "azurewell/gateway/customer_meter.h"
#include "azurewell/gateway/events.h"
#include "azurewell/gateway/item_parts.h"
#include "azurewell/gateway/load_queue.h"
#include "azurewell/gateway/load_times.h"
#include "azurewell/gateway/order_rights.h"
#include "azurewell/gateway/permit_pacer.h"
#include "azurewell/gateway/platform_reader.h"
#include "azurewell/gateway/prefill_rate.h"
#include "azurewell/gateway/prompt_pacing.h"
#include "azurewell/gateway/published.h"
#include "azurewell/gateway/stream_origins.h"
#include "azurewell/gateway/upstream_path.h"
#include "azurewell/gateway/warmup.h"
#include "azurewell/gateway/zone_evacuation.h"
#include "azurewell/gateway/zone_relay.h"
#include "azurewell/placement/engine_adapters.h"
#include "azurewell/routing/retry_budget.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace azurewell::gateway {

/// Identity of this host and the settings that its process was started with.
struct Identity
{
    HostId id;
    ZoneId zone;
    Endpoint address; ///< Where other hosts send messages to.
    Incarnation incarnation;
    bool isFirstStart = false; ///< Whether the whole system starts for the first time.
    std::uint64_t randomSeed = 0;
    MeterLimits meterLimits;
    Span stopGrace{}; ///< Time from the stop request until the process is killed.
    Span propagationTimeout = std::chrono::seconds(2); ///< Propagation limit of confirmed changes.
    Span orderLease = std::chrono::seconds(3);         ///< Orders of two hosts to one engine closer
                                                       ///< together are a conflict.
    Span evacuationTimeout{}; ///< An evacuated zone gets no requests this long after confirmation.
    WarmupBound warmupBound;
    std::uint32_t linkMbps = 0;  ///< Bandwidth of this machine's link; 0: unknown.
    std::vector<Endpoint> seeds; ///< Hosts that may know other hosts; may be stale.
};

enum class RequestPhase : std::uint8_t {
    Waiting, ///< For an adapter load or for prompt admission.
    AtUpstream,
    AtPeer, ///< Forwarded to another host.
};

/// State of the admission request that was sent to the engine's coordinator.
enum class PromptAdmissionState : std::uint8_t {
    NotRequested,
    AwaitingAnswer,
    Queued, ///< At the coordinator; a further answer follows.
    Answered,
    Unservable, ///< No engine that was asked can read the prompt in time.
};

/// The admission of a prompt at an engine.
struct EngineAdmission
{
    PromptAdmissionState state = PromptAdmissionState::NotRequested;
    UpstreamId engine;
    HostId coordinator;    ///< The host that was asked.
    Instant at;            ///< When the prompt may be sent; before the final answer: if none comes.
    Instant expectedAt;    ///< When the prompt is expected to be sent, by the last answer.
    bool isPermit = false; ///< It counts against the rate limit of the upstream.
};

/// An admission that was requested from \a coordinator and is not used.
struct ReturnedAdmission
{
    HostId coordinator;
    AdmissionRequest request;
};

enum class OriginStep : std::uint8_t { NotBegun, Asking, Known };

/// The search for the software version that began a stream which a caller takes up again.
struct OriginSearch
{
    OriginStep step = OriginStep::NotBegun;
    SoftwareVersion version;     ///< Once it is known.
    bool isLoneVersion = false;  ///< The service has had no other version.
    bool isOtherService = false; ///< A service began it that its route no longer names.
    Instant givesUpAt;
    Instant nextQuestionAt;
    std::size_t rounds = 0; ///< Number of times that other hosts were asked.
};

/// A caller's request while this host processes it.
struct RequestRecord
{
    RequestArrived arrivedRequest;
    CustomerId customer;
    RequestDigest digest;
    std::vector<RequestDigest> partDigests; ///< Of the parts of its prompt, without the last.
    ServiceId service;
    std::optional<Priority>
            priority; ///< Empty: the configuration ranks no requests of the service.
    Span maxPause{};  ///< Longest pause between events; 0: not stated.
    RepeatPolicy repeat = RepeatPolicy::NonIdempotent;
    bool isResumable = false;
    std::uint32_t maxAttempts = 1;
    Instant arrivedAt;
    Instant deadline; ///< The caller gets a final answer by this time.
    Instant wantedBy; ///< The objective of its route.
    RequestPhase phase = RequestPhase::Waiting;
    Instant placementDeadline; ///< The request is refused if it is still waiting then.
    UpstreamId upstream;
    Instant sentAt;
    bool isEngineIdle = false; ///< Few other prompts were queued when the request was sent.
    std::uint32_t attempt = 0;
    std::uint32_t possibleRuns = 0; ///< Number of attempts after which the request may have run.
    std::set<UpstreamId> excluded;
    HostId peer;                    ///< The host that it was last forwarded to.
    std::set<HostId> excludedPeers; ///< Hosts that could not serve it.
    bool hasAnswerStarted = false;
    Instant answerStartedAt;
    bool isEarlyAttempt = false; ///< Sent before a report shows that its adapter is loaded.
    OriginSearch originSearch;   ///< Of a stream that is taken up again.
    SoftwareVersion sentVersion; ///< Of the upstream that it was last sent to.
    EngineAdmission admission;   ///< Of the engine that was asked last.
    std::optional<EngineAdmission> firstAdmission; ///< Set while a second engine is asked.
    Span permitWait{}; ///< Shortest wait for a permit that came too late; 0: none did.
    std::uint32_t unservableAnswers = 0; ///< Engines that can't read the prompt in time.
    Span unservableWait{};               ///< Shortest wait that they estimated.
    bool isReadAwaited = false;          ///< Sent as admitted, and no first event was reported yet.
};

/// A load that requests of this host wait for.
struct AwaitedLoad
{
    UpstreamId engine;
    Instant resendAt;      ///< When the load request is sent again, as messages may be lost.
    Instant otherEngineAt; ///< When another engine is asked instead.
    std::set<UpstreamId> refusedBy;
};

/// State of an engine that is needed to order loads and unloads.
struct OrderedEngine
{
    OrderRights rights;
    EngineAdapters adapters; ///< Maintained while this host coordinates the engine.
    std::int64_t start = 0;  ///< The engine start that `adapters` belongs to.
    std::map<AdapterRef, Instant> unloadedAt; ///< Unload orders that no report confirms yet.
    /// The engine's order count after this host's last order for an adapter; without those that
    /// reports show.
    std::map<AdapterRef, std::uint64_t> orderCounts;
    PermitPacer permits;
    PermitPacer burstPermits; ///< Bounds the requests within a second; see warmup.h.
    PermitPacer ownShare;     ///< Requests of this host while the coordinator does not answer.
    std::map<AdapterRef, Instant> awaitedUntil; ///< Kept for waiting requests until this time.
    RemoteUses remoteUses; ///< Adapters that other hosts use at this engine; they are not evicted.
    LoadQueue wanted;      ///< Loads to order.
    std::deque<AdapterRef> adaptersInHostMemory; ///< Newest first; the engine loads these faster.
    std::optional<ModelName> pendingOrder;       ///< An order that the engine has not answered yet.
    bool isReportPending = false;
    Instant reportRequestedAt;
    Instant nextReportAt;
    Instant nextBaseOrderAt; ///< When the base model is ordered again if it is still missing.
    std::map<HostId, Instant>
            requestingHosts; ///< Hosts of other zones awaiting loads, with expiry.
};

/// Caches the coordinator of each engine until the set of live hosts changes. Ranking 86 hosts for
/// 90 engines on each tick and each message took a tenth of a core.
struct CoordinatorCache
{
    struct Entry
    {
        std::uint64_t generation = 0; ///< Members' generation when it was computed.
        ZoneId zone;                  ///< Zone of the engine when it was computed.
        HostId coordinator;
    };
    std::map<UpstreamId, Entry> entries;
};

/// Published changes that other hosts have and this host does not.
struct ChangesLag
{
    StorePosition latest; ///< Newest position that another host has.
    Instant since;        ///< When this host was first known to lag behind.
};

/// Counts of what hosts know and ask about who began streams.
struct OriginCounters
{
    std::uint64_t recorded = 0;        ///< Streams that began here.
    std::uint64_t sent = 0;            ///< Records sent to other hosts.
    std::uint64_t questions = 0;       ///< Questions sent to other hosts.
    std::uint64_t answersGiven = 0;    ///< To questions of other hosts.
    std::uint64_t answersTaken = 0;    ///< Resumptions whose origin another host knew.
    std::uint64_t ownAnswers = 0;      ///< Resumptions whose origin this host knew.
    std::uint64_t unknown = 0;         ///< Resumptions refused as nobody knew it.
    std::uint64_t versionsGone = 0;    ///< Resumptions refused as no server of the version is left.
    std::uint64_t changedVersions = 0; ///< Attempts given up as their server has another version.
};

/// Event counts since the start of the process; published as metrics.
struct Counters
{
    std::map<ResultCode, std::uint64_t> refusals;
    std::map<ResultCode, std::uint64_t> retries; ///< By the result of the previous attempt.
    std::uint64_t requests = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t answered = 0;
    std::uint64_t unreadableParts
            = 0; ///< Requests that state their prompt's parts in another form.
    std::map<CallerStage, std::uint64_t> callersLeft; ///< Before their answers were complete.
    std::uint64_t loadsOrdered = 0;
    std::uint64_t unloadsOrdered = 0;
    std::uint64_t baseLoadsOrdered = 0;
    std::map<OrderingEnd, std::uint64_t> orderingEnds;
    std::map<OrderOutcome, std::uint64_t> orderOutcomes;
    OriginCounters origins;
    PacingCounters pacing;
    SentCounts sent;               ///< Messages to other hosts.
    std::uint64_t enginePolls = 0; ///< How often engines were polled for due work.
    std::uint64_t gossipReceived = 0;
    std::uint64_t leavingStated = 0;     ///< Upstreams that stated in an answer that they leave.
    std::uint64_t ignoredLoadValues = 0; ///< Stated by upstreams or sent by coordinators.
    std::uint64_t pausesStated = 0;      ///< Rejections that asked for a pause.
    std::uint64_t forwarded = 0;         ///< To other hosts.
    std::uint64_t forwardsReceived = 0;  ///< From other hosts.
    std::uint64_t probes = 0;      ///< Connections that were opened to probe paths to upstreams.
    std::uint64_t crashChecks = 0; ///< To check whether an upstream that cut off a request runs.
};

/// The whole state of one host. It is kept in memory only and can be lost safely.
struct GatewayState
{
    Identity self;
    KnownCharts charts;
    std::mt19937_64 random;
    Instant startedAt;
    Instant stopAskedAt;       ///< Zero: no stop was requested.
    bool isOverloaded = false; ///< This host turns callers away, as it has no time for them.

    Configuration configuration;
    DeclaredVersions versions;
    UpstreamMap upstreams;
    ZoneEvacuations evacuations;
    PublishedState published;
    PartialItems partialItems;
    PackedItem packedItem;                ///< The last item that was sent in parts.
    std::vector<PublishedItem> undecoded; ///< From other hosts; the platform adapter decodes them.
    Members members;
    CoordinatorCache coordinators;
    std::set<UpstreamId> recentUpstreams; ///< Upstreams that recently got prompts from this host.
    std::set<UpstreamId>
            enginesWithNewPrompts; ///< Engines with prompts that were not yet sent as updates.
    Instant nextChangesRequestAt;
    Instant nextHeldRequestAt;
    PlatformReader platformReader;
    PlatformView platform = PlatformView::NotRead;
    Instant platformFailedAt; ///< Time of the platform's last failure; zero: none.
    Instant platformViewAt; ///< This host has all that the platform confirmed before; zero: never.
    ChangesLag changesLag;

    std::map<CustomerId, CustomerMeter> meters;
    std::map<ServiceId, RetryBudget> retryBudgets;
    CrashQuarantine quarantine;
    std::set<UpstreamId> limitsToSend;
    std::set<UpstreamId> leavingUpstreams; ///< Stated that they leave; the list may not know.
    std::map<ServiceId, UpstreamPath> paths;

    std::unordered_map<RequestNumber, RequestRecord> requests;
    std::set<RequestNumber> waiting; ///< Requests in RequestPhase::Waiting.
    std::map<ModelName, AwaitedLoad> awaitedLoads;
    LastEngines lastEngines;
    std::map<ServiceId, PrefillRate> prefillRates;
    std::map<ServiceId, DecayedSamples> answerTimes; ///< Logarithms of seconds, of plain services.
    std::map<std::string, LoadTimes> loadTimes;      ///< Load times of adapters, by base model.
    std::map<UpstreamId, OrderedEngine> engines;
    DeadlineQueue<UpstreamId> enginePolls;    ///< Next time at which each engine is polled.
    std::uint64_t enginePollsGeneration = 0;  ///< Generation of the members when last polled.
    std::set<UpstreamId> ownEngines;          ///< Engines for which this host ranks first.
    std::map<UpstreamId, PromptPacer> pacers; ///< Of engines whose prompts this host admits.
    std::set<UpstreamId> enginesToAdmit;      ///< Their queued prompts may have room.
    std::vector<ReturnedAdmission> returnedAdmissions; ///< Not sent to their coordinators yet.
    std::vector<PromptRead> promptsRead;               ///< Likewise.
    std::set<UpstreamId> changedEngines; ///< Engines whose changes have to be sent to other hosts.
    std::set<UpstreamId> earlyAttemptEngines; ///< Engines with requests that were sent before a
                                              ///< report shows the load as done.
    DeadlineQueue<RequestNumber> requestDeadlines;
    OwnUses ownUses;                           ///< Adapters in use by requests of this host.
    std::set<UpstreamId> enginesWithEndedUses; ///< Their coordinators still count an adapter as in
                                               ///< use.
    std::map<ModelName, DecayedSum>
            adapterDemand; ///< Prompt tokens that callers of this host sent, by adapter.

    HostId lastMemberSent; ///< Members are sent in rotation; this is the last one of the previous
                           ///< message.
    Instant nextTidyAt;
    Instant nextRemovalCheckAt;
    Instant nextSlowdownsAt; ///< When changed slowdowns of own engines may be sent again.
    Instant nextUsesAt;      ///< Next update on customers near their limit, in a large fleet.
    ZoneRelay relay;
    Instant nextFullUpdateAt;              ///< When the full state is next sent to the other zones.
    std::map<CustomerId, double> sentUses; ///< Admitted tokens as last sent to a relay.
    Instant nextSeedsAt;

    StreamOrigins origins;
    std::map<ServiceId, ServiceVersions> serviceVersions;
    std::map<ServiceId, std::set<SoftwareVersion>> heldVersions; ///< Where no streams begin now.
    Instant nextVersionCheckAt;
    Instant mixedToldAt;           ///< When this host last told all others that versions are mixed.
    Instant nextTellAt;            ///< When it tells those again that have not said that they know.
    std::size_t knownWhenLost = 0; ///< Hosts known when this one lost most of them; 0: it has not.
    Counters counters;
};

void start(GatewayState &state, const Identity &self, KnownCharts charts, Instant now);

/// Handle one event of the shell.
void handle(GatewayState &state, const RequestArrived &event, Instant now, Actions &actions);
void handle(GatewayState &state, const CallerDisconnected &event, Instant now, Actions &actions);
void handle(GatewayState &state, const AnswerBegan &event, Instant now, Actions &actions);
void handle(GatewayState &state, const AttemptEnded &event, Instant now, Actions &actions);
void handle(GatewayState &state, const ForwardEnded &event, Instant now, Actions &actions);
void handle(GatewayState &state, const LoadStated &event, Instant now);
void handle(GatewayState &state, const LimitStated &event, Instant now, Actions &actions);
void handle(GatewayState &state, const LeavingStated &event, Instant now, Actions &actions);
void handle(GatewayState &state, const PauseStated &event, Instant now, Actions &actions);
void handle(GatewayState &state, const ReportRead &event, Instant now, Actions &actions);
void handle(GatewayState &state, const ProbeEnded &event, Instant now, Actions &actions);
void handle(GatewayState &state, const OrderEnded &event, Instant now, Actions &actions);
void handle(GatewayState &state, const Gossip &message, Instant now, Actions &actions);
void tick(GatewayState &state, Instant now, Actions &actions);

/// Apply decoded state that the platform publishes.
void setConfiguration(GatewayState &state, Configuration configuration);
void listUpstream(GatewayState &state, const ListedUpstream &listed, Instant now);
void removeUpstream(GatewayState &state, const UpstreamId &id, Instant now);
void declareVersion(GatewayState &state, const ModelName &adapter, std::uint64_t version);
void recordPlatformFailure(GatewayState &state, Instant now);

/// Records that this host has read all that the platform had confirmed at \a viewAt. To be called
/// after what was read has been applied.
void recordPlatformView(GatewayState &state, Instant viewAt);

/// Records that the platform answered this host. \a isNew: the answer contains changes, which are
/// sent to the zone without delay.
void recordPlatformAnswer(GatewayState &state, bool isNew, Instant now);

/// Whether this host should read published state from the platform. In a large fleet a few hosts of
/// each zone read it and send updates to the others: 86 hosts that all watched made 100 calls a
/// second, each of which is paid for. Where the platform rejects those hosts, the next ones in rank
/// read.
bool readsPlatform(GatewayState &state, Instant now);

/// Handles the request to stop the process: notifies the other hosts and gives no further orders.
void beginStop(GatewayState &state, Instant now, Actions &actions);

/// Ends all requests as the process is about to end, so that each gets an answer: one that was sent
/// may have run, the others have not.
void endAllRequests(GatewayState &state, Actions &actions);

bool isStopping(const GatewayState &state);

/// Whether this host can serve requests: it has a configuration and is not stopping.
bool isReady(const GatewayState &state);

/// Interval between calls of tick(). Short compared with the 250 ms of an adapter load.
inline constexpr Span tickInterval = std::chrono::milliseconds(20);

} // namespace azurewell::gateway
