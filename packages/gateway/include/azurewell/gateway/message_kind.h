#pragma once

#include <cstdint>
#include <map>
#include <string_view>

namespace azurewell::gateway {

/// The purpose of a message between hosts. A message may carry more besides; the kind is used for
/// counters and is not part of the message.
enum class MessageKind : std::uint8_t {
    Heartbeat,
    EngineUpdate,
    CustomerUses,
    AdapterUses,
    AdmissionRequest,
    AdmissionReply,
    PromptsRead, ///< Reports on admitted prompts, and admissions that are returned.
    LoadRequest,
    LoadRefusal,
    ChangesRequest,
    Changes,
    ToSeed,
    RelayRequest,  ///< Updates to relay.
    RelayedUpdate, ///< Relayed updates.
    RelayAnswer,   ///< Shows that the relay is alive.
    CrashSuspicions,
    UpstreamLimits,
    StreamOrigins,
    OriginQuestion,
    OriginAnswer,
};

/// Returns the name of \a kind in metrics.
std::string_view nameOf(MessageKind kind);

/// Number of messages sent and their bytes, excluding UDP headers.
struct SentCount
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Messages of one kind, within this host's zone and to other zones. Traffic between availability
/// zones is billed.
struct SentByZone
{
    SentCount inZone;
    SentCount inOtherZones;
};

using SentCounts = std::map<MessageKind, SentByZone>;

void countSent(SentCounts &counts, MessageKind kind, bool isToOtherZone, std::size_t bytes);

} // namespace azurewell::gateway
