#pragma once

#include <cstdint>
#include <string_view>

namespace azurewell::gateway {

/// Where the request of a caller stood when the caller left.
enum class CallerStage : std::uint8_t {
    NotBegun,   ///< Not read to its end, or read only once the caller had left.
    Waiting,    ///< At this host, for instance for an adapter load.
    AtUpstream, ///< Sent, without an answer so far.
    AtPeer,     ///< Forwarded to another host, without an answer so far.
    Answering,  ///< A part of the answer had been sent to the caller.
};

/// The name in metrics and logs.
std::string_view nameOf(CallerStage stage);

} // namespace azurewell::gateway
