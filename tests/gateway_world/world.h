#pragma once

#include "azurewell/gateway/gateway.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace azurewell::gateway {

/// A violated invariant of the system, with the time at which it was detected.
struct Violation
{
    Instant at;
    std::string what;
};

/// Requests for one adapter.
struct AdapterRequests
{
    Instant firstAt;
    Instant lastAt;
    std::uint64_t started = 0; ///< That an engine began to run.
};

/// What happens to connections of a host that has lost its path to all engines.
enum class EngineCut : std::uint8_t {
    None,
    Hang,   ///< Nothing is answered and no connection opens.
    Refuse, ///< Connections are reset, and new ones are refused.
};

/// First tries of requests after a loss of paths to engines.
struct TryCounts
{
    std::uint64_t sent = 0;
    std::uint64_t served = 0;

    double servedShare() const
    {
        return this->sent == 0
                ? 0
                : static_cast<double>(this->served) / static_cast<double>(this->sent);
    }
};

/// A stream as its caller sees it, over all of its attempts.
struct FakeStream
{
    std::uint64_t attempts = 0;
    std::string begunBy;            ///< The attempt that brought the first event; empty: none yet.
    std::set<std::string> versions; ///< Of the servers that wrote the events the caller has.
    bool isBegunInTouch = false;    ///< Its first event came through a host that others reach.
    bool isDone = false;
};

/// Streams or resumptions at hosts in touch, by their first tries.
struct StreamTries
{
    std::uint64_t sent = 0;
    std::uint64_t gotEvents = 0;

    double share() const
    {
        return this->sent == 0
                ? 1
                : static_cast<double>(this->gotEvents) / static_cast<double>(this->sent);
    }
};

/// A request that runs at an engine.
struct FakeRun
{
    std::size_t host = 0;
    std::uint64_t hostIncarnation = 0;
    Dispatch sent;
};

/// A request as a caller sends it to a host.
struct FakeRequest
{
    ModelName model;
    Instant at;
    ContentDigest content;
    std::vector<PromptPartId> parts;    ///< Of its prompt, without the last.
    std::uint32_t sends = 1;            ///< Times sent so far, including this one.
    bool isAtCutHost = false;           ///< Its host has lost its path to the engines.
    std::optional<FakeRun> forwardedBy; ///< The run at the host that forwarded it.
    bool isCounted = false;             ///< It counts in triesAtCutHosts or triesAtOtherHosts.
    std::uint64_t stream = 0;           ///< Index of its stream; 0: it is none.
    std::uint64_t streamAttempt = 0;    ///< Which of the stream's attempts it is.
    StreamTries *streamTries = nullptr; ///< Where it counts, if it does.
};

/// Crashes that some hosts have seen of a request, and what they have sent of it since.
struct CrashRecord
{
    std::set<std::pair<UpstreamId, std::int64_t>> crashedEngines; ///< Engine id and start number.
    Instant thirdCrashAt;
    std::size_t runningAtThirdCrash = 0; ///< Runs at other engines at the third crash.
    std::size_t sentBeforeNews = 0; ///< Sends of hosts that cannot have heard of the third crash.
    /// Sends later than propagationTime after the third crash, by hosts that were neither paused
    /// nor partitioned for that long.
    std::uint64_t sentAfterThirdCrash = 0;
};

/// A request that crashes each engine that begins to run it (a query of death).
struct CrashingRequest
{
    CrashRecord byAll;
    std::map<bool, CrashRecord> bySide; ///< By whether the sending host was ever partitioned.
};

/// A part of prompts that crashes each engine that begins to answer a request with it. The requests
/// differ otherwise.
struct CrashingPart
{
    std::set<std::pair<UpstreamId, std::int64_t>> crashedEngines; ///< Engine id and start number.
    Instant fifthCrashAt;
    Instant lastCrashAt;
    /// Sends later than propagationTime after the fifth crash, by hosts that were neither paused
    /// nor partitioned for that long.
    std::uint64_t sentAfterFifthCrash = 0;
};

/// First tries of requests whose prompts share a first part with that of a crashing part.
struct SoundTries
{
    TryCounts before; ///< Until the crashing requests begin.
    TryCounts after;  ///< From twice propagationTime after the fifth crash, or the last if fewer.
};

/// A pause that an engine has asked a host for.
struct StatedPause
{
    Instant statedAt;
    Instant until;
    std::size_t arrivals = 0;    ///< Requests of the host during the pause.
    std::size_t maxArrivals = 0; ///< During any earlier pause.
};

/// A simulated engine with adapter slots, load times and delayed reports. It does not check fencing
/// numbers.
struct FakeEngine
{
    UpstreamId id;
    ZoneId zone;
    bool isUp = true;
    std::int64_t start = 1; ///< Milliseconds of the virtual clock.
    std::uint64_t ordersTaken = 0;
    bool hasBase = true;
    Instant baseReadyAt;
    /// Adapters that occupy a slot, with the end of their load; in the future while loading.
    std::map<ModelName, Instant> readyAt;
    std::set<ModelName> unused; ///< Loaded adapters that no request has used yet.
    std::map<ModelName, std::uint32_t> running;
    std::set<ModelName> pendingUnloads;   ///< Unloaded when their last request has ended.
    std::deque<ModelName> cachedAdapters; ///< In the memory of the engine's host, newest first.
    std::vector<FakeRun> runs;
    double limitPerSecond = 0; ///< Stated in its answers, requests a second; 0: none.
    Instant limitStatedAt;     ///< When the limit was first stated; 0: not yet.
    std::map<std::size_t, Instant> limitReceivedAt; ///< By host: when it first received the limit.
    std::vector<Instant> arrivalsUnderLimit; ///< Times of requests from hosts that must comply.
    bool isLeaving = false;                  ///< It says so in each answer.
    std::map<std::size_t, Instant> leavingToldAt; ///< By host: its first such answer.
    std::size_t room = 0;            ///< It rejects requests while this many run; 0: never.
    std::size_t maxRejections = 0;   ///< It crashes if it rejects more in a second; 0: never.
    std::vector<Instant> rejections; ///< Of the last second.
    Span pause{}; ///< It rejects each request and asks for this pause; 0: it does not.
    std::map<std::size_t, StatedPause> pauses; ///< By host.
    std::uint64_t runCount = 0;
    Instant coldUntil;                 ///< It bears few requests until then.
    std::vector<Instant> coldArrivals; ///< Times of requests that it ran while it was cold.
    HostId lastOrderedBy;
    Instant lastOrderAt;
    std::uint64_t highestFencing = 0;
    std::string softwareVersion;
    bool isDraining = false; ///< Its entry says that it leaves.
    bool isGone = false;     ///< It has left for good, and its entry is removed.
    /// Oldest first; reports return the state of WorldSettings::reportLag ago.
    std::vector<std::pair<Instant, EngineState>> stateHistory;
};

/// A simulated host.
struct FakeHost
{
    GatewayState state;
    bool isUp = true;
    Instant pausedUntil;
    Instant stableSince;
    std::uint64_t incarnation = 1;
    bool isUnheard = false; ///< Its messages reach no other host, though it receives theirs.
    bool wasPartitioned = false;
    std::size_t side = 0;     ///< Messages between hosts of different sides are lost.
    bool isStoreAway = false; ///< Entries of engines reach it only when this is over.
    std::deque<std::shared_ptr<const Gossip>> buffered; ///< Arrived while it was paused.
    Span maxLag{};     ///< Longest time for which it gets no processor; 0: it always does.
    Instant busyUntil; ///< Events that arrive until then are handled then.
};

struct WorldSettings
{
    std::uint64_t seed = 1;
    std::size_t hostsPerZone = 2;
    std::size_t enginesPerZone = 3;
    std::size_t zones = 3;
    Span callersStart = std::chrono::seconds(4);
    double requestsPerSecond = 40; ///< Deployments have 60 with 18 engines, and 30 with 9.
    double zipfExponent = 1.2;
    std::size_t adapters = 300;
    double tokenRate = 0;         ///< Tokens a second of the only customer; 0: no limit.
    std::size_t adapterSlots = 5; ///< Of each engine.
    Span loadTime = std::chrono::milliseconds(250);
    std::size_t fullSpeedLoads
            = 8;                ///< Concurrent loads at full speed; with more, each takes longer.
    std::size_t cacheSize = 30; ///< Adapters in the memory of an engine's host: loaded ten times
                                ///< as fast, and not from the weight store.
    Span reportLag = std::chrono::milliseconds(100);
    double messageLossRate = 0.01;  ///< Fraction of the messages between hosts.
    std::size_t lostBaseOrders = 0; ///< The first orders to load a base model that never arrive
                                    ///< and are not answered.
    double slowOrderFraction = 0;   ///< Of orders; these reach their engine after 200 to 500 ms.
    Span maxOrderDelay{};           ///< Of any order, in addition.
    double heldUpOrderFraction = 0; ///< Of orders; these reach their engine up to `maxHoldUp` late.
    Span maxHoldUp{};
    Span reportLagJitter{};   ///< The age of each report is up to this longer than reportLag.
    Span firstStartSpread{};  ///< Hosts start for the first time within this time.
    double faultFraction = 0; ///< Fraction of requests that engines fail at once with an internal
                              ///< error, whether or not the adapter is loaded.
    std::size_t crashingRequestCount = 0; ///< Each is sent repeatedly, to random hosts.
    Span crashingRequestInterval = std::chrono::milliseconds(700);
    std::size_t crashingPartCount = 0; ///< Each is in requests that begin after some time.
    Span crashingPartInterval = std::chrono::milliseconds(500); ///< Between requests with one part.
    Span engineRestartTime = std::chrono::seconds(3);
    double warmupPerSecond = 0; ///< Requests a second that the service states for cold engines.
    std::uint32_t maxSends = 1; ///< Attempts of a caller whose answers are interrupted.
    /// The service is a plain one with streams that may be resumed, in place of engines.
    bool servesStreams = false;
    double brokenStreams = 0.1; ///< Share of the streams' attempts that break after an event.
    Span maxTimeToResume = std::chrono::milliseconds(150); ///< Until a caller takes one up again.
    double unnamedResumptions = 0;    ///< Share of the callers that never name the earlier attempt.
    std::size_t softwareVersions = 2; ///< Of the servers at the start, in turn.
    /// An entry of a server reaches each host within this time.
    Span maxEntryDelay = std::chrono::milliseconds(1500);
    /// Size in messages of a paused host's receive buffer; messages beyond it are lost. 0: all are.
    std::size_t messageBuffer = 0;
    bool countsBytes = false; ///< Each message is encoded and decoded as on the wire.
};

/// Hosts, engines and callers in one process, on a virtual clock. Deterministic for a given seed.
class World
{
public:
    explicit World(const WorldSettings &worldSettings);

    void runFor(Span span);

    void setRequestRate(double perSecond)
    {
        this->settings.requestsPerSecond = perSecond;
    }

    void killHost(std::size_t index);
    void startHost(std::size_t index, bool isFirst);
    /// The host does nothing for \a span, and then continues with its old state.
    void pauseHost(std::size_t index, Span span);
    /// Host \a index neither receives from other hosts nor reaches them; engines stay reachable.
    void partitionHost(std::size_t index, bool isPartitioned);
    /// The host keeps its path to callers and other hosts.
    void cutFromEngines(std::size_t host, EngineCut cut);
    /// The host's messages reach no other host; it still receives theirs and reaches all engines.
    void muteHost(std::size_t index, bool isMuted);
    /// From now on the host often gets no processor for up to \a maxLag; 0: it always does.
    void starveHost(std::size_t index, Span maxLag);
    void restartEngine(std::size_t index);
    /// The engine states \a perSecond in its answers from now on; 0: no limit.
    void limitEngine(std::size_t index, double perSecond);
    /// The maximum number of arrivals at the engine in any 4 s from hosts that must comply with its
    /// limit.
    std::size_t maxArrivalsUnderLimit(std::size_t index) const;
    std::size_t arrivalsUnderLimit(std::size_t index) const
    {
        return this->engines[index].arrivalsUnderLimit.size();
    }
    /// The engine states in each answer that it leaves; the platform's list does not know.
    void stateLeaving(std::size_t index);
    /// The engine rejects all requests and asks for a pause; 0: no longer.
    void statePauses(std::size_t index, Span pause);
    /// The engine rejects requests while \a room run, and crashes if it rejects more than
    /// \a maxRejections in a second, which it states in its answers.
    void makeBrittle(std::size_t index, std::size_t room, std::size_t maxRejections);
    /// The maximum number of requests of one host that reached an engine during a pause.
    std::size_t maxArrivalsInPause() const;
    /// Number of requests that the engine has run.
    std::uint64_t runsAt(std::size_t index) const
    {
        return this->engines[index].runCount;
    }
    /// Hosts learn of the evacuation within propagationTime.
    void evacuateZone(std::size_t zone);
    /// Ends the evacuation. The engines of the zone are cold from now on.
    void returnZone(std::size_t zone);
    /// The engine is cold from now on, as if it had just started.
    void makeCold(std::size_t index);
    /// The maximum number of requests that an engine ran in any second while it was cold.
    std::size_t maxColdArrivals() const;
    /// The engine crashes with all its requests and is back after
    /// WorldSettings::engineRestartTime without models.
    void crashEngine(std::size_t index);

    /// Replaces the server's software: it drains, ends, and starts again under its id.
    void releaseEngine(std::size_t index, const std::string &version);
    /// A server of \a version joins in a random zone. Hosts learn of it one after the other.
    void joinEngine(const std::string &version);
    /// The server drains, and leaves for good while hosts without the store still list it.
    void drainEngine(std::size_t index);
    /// Messages between hosts of different sides are lost.
    void moveToSide(std::size_t host, std::size_t side);
    /// Entries of engines reach the host only when the store is back.
    void takeStoreAway(std::size_t host, bool isAway);

    /// Adapters that callers requested over at least \a span and of which no request was started.
    std::size_t countNeverStarted(Span span) const;

    std::size_t hostCount() const
    {
        return this->hosts.size();
    }
    const GatewayState &hostState(std::size_t index) const
    {
        return this->hosts[index].state;
    }
    bool holdsBase(std::size_t engine) const
    {
        return this->engines[engine].hasBase;
    }
    std::size_t engineCount() const
    {
        return this->engines.size();
    }

    std::vector<Violation> violations;
    std::uint64_t requestsSent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t loads = 0;
    std::uint64_t fetches = 0; ///< Loads from the weight store.
    std::uint64_t unloads = 0;
    std::uint64_t rejectedNotReady = 0; ///< Requests rejected because the adapter was not ready.
    std::uint64_t messages = 0;         ///< Between hosts.
    std::uint64_t messageBytes = 0;     ///< Encoded size; 0 without WorldSettings::countsBytes.
    SentCounts sentByKind;              ///< Messages between hosts by kind.
    std::uint64_t reports = 0;          ///< Reports requested from engines.
    std::map<ModelName, AdapterRequests> adapterRequests;
    std::uint64_t unusedLoads = 0;       ///< Loaded adapters that were unloaded without a request.
    std::uint64_t unloadsWhileInUse = 0; ///< Their slots stay occupied and requests are rejected.
    std::vector<double> startDelaySeconds; ///< From a request's arrival to its start.
    std::map<Instant, double> admittedTokens;
    std::map<ContentDigest, CrashingRequest> crashingRequests;
    std::map<PromptPartId, CrashingPart> crashingParts;
    SoundTries soundTries; ///< Counted while there are crashing parts.
    /// Requests interrupted by a crash of their engine, without those that cause crashes.
    std::uint64_t interrupted = 0;
    /// Requests that reached an evacuated zone later than evacuationTimeout after its evacuation,
    /// from hosts that ran undisturbed.
    std::uint64_t arrivalsInEvacuatedZones = 0;
    std::uint64_t crashesByRejections = 0;
    /// Requests that reached a leaving engine too long after their host was told.
    std::uint64_t arrivalsAtLeavingEngines = 0;
    std::map<ResultCode, std::uint64_t> refusals; ///< Without requests that crash engines.
    TryCounts triesAtCutHosts;                    ///< From contactTimeOfCuts after the last cut.
    TryCounts triesAtOtherHosts;
    std::uint64_t streamsOfTwoVersions = 0;
    StreamTries newStreams;
    StreamTries resumptions;
    std::vector<Span> resumptionWaits; ///< From their arrival until they are sent to a server.
    std::uint64_t resumptionsSent = 0; ///< All tries, also at hosts that are out of touch.
    Instant now{ 1'000'000'000 };

private:
    struct ScheduledEvent
    {
        Instant at;
        std::uint64_t sequenceNumber;
        std::function<void()> callback;
        bool operator>(const ScheduledEvent &other) const
        {
            return at != other.at ? at > other.at : sequenceNumber > other.sequenceNumber;
        }
    };

    void schedule(Instant when, std::function<void()> callback);
    /// Calls \a callback once the host gets the processor, if its process still runs then.
    void whenScheduled(std::size_t index, std::uint64_t incarnation,
                       std::function<void()> callback);
    void drawLag(std::size_t index);
    void startFirst(std::size_t index);
    void tickHost(std::size_t index);
    void sendRandomRequest();
    void sendCrashingRequest(const ContentDigest &content);
    void sendCrashingPart(const PromptPartId &part);
    std::vector<PromptPartId> soundParts();
    CrashingPart *crashingPartOf(const FakeRequest &request);
    void recordPartCrash(const FakeRequest &request, const FakeEngine &engine);
    void recordPartSend(std::size_t index, const FakeRequest &request);
    TryCounts *soundTriesNow();
    bool isSound(const FakeRequest &request);
    void beginAnswer(const FakeRun &run, std::size_t engine);
    void sendRequest(const FakeRequest &fakeRequest);
    void retryAfterRefusal(const FakeRequest &fakeRequest, const Refuse &refusal);
    std::size_t countRuns(const ContentDigest &content) const;
    void recordCrashingSend(std::size_t index, const FakeRequest &fakeRequest);
    void startCrashingRun(std::size_t engine);
    void recordLimitedArrival(std::size_t host, FakeEngine &engine);
    void sendLimit(const FakeRun &run, FakeEngine &engine, Instant sentAt);
    void recordZoneArrival(std::size_t host, FakeEngine &engine, bool isRun);
    bool isCut(std::size_t host) const
    {
        return this->engineCuts[host] != EngineCut::None;
    }
    Span timeToFail(std::size_t host) const;
    void recordFirstTry(std::size_t host, FakeRequest &request);
    void recordServed(const FakeRequest &request);
    TryCounts &triesOf(const FakeRequest &request);
    void recordArrival(std::size_t host, FakeEngine &engine, const FakeRequest &request);
    void sendLeaving(std::size_t host, const FakeEngine &engine);
    bool rejectWithoutRoom(const FakeRun &run, FakeEngine &engine);
    bool rejectInPause(const FakeRun &run, const FakeEngine &engine);
    Span randomDelay(Span max);
    /// As randomDelay(), but takes no random number if there is no delay.
    Span delayUpTo(Span max)
    {
        return max > Span{} ? this->randomDelay(max) : Span{};
    }
    void notifyHost(std::size_t index, Span delay,
                    const std::function<void(GatewayState &, Actions &)> &notify);
    ListedUpstream listedOf(const FakeEngine &engine) const;
    void relistEngine(const FakeEngine &engine);
    void endAttempt(const FakeRun &run, AttemptOutcome outcome);
    void applyActions(std::size_t index, Actions &actions);
    RequestArrived arrivalOf(const FakeRequest &fakeRequest);
    void forward(std::size_t index, const Forward &sent);
    void endForward(const FakeRun &run, ForwardOutcome outcome, const ForwardRefusal &refusal = {});
    void deliver(std::size_t from, const SendGossip &gossip);
    void dispatch(std::size_t index, const Dispatch &toSend);
    void beginStream();
    void sendStream(std::uint64_t stream);
    void sendStreamLater(std::uint64_t stream, Span delay);
    bool isInTouch(std::size_t host) const;
    bool hasTwoServers(const std::string &version) const;
    void runStream(const FakeRun &run);
    void passFirstEvent(const FakeRun &run, std::size_t engine, const std::string &version);
    void takeFirstEvent(const FakeRun &run, const std::string &version);
    void continueStream(const FakeRun &run, std::size_t engine, std::int64_t start);
    void breakStream(std::uint64_t stream, std::uint64_t attempt, Span delay);
    /// Whether the caller of \a stream names the earlier attempt when it takes the stream up again.
    bool namesAttempt(std::uint64_t stream) const;
    void refuseStream(const FakeRequest &request, const Refuse &refusal);
    void relistLater(std::size_t engine);
    void relistAt(std::size_t host, std::size_t engine, Span delay);
    void readBuffered(std::size_t host);
    void endWithFault(std::size_t index, std::uint64_t incarnation, const Dispatch &sent);
    void finish(std::size_t index, std::uint64_t incarnation, const Dispatch &sent,
                std::size_t engine, const ModelName &model);
    void sendOrder(std::size_t index, const OrderEngine &engineOrder);
    bool dropOrder(std::size_t index, const OrderEngine &engineOrder);
    void endUnanswered(std::size_t index, const OrderEngine &engineOrder);
    Span orderLatency();
    void endOrder(std::size_t index, std::uint64_t incarnation, const OrderEnded &ended);
    void executeOrder(std::size_t index, const OrderEngine &engineOrder, FakeEngine &engine,
                      OrderEnded &ended);
    void answerReport(std::size_t index, const QueryReport &query);
    void endReport(std::size_t index, std::uint64_t incarnation, const ReportRead &read);
    EngineState reportedState(FakeEngine &engine);
    void answerProbe(std::size_t index, const ProbeUpstream &probe);
    void checkCoordinator(std::size_t index, FakeEngine &engine, const OrderEngine &engineOrder);
    Span loadDuration(FakeEngine &engine, const ModelName &adapter);
    EngineState stateOf(const FakeEngine &engine) const;
    void recordState(FakeEngine &engine);
    FakeEngine *findEngine(const UpstreamId &id);
    bool isIncarnationRunning(std::size_t index, std::uint64_t incarnation) const;
    void recordViolation(const std::string &what);

    WorldSettings settings;
    std::mt19937_64 random;
    std::vector<FakeHost> hosts;
    std::map<Endpoint, std::size_t> hostAt;
    std::vector<bool> partitionedHosts; ///< By index of the host.
    std::vector<EngineCut> engineCuts;  ///< By index of the host.
    Instant cutAt;                      ///< Last change of `engineCuts`; zero: none.
    std::vector<FakeEngine> engines;
    std::vector<Instant> fetchesEnd; ///< End times of loads from the weight store.
    std::vector<double> adapterWeights;
    std::vector<ScheduledEvent> scheduled; ///< A heap, the earliest first.
    /// By host and request id.
    std::map<std::pair<std::size_t, std::uint64_t>, FakeRequest> requests;
    std::map<ZoneId, Instant> evacuatedAt; ///< Evacuated zones.
    std::vector<FakeStream> streams{ 1 };  ///< The first one is unused.
    std::uint64_t nextSequenceNumber = 1;
    std::uint64_t nextRequest = 1;
};

/// Maximum time until all hosts know of a crashed engine or repeat a refused request.
inline constexpr Span propagationTime = std::chrono::seconds(3);

/// Requests count this long after a loss of paths to engines.
inline constexpr Span contactTimeOfCuts = std::chrono::seconds(3);

/// An evacuated zone must get no requests this long after the evacuation.
inline constexpr Span evacuationTimeout = std::chrono::seconds(5);

/// One way between two hosts, or a host and an engine.
inline constexpr Span networkLatency = std::chrono::milliseconds(2);

/// The only model of the engines.
inline const std::string baseName = "base";

/// Time for which an engine is cold after its start.
inline constexpr Span warmupTime = std::chrono::seconds(3);

} // namespace azurewell::gateway
