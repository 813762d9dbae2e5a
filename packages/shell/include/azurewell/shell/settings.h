#pragma once

#include "azurewell/host/host_state.h"
#include "azurewell/logging/log.h"
#include "azurewell/units/endpoint.h"
#include "azurewell/units/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace azurewell {

/// Settings that azurewelld reads at start; `azurewelld --print-default-settings` documents each
/// key.
struct Settings
{
    HostIdentity self;    ///< Incarnation and random seed are set at start, not read from the file.
    Endpoint callers;     ///< Listening address for callers.
    Endpoint peers;       ///< Listening address for other hosts.
    Endpoint operations;  ///< /healthz, /readyz, /metrics, /show.
    std::string platform; ///< Base URL of the configuration service.
    std::string peerKey;  ///< Shared by all hosts; authenticates messages between them.
    std::string keyPrefix; ///< Prefix of the keys in the configuration service.
    std::string chartsDirectory;
    std::uint32_t trafficThreads = 2;
    LogLevel logLevel = LogLevel::Info;

    std::uint64_t maxBodyBytes = 0;
    std::uint64_t maxHeadBytes = 0;
    std::uint32_t maxConnections = 0;
    std::uint64_t maxHeldBytes = 0; ///< Of the requests of all callers that are held at a time.
    Span requestReadTimeout{};      ///< Limit for receiving a complete request.
    Span keepAlive{};               ///< Idle caller connections are closed after this.
    Span defaultRequestTimeout{};   ///< Timeout of a request that sets none.
    Span callerReadTimeout{};       ///< Limit for a caller to read a paused stream.
    Span drainGrace{};              ///< Requests are still served this long after a stop request.
    Span upstreamIdleTimeout{};     ///< An attempt without data for this long has failed.
};

/// Reads settings from JSON with comments. Errors: SettingsInvalid with the line or key, what is
/// wrong and what is allowed.
Result<Settings> parseSettings(std::string_view text);

/// Reads settings from a file. Errors: FileUnreadable and those of parseSettings().
Result<Settings> loadSettings(const std::string &path);

/// Returns a settings file with every key at its default and a comment on each.
std::string_view defaultSettingsText();

/// Reads "ip:port". Errors: SettingsInvalid.
Result<Endpoint> parseEndpoint(const std::string &text);

} // namespace azurewell
