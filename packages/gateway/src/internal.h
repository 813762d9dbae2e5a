#pragma once

#include "azurewell/gateway/gateway.h"
#include "azurewell/gateway/request_digest.h"

namespace azurewell::gateway {

/// Retry-after time of refusals whose cause ends within a short time. A crashed or full engine has
/// capacity again within about a second; callers wait at most a third of their remaining time.
inline constexpr Span shortRetryAfter = std::chrono::milliseconds(400);

/// Refuses the request of \a record and deletes \a record.
void refuseAndForget(GatewayState &state, RequestRecord &record, ResultCode code, Span retryAfter,
                     Actions &actions);

void eraseRequest(GatewayState &state, RequestNumber request);

/// Whether a request that may have run \a possibleRuns times may run once more.
bool mayRunAgain(const RequestRecord &record, std::uint32_t possibleRuns);

/// Forwards the request of \a record to a host that reaches the upstreams of its service, or
/// refuses it if none can serve it. A request that was forwarded here is refused.
void forwardOrRefuse(GatewayState &state, RequestRecord &record, Instant now, Actions &actions);

/// Removes the request of \a record from the work in progress at its upstream.
void detachFromUpstream(GatewayState &state, RequestRecord &record);

/// The retry budget of \a service, with this host's share of the fleet's retries.
RetryBudget &retryBudgetOf(GatewayState &state, const ServiceId &service);

/// Marks loads as done whose early attempt was not rejected, so that the other requests that wait
/// for them can be sent.
void resolveEarlyAttempts(GatewayState &state, Instant now);

/// Whether the upstream states that it did not run the request.
bool isTurnedAway(AttemptOutcome outcome);

/// Handles the end of a request that was sent before a report showed its load as done.
void handleEarlyAttemptEnd(GatewayState &state, const RequestRecord &record, AttemptOutcome outcome,
                           Instant now);

/// Records that an upstream stated \a slowdown, to this host or to another one that reports it to
/// the engine's coordinator.
void recordStatedSlowdown(GatewayState &state, const UpstreamId &id, double slowdown, Instant now);

/// Learns from the first event of \a record how fast engines read prompts, and this one relative to
/// its service.
void recordFirstEventTime(GatewayState &state, const RequestRecord &record, Instant now);

/// Learns from a complete answer how fast a plain server is relative to its service.
void recordAnswerTime(GatewayState &state, const RequestRecord &record, Instant now);

/// The usual time in seconds of an answer of the plain \a service; 0: not known.
double answerSecondsOf(const GatewayState &state, const ServiceId &service);

/// Has the states of engines that have become slower or faster sent to other hosts, within a bound
/// of the bandwidth.
void markSlowedEngines(GatewayState &state, Instant now);

/// The learnt prefill rate of the engines of \a service, in prompt tokens per second.
double prefillRateOf(const GatewayState &state, const ServiceId &service);

UpstreamNeed needOf(const GatewayState &state, const RequestRecord &record);

/// Sends the request of \a record to the upstream \a id.
void dispatch(GatewayState &state, RequestRecord &record, const UpstreamId &id,
              const ModelName &model, Instant now, Actions &actions);

/// Places the request of \a record again at each tick.
void markWaiting(GatewayState &state, RequestRecord &record);

/// Finds an upstream for a request that is not at one: sends it, requests a load of its adapter, or
/// refuses it.
void place(GatewayState &state, RequestRecord &record, Instant now, Actions &actions);

/// Requests admission for the prompt of \a record from the coordinator of \a engine.
void requestAdmission(GatewayState &state, RequestRecord &record, const Upstream &engine,
                      Instant now, Actions &actions);

/// Handles an answer to requestAdmission(). If the wait is long, requests admission at another
/// engine as well.
///
/// Load pattern: a popular adapter is on several engines, and each host sends a prompt to them only
/// every few seconds and so knows only outdated loads. Without a second request it would queue at
/// one engine while the others are idle.
void handleAdmission(GatewayState &state, RequestRecord &record, const PromptAdmission &turn,
                     Instant now, Actions &actions);

/// Handles an answer of a coordinator, or of this host if it is the coordinator. An admission that
/// is not expected any more is returned.
void handleAdmissionReply(GatewayState &state, const HostId &from, const AdmissionReply &reply,
                          Instant now, Actions &actions);

/// Whether the prompt of \a record, for which admission was requested, may be sent now. True after
/// a timeout if no answer came.
bool isAdmitted(GatewayState &state, RequestRecord &record, Instant now);

/// Whether the prompt of \a record waits at a host that no longer coordinates its engine, or for an
/// engine that is gone.
bool isQueueLost(GatewayState &state, const RequestRecord &record, Instant now);

/// Whether prompts for \a model are admitted by the coordinators of engines.
bool isPaced(const GatewayState &state, const ModelName &model);

/// Returns the admissions of \a record, which are not used.
void returnAdmissions(GatewayState &state, RequestRecord &record);

/// Uses the admission of \a record at \a engine, if it has one, and returns others.
void useAdmission(GatewayState &state, RequestRecord &record, const UpstreamId &engine);

/// Reports the first event of the answer to \a record, or if \a isFailed the end of its attempt, to
/// the coordinator that admitted its prompt.
void reportRead(GatewayState &state, RequestRecord &record, bool isFailed, Instant now);

/// Refuses \a record, whose prompt no engine can read in time.
void refuseUnservable(GatewayState &state, RequestRecord &record, Instant now, Actions &actions);

/// Handles the report of \a from about a prompt that this host admitted.
void handlePromptRead(GatewayState &state, const HostId &from, const PromptRead &read, Instant now);

/// Corrects what this host takes to be unread at \a engine, which it coordinates, by the number of
/// requests that wait there according to a report of \a reportedAt.
void correctWindow(GatewayState &state, const Upstream &engine, std::uint32_t waiting,
                   Instant reportedAt, Instant now);

/// Sends pending reports and returned admissions, and admits queued prompts that have room. Called
/// at the end of events that may make room, as answers to requests of this host may end others.
void runAdmissions(GatewayState &state, Instant now, Actions &actions);

/// Admits queued prompts of all engines, whose estimates change with time. Called at each tick.
void runAllAdmissions(GatewayState &state, Instant now, Actions &actions);

/// Removes the pacers of engines that this host no longer coordinates or that are gone.
void removeUnusedPacers(GatewayState &state, Instant now);

/// Admits the prompt of \a request by \a requester at \a upstream, which this host coordinates,
/// after the prompts ahead of it and within the rate limit of the upstream.
PromptAdmission admitPromptAt(GatewayState &state, const Upstream &upstream,
                              const AdmissionRequest &request, const HostId &requester,
                              Instant now);

/// Cancels an unused admission of \a requester at an engine that this host coordinates.
void releaseAdmission(GatewayState &state, const AdmissionRequest &request,
                      const HostId &requester);

/// Whether a request for \a model needs admission at \a upstream.
bool needsAdmission(const GatewayState &state, const Upstream &upstream, const ModelName &model,
                    Instant now);

/// Whether \a upstream states a rate limit and \a record has no permit for it.
bool lacksPermit(GatewayState &state, const RequestRecord &record, const Upstream &upstream,
                 Instant now);

/// Whether the permit of \a record becomes valid only after the placement deadline.
bool isPermitTooLate(const RequestRecord &record);

/// Excludes \a limited, whose permit comes too late, and lets \a record be placed at another
/// upstream.
void excludeUpstream(GatewayState &state, RequestRecord &record, const UpstreamId &limited);

/// Requests a load of the adapter of \a need at one more engine.
void loadCopy(GatewayState &state, const UpstreamNeed &need, Instant now, Actions &actions);

/// Places the waiting requests whose adapter is ready, and refuses those that have waited too long.
void placeWaiting(GatewayState &state, Instant now, Actions &actions);

/// Places the waiting requests whose adapter is ready at \a engine, and refuses those that have
/// waited too long.
void placeWaitingAt(GatewayState &state, const UpstreamId &engine, Instant now, Actions &actions);

/// Gives a final answer to requests that have reached their deadline.
void endOverdue(GatewayState &state, Instant now, Actions &actions);

/// Expected outcome of a requested load.
enum class LoadProspect : std::uint8_t {
    Coming,      ///< In progress, or will be done in time.
    StoreBusy,   ///< The weight store cannot deliver it in time to any engine.
    Unavailable, ///< This host does not coordinate the engine, or the engine has no free slot.
};

/// Requests a load of \a adapter, at an engine of this host or from the coordinator of another
/// engine.
LoadProspect requestLoad(GatewayState &state, const ModelName &adapter, const UpstreamNeed &need,
                         Instant now, Actions &actions);

/// Handles the request of another host, or of this one, to load an adapter at an engine.
LoadProspect enqueueLoad(GatewayState &state, const LoadRequest &request, Instant now);

/// Refuses the requests that wait for \a adapter, as the weight store cannot deliver it in time.
void refuseWaiting(GatewayState &state, const ModelName &adapter, Instant now, Actions &actions);

/// Schedules \a engine to be polled in the next tick.
void wakeEngine(GatewayState &state, const UpstreamId &engine);
void wakeEngines(GatewayState &state);

/// Polls the engines that are due: queries reports and gives orders.
void pollEngines(GatewayState &state, Instant now, Actions &actions);

/// Sends \a message to \a address in \a zone.
void send(const GatewayState &state, const Endpoint &address, const ZoneId &zone, MessageKind kind,
          const std::shared_ptr<const Gossip> &message, Actions &actions);
void send(const GatewayState &state, const Endpoint &address, const ZoneId &zone, MessageKind kind,
          Gossip message, Actions &actions);

/// Sends \a message to \a host, which is a known member.
void sendTo(const GatewayState &state, const HostId &host, MessageKind kind, Gossip message,
            Actions &actions);

/// A message with only the identity of this host and its revision of published changes.
Gossip messageHeader(const GatewayState &state, Instant now);

/// Whether each host sends updates on prompts, loads and the use of customers near their limit at
/// the next tick. In a larger fleet that would be too many messages, and each host has a smaller
/// share of the work.
bool isSmallFleet(const GatewayState &state);

/// Adds the periodic updates on engines, work and customers' use. In a large fleet the other zones
/// are updated through relays.
void addPeriodicUpdates(GatewayState &state, Gossip &message, Instant now);

/// Sends pending updates to other hosts.
void sendUpdates(GatewayState &state, Instant now, Actions &actions);

/// Sends heartbeats and updates that are due.
void runGossip(GatewayState &state, Instant now, Actions &actions);

/// Sends published changes to hosts whose requests arrived while the link was busy.
void sendWaitingChanges(GatewayState &state, Instant now, Actions &actions);

/// Sends updates of this host to all other hosts through a relay. Engine updates to hosts of its
/// own zone are sent directly.
void sendToFleet(GatewayState &state, RelayedUpdate news, Instant now, Actions &actions);

/// Sends suspicions and limits to all other hosts at once, whether they are reachable or not; in a
/// large fleet through a relay.
void sendToAll(GatewayState &state, MessageKind kind, RelayedUpdate news, Instant now,
               Actions &actions);

/// Handles updates that other hosts relayed, and relays updates on request.
void handleRelayed(GatewayState &state, const Gossip &message, Instant now, Actions &actions);

/// Sends the collected relay messages that are due.
void runRelay(GatewayState &state, Instant now, Actions &actions);

/// Handles the use of customers' limits that \a from admitted in its current incarnation.
void handleUses(GatewayState &state, const HostId &from, Incarnation incarnation,
                const std::vector<CustomerUse> &uses, Instant now);

/// Handles an update from the coordinator of an engine. Drops it if the state known here is newer.
void handleEngineUpdate(GatewayState &state, const HostId &from, const EngineUpdate &news,
                        Instant now);

/// Records that a request of this host uses an adapter at an engine.
void recordUse(GatewayState &state, const UpstreamId &engine, const ModelName &adapter,
               Instant now);

/// Reports the adapters that this host uses at \a engine to its coordinator, which would otherwise
/// evict an adapter that is in use.
void sendAdapterUses(GatewayState &state, const Upstream &engine, Instant now, Actions &actions);

/// Handles a connection to an upstream that ended before the answer to \a record was complete.
void recordConnectionLost(GatewayState &state, const RequestRecord &record, Instant now,
                          Actions &actions);

/// Records that the upstream of \a record has answered, completely or with the first byte of a body
/// if \a isShown: an answer that may have been cut off does not show that the upstream still runs.
void recordAnswered(GatewayState &state, const RequestRecord &record, bool isShown, Instant now);

/// The round of probes that check whether an upstream that cut off a request is still running.
inline constexpr std::uint64_t crashCheckRound = 0;

/// Begins the checks that are due of upstreams that cut off requests.
void checkCrashes(GatewayState &state, Instant now, Actions &actions);

/// Handles the end of such a check.
void recordCrashCheck(GatewayState &state, const ProbeEnded &event, Actions &actions);

/// Clears the suspicions of the request of \a record and of its prompt's parts, as it was answered
/// completely.
void clearSuspicionsOf(GatewayState &state, const RequestRecord &record, Instant now,
                       Actions &actions);

/// Handles the crash suspicions of other hosts.
void handleSuspicions(GatewayState &state, const std::vector<CrashSuspicion> &suspicions,
                      Instant now, Actions &actions);

/// Records that \a upstream answered a call that was sent at \a sentAt, in the process that started
/// at \a start.
void recordStart(GatewayState &state, Upstream &upstream, std::int64_t start, Instant sentAt);

/// Whether the request of \a record or a part of its prompt is in quarantine.
bool isQuarantined(const GatewayState &state, const RequestRecord &record);

/// Whether \a record may not be sent: it is in quarantine and no trial of it is due here, or
/// upstreams may have crashed on it and another copy of it is at one. Copies sent together would
/// crash as many upstreams before the first crash is known.
bool isDispatchBlocked(const GatewayState &state, const RequestRecord &record, Instant now);

/// Refuses \a record, which is blocked by isDispatchBlocked().
void refuseQuarantined(GatewayState &state, RequestRecord &record, Instant now, Actions &actions);

/// Sends suspicions about requests on which upstreams may have crashed to other hosts.
void sendSuspicions(GatewayState &state, Instant now, Actions &actions);

/// Updates the rate limit of \a upstream from \a observation and logs a change.
LimitChange applyLimit(Upstream &upstream, const LimitObservation &observation, Actions &actions);

/// Handles rate limits that other hosts observed.
void handleLimits(GatewayState &state, const std::vector<UpstreamLimit> &limits, Actions &actions);

/// Sends rate limits to other hosts that are new or were not sent recently.
void sendLimits(GatewayState &state, Instant now, Actions &actions);

/// Suspects the path to the upstreams of \a service after a failed connection to one of them.
void suspectPath(GatewayState &state, const ServiceId &service, Instant now);

/// Records that \a upstream answered any call of this host.
void recordPathAnswer(GatewayState &state, const UpstreamId &upstream);

/// Whether this host reaches no upstream of \a service.
bool isPathLost(const GatewayState &state, const ServiceId &service);

/// Begins probes of suspected and lost paths that are due.
void checkPaths(GatewayState &state, Instant now, Actions &actions);

/// Notifies the other hosts, and lets requests under way be served by them if the path is lost.
void handlePathChange(GatewayState &state, const ServiceId &service, PathChange change, Instant now,
                      Actions &actions);

/// The time within which a request of \a route gets its answer.
Span timeoutOf(const Route &route);

/// Finds out which software version began the stream that \a record takes up again. False if the
/// request waits for that, or was refused and forgotten.
bool findOutOrigin(GatewayState &state, RequestRecord &record, Instant now, Actions &actions);

/// Adds the software versions that \a record may or may not be sent to.
void addVersionNeed(const GatewayState &state, const RequestRecord &record, UpstreamNeed &need);

/// The first event of an answer to \a record is there. Records which version began the stream.
/// False if the upstream has another version by now than when the request was sent: the event must
/// not be passed on, and the request is repeated, or refused and forgotten.
bool acceptFirstEvent(GatewayState &state, RequestRecord &record, Instant now, Actions &actions);

/// Services with several versions, as sent with each message.
std::vector<MixedService> mixedServices(const GatewayState &state, Instant now);

/// Updates which versions the upstreams of \a service have. Tells all hosts at once if there is a
/// second one.
void checkVersions(GatewayState &state, const ServiceId &service, Instant now);

/// Handles what \a message says of streams and versions.
void handleOrigins(GatewayState &state, const Gossip &message, Instant now, Actions &actions);

/// Drops expired records and sends those that other hosts may need. Call at each tick.
void runOrigins(GatewayState &state, Instant now, Actions &actions);

/// Handles the upstreams that, according to another host, have stated that they leave.
void handleLeaving(GatewayState &state, const std::vector<UpstreamIncarnation> &leaving);

/// Upstreams that have stated that they leave and that the platform's list shows as ready.
std::vector<UpstreamIncarnation> leavingToSend(GatewayState &state);

/// What is known of customers' use from before the start of this process.
MeterStart meterStart(const GatewayState &state, Instant now);

/// The parameters of customers' limits, adapted to the current heartbeat intervals.
MeterLimits currentLimits(const GatewayState &state);

/// Whether this host is the coordinator of \a engine, as far as it knows.
bool isOwnEngine(GatewayState &state, const Upstream &engine, Instant now);

/// The host to send load requests and adapter uses for \a engine to. The sender of a recent update
/// on the engine is preferred to the host that ranks first here: a lost host is noticed late in
/// other zones, while the new coordinator sends updates at once.
HostId coordinatorOf(GatewayState &state, const Upstream &engine, Instant now);

/// How long an update on an engine stays valid; coordinators repeat it with each heartbeat.
Span updateValidity(const GatewayState &state, const Upstream &engine);

/// The key of \a name among the adapters of an engine.
AdapterRef refOf(const ModelName &name);

/// A uniform random number in [0, 1).
double draw(GatewayState &state);

} // namespace azurewell::gateway
