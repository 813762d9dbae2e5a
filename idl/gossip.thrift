/**
 * One datagram between hosts that serve through a platform.
 *
 * Compact protocol, one message a datagram. Versions of neighbours may differ by one during a rolling
 * replacement: fields are only added, and every field is optional on the wire. Spans are microseconds
 * and never points in time: clocks of two hosts are not comparable.
 */
namespace cpp azurewell.wire.gossip

struct CustomerUse {
  1: string customer
  2: double admitted
  3: double inWindow
}

struct LoadedAdapter {
  /** Empty: the first of the engine's models. */
  1: string model
  2: string adapter
  3: i64 version
  /** Of a load under way: since its order. */
  4: optional i32 loadingForMillis
  /** Of a load under way: the engine has the adapter in its host's memory. */
  5: optional bool heldLately
}

struct EngineNews {
  1: string engine
  2: i64 age
  3: i64 start
  4: i64 ordersTaken
  5: bool orderUnderWay
  6: list<string> models
  7: list<LoadedAdapter> ready
  8: list<LoadedAdapter> loading
  9: i32 running
  10: i32 waiting
  /** The sender may order at the engine. */
  11: optional bool ordering
  /** Prompt tokens that the engine reads a second, as learnt by the sender. */
  12: optional i32 tokensPerSecond
  /** Places for adapters that a load could use now. */
  13: optional i32 openPlaces
  /** Prompt tokens that were granted and are not read yet. */
  14: optional i32 unreadTokens
  /** How long work takes there now, in percent of the usual. */
  15: optional i32 slowdownPercent
}

struct AdapterUse {
  1: string engine
  2: string model
  3: string adapter
  4: bool running
  5: i32 begun
}

struct AdapterAt {
  1: string engine
  2: string model
  3: string adapter
  4: bool storeBusy
}

struct PromptWork {
  1: string engine
  2: i32 tokens
}

struct PromptAsk {
  1: string engine
  2: string model
  3: string adapter
  4: i64 request
  5: i32 tokens
  /** The turn that was asked for is not used. */
  6: optional bool givenBack
  /** Requests a second that the upstream takes; absent: it states none. */
  7: optional double limit
  8: optional string customer
  /** 0 is the most urgent; absent: the configuration states none. */
  9: optional i32 priority
  /** Time until the objective of the request's route. */
  10: optional i32 objectiveLeftMillis
  /** Longest pause between events that the route allows. */
  11: optional i32 maxPauseMillis
  /** The sender reports when the prompt was read. */
  12: optional bool reported
}

struct PromptAnswer {
  1: i64 request
  2: i32 waitMillis
  3: bool copyWanted
  /** It counts against the limit that the upstream states. */
  4: optional bool permit
  /** The prompt waits at the sender; a further answer grants or refuses it. */
  5: optional bool queued
  /** The engine cannot read the prompt in time. */
  6: optional bool unservable
  /** The engine that was asked for; a prompt may be queued for one while another is asked. */
  7: optional string engine
}

/** The first event of the answer to an admitted prompt, or the end of its attempt. */
struct PromptRead {
  1: string engine
  2: i64 request
  /** Since the prompt was sent to the engine. */
  3: i32 elapsedMillis
  /** The attempt ended without a first event. */
  4: optional bool failed
  /** How long work takes at the engine, in percent of the usual, as it stated it. */
  5: optional i32 slowdownPercent
}

struct Member {
  1: string host
  2: string zone
  3: string ip
  4: i32 port
  5: i64 incarnation
  6: i64 silentFor
}

struct Item {
  1: string key
  2: i64 revision
  3: bool deleted
  4: binary value
  /** Of the store, to which the revision belongs; absent: the store states none. */
  5: optional i64 era
}

struct Changes {
  1: i64 after
  2: i64 upTo
  3: list<Item> items
  4: optional i64 afterEra
  5: optional i64 upToEra
  /** The items are of an earlier era, and the sender holds them until they are written again. */
  6: optional bool held
}

/**
 * An upstream that may have ended under a request, or under a part of its prompt. Refuted: it has
 * no digest, and the upstream was running when the age began.
 */
struct CrashSuspicion {
  1: i64 digest
  2: string upstream
  3: i64 start
  4: i64 age
  5: optional bool isPart
  6: optional bool isCleared
  7: optional bool isRefuted
}

/** A part of an item that fits into no message. */
struct ItemPart {
  1: i64 after
  2: i64 upTo
  3: string key
  4: i64 revision
  5: i32 offset
  /** Of the whole value. */
  6: i32 size
  7: binary bytes
  8: optional i64 afterEra
  9: optional i64 upToEra
  10: optional i64 era
  11: optional bool held
}

/** Requests a second that an upstream takes from all hosts together; 0: it states none any more. */
struct UpstreamLimit {
  1: string upstream
  2: i64 start
  3: double perSecond
  4: i64 age
}

/** An upstream whose process with this start has stated that it leaves. */
struct LeavingUpstream {
  1: string upstream
  2: i64 start
}

/** Which software began a stream that its caller may take up again. */
struct StreamOrigin {
  1: string customer
  /** The attempt that brought the first event. */
  2: string attempt
  3: string serviceId
  4: string version
  /** Until the record is dropped. */
  5: i64 remaining
  6: optional bool isAmbiguous
}

struct OriginQuestion {
  1: string customer
  2: string attempt
  3: string serviceId
  4: i64 request
}

struct OriginAnswer {
  1: StreamOrigin origin
  2: i64 request
  /** There is no record, but the service has had one version only. */
  3: optional bool isLoneVersion
}

/** A service whose upstreams have several software versions, or had them this long ago. */
struct MixedService {
  1: string serviceId
  2: i64 age
}

/** News of a host that another one passes on. */
struct RelayedNews {
  1: string host
  2: i64 incarnation
  3: list<CustomerUse> uses
  4: list<EngineNews> engines
  5: optional list<CrashSuspicion> crashes
  6: optional list<UpstreamLimit> limits
}

struct Message {
  1: string sender
  2: string zone
  3: string ip
  4: i32 port
  5: i64 incarnation
  6: bool leaving
  7: i64 revision
  // 8 was the highest fencing number known to the sender.
  9: list<Member> members
  10: list<CustomerUse> uses
  11: list<EngineNews> engines
  12: list<AdapterUse> adapterUses
  13: list<AdapterAt> loadRequests
  14: list<AdapterAt> loadRefusals
  15: list<Changes> changes
  16: list<PromptWork> promptWork
  17: i64 newestChange
  18: bool wantsChanges
  /** 0: the sender does not read what the platform publishes; 1: it does; 2: the platform does not answer it. */
  19: i32 platform
  20: list<PromptAsk> promptAsks
  21: list<PromptAnswer> promptAnswers
  22: i64 runningFor
  /** 0: nobody; 1: inside the receiver's zone; 2: and to the other zones. */
  23: optional i32 relayTo
  24: optional list<RelayedNews> relayed
  25: optional i32 linkMbps
  26: optional list<CrashSuspicion> crashes
  27: optional list<UpstreamLimit> limits
  28: optional list<ItemPart> itemParts
  /** Services of which the sender reaches no upstream. */
  29: optional list<string> unreachableServices
  30: optional list<LeavingUpstream> leavingUpstreams
  /** Of a heartbeat: since the sender last received a message of the receiver. */
  31: optional i32 heardMillisAgo
  32: optional list<MixedService> mixedServices
  33: optional list<StreamOrigin> origins
  34: optional list<OriginQuestion> originQuestions
  35: optional list<OriginAnswer> originAnswers
  /** Of the store, to which `revision` belongs; absent: the store states none. */
  36: optional i64 era
  /** Absent: the same as `era`. */
  37: optional i64 newestChangeEra
  38: optional bool holdsItems
  39: optional bool wantsHeld
  /** The sender turns callers away, as it has no processor time for them. */
  40: optional bool overloaded
  41: optional list<PromptRead> promptsRead
}
