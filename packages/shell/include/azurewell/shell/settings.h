#pragma once

#include "azurewell/host/host_state.h"
#include "azurewell/logging/log.h"
#include "azurewell/units/endpoint.h"
#include "azurewell/units/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace azurewell {

/// What azurewelld reads at start; `azurewelld --print-default-settings` shows each key with its
/// meaning.
struct Settings
{
    HostIdentity self;     ///< Incarnation and seed are set by the program, not by the file.
    Endpoint callers;      ///< Where callers connect.
    Endpoint peers;        ///< Where other hosts connect.
    Endpoint operations;   ///< /healthz, /readyz, /metrics, /show.
    std::string platform;  ///< Base URL of the configuration service.
    std::string peerKey;   ///< Shared by all hosts; seals the messages between them.
    std::string keyPrefix; ///< Under which our values are published.
    std::string chartsDirectory;
    std::uint32_t trafficThreads = 2;
    LogLevel logLevel = LogLevel::Info;

    std::uint64_t mostBodyBytes = 0;
    std::uint64_t mostHeadBytes = 0;
    std::uint32_t mostConnections = 0;
    Span senderPatience{};  ///< A request must have arrived whole within this.
    Span keepAlive{};       ///< An idle caller connection is closed after this.
    Span requestPatience{}; ///< The deadline of a request that names none.
    Span readerPatience{};  ///< A caller must read a stream that waits for it within this.
    Span drainGrace{};      ///< Requests are served for so long after a planned stop was asked for.
    Span upstreamIdle{};    ///< An upstream that sends nothing for this long is silent.
};

/// Reads settings from JSON with comments. Errors: SettingsInvalid with the line or key, what is
/// wrong and what is allowed.
Result<Settings> parseSettings(std::string_view text);

/// parseSettings() on a file. Errors also: FileUnreadable.
Result<Settings> loadSettings(const std::string &path);

/// A settings file with every key at its default and a comment on each.
std::string_view defaultSettingsText();

/// Reads "ip:port". Errors: SettingsInvalid.
Result<Endpoint> parseEndpoint(const std::string &text);

} // namespace azurewell
