#include "azurewell/gateway/message_kind.h"

namespace azurewell::gateway {

std::string_view nameOf(MessageKind kind)
{
    switch (kind) {
    case MessageKind::Heartbeat:
        return "heartbeat";
    case MessageKind::EngineUpdate:
        return "engine_news";
    case MessageKind::CustomerUses:
        return "customer_uses";
    case MessageKind::AdapterUses:
        return "adapter_uses";
    case MessageKind::AdmissionRequest:
        return "prompt_ask";
    case MessageKind::AdmissionReply:
        return "prompt_answer";
    case MessageKind::PromptsRead:
        return "prompts_read";
    case MessageKind::LoadRequest:
        return "load_request";
    case MessageKind::LoadRefusal:
        return "load_refusal";
    case MessageKind::ChangesRequest:
        return "changes_ask";
    case MessageKind::Changes:
        return "changes";
    case MessageKind::ToSeed:
        return "to_seed";
    case MessageKind::RelayRequest:
        return "relay_ask";
    case MessageKind::RelayedUpdate:
        return "relayed_news";
    case MessageKind::RelayAnswer:
        return "relay_answer";
    case MessageKind::CrashSuspicions:
        return "crash_suspicions";
    case MessageKind::UpstreamLimits:
        return "upstream_limits";
    case MessageKind::StreamOrigins:
        return "stream_origins";
    case MessageKind::OriginQuestion:
        return "origin_question";
    case MessageKind::OriginAnswer:
        return "origin_answer";
    }
    return "unknown";
}

void countSent(SentCounts &counts, MessageKind kind, bool isToOtherZone, std::size_t bytes)
{
    SentByZone &byZone = counts[kind];
    SentCount &count = isToOtherZone ? byZone.inOtherZones : byZone.inZone;
    ++count.messages;
    count.bytes += bytes;
}

} // namespace azurewell::gateway
