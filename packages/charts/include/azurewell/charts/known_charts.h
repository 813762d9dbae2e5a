#pragma once

#include "azurewell/charts/chart.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace azurewell {

/// The process lifecycle (charts/process.scxml).
enum class ProcessState : std::uint8_t { Starting, Serving, Draining, Stopped };
enum class ProcessEvent : std::uint8_t { StateInForce, StopAsked, LastRequestDone };
inline constexpr std::array<std::string_view, 4> processStateNames{ "starting", "serving",
                                                                    "draining", "stopped" };
inline constexpr std::array<std::string_view, 3> processEventNames{ "state.in.force", "stop.asked",
                                                                    "last.request.done" };

/// An upstream, as seen by one host (charts/upstream.scxml).
enum class UpstreamState : std::uint8_t { Unknown, Live, Ejected, Probing, Leaving };
enum class UpstreamEvent : std::uint8_t {
    Answered,
    Failed,
    EjectionOver,
    ListedLeaving,
    ListedLive
};
inline constexpr std::array<std::string_view, 5> upstreamStateNames{ "unknown", "live", "ejected",
                                                                     "probing", "leaving" };
inline constexpr std::array<std::string_view, 5> upstreamEventNames{
    "answered", "failed", "ejection.over", "listed.leaving", "listed.live"
};

/// An adapter on one engine (charts/adapter.scxml).
enum class AdapterState : std::uint8_t { Absent, Loading, Loaded, Unloading, BackingOff };
enum class AdapterEvent : std::uint8_t {
    LoadOrdered,
    LoadDone,
    LoadFailed,
    UnloadOrdered,
    UnloadDone,
    UnloadFailed,
    BackoffOver,
    EngineRestarted
};
inline constexpr std::array<std::string_view, 5> adapterStateNames{ "absent", "loading", "loaded",
                                                                    "unloading", "backing.off" };
inline constexpr std::array<std::string_view, 8> adapterEventNames{
    "load.ordered", "load.done",     "load.failed",  "unload.ordered",
    "unload.done",  "unload.failed", "backoff.over", "engine.restarted"
};

/// Another host, as seen by this one (charts/peer.scxml).
enum class PeerState : std::uint8_t { Unheard, Alive, Suspect, Leaving, Gone };
enum class PeerEvent : std::uint8_t {
    Heartbeat,
    HeartbeatMissed,
    LeaveAnnounced,
    ListedLeaving,
    Unlisted,
    Listed,
    SuspicionOver
};
inline constexpr std::array<std::string_view, 5> peerStateNames{ "unheard", "alive", "suspect",
                                                                 "leaving", "gone" };
inline constexpr std::array<std::string_view, 7> peerEventNames{
    "heartbeat", "heartbeat.missed", "leave.announced", "listed.leaving",
    "unlisted",  "listed",           "suspicion.over"
};

/// All charts of a host.
struct KnownCharts
{
    Chart process;
    Chart upstream;
    Chart adapter;
    Chart peer;
};

/// Loads the four charts from \a directory. Errors: FileUnreadable, ChartInvalid.
Result<KnownCharts> loadKnownCharts(const std::string &directory);

} // namespace azurewell
