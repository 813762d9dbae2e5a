#include "azurewell/shell/settings.h"

#include "azurewell/tickets/json_reader.h"

#include <QtCore/QFile>
#include <QtNetwork/QHostAddress>

namespace azurewell {

namespace {

constexpr std::string_view defaultText = R"({
  // Name of this host in the platform's host list.
  "host": "h1",
  // Availability zone of this host, and its ordinal in the zone (from 0). A replacement host uses the
  // ordinal of the host it replaces. No two hosts of a zone may use the same ordinal.
  "zone": "centro",
  "seat": 0,

  // Listening addresses for callers, other hosts and operators: IP and port.
  "callers": "127.0.0.1:8080",
  "peers": "127.0.0.1:7070",
  "operations": "127.0.0.1:9090",
  // Secret shared by all hosts, at least 16 characters, that authenticates messages between them.
  // Without it, anyone who reaches the peer port can act as a host.
  // "peer_key": "at least sixteen characters",

  // The configuration service (read only), and the prefix of azurewell's keys in it.
  "platform": "http://127.0.0.1:8500",
  "key_prefix": "azurewell",

  // Directory of the state charts.
  "charts": "charts",
  // Number of traffic threads, 1 to 64; one further thread owns the control state.
  "traffic_threads": 2,
  // debug, info, warning or error.
  "log_level": "info",

  // Limits for callers: bytes, connections, seconds.
  "most_body_bytes": 1048576,
  "most_head_bytes": 16384,
  "most_connections": 4096,
  // Bytes of all requests that a host holds at a time. In memory they take about twice as much.
  "most_held_bytes": 33554432,
  "sender_patience_s": 10,
  "keep_alive_s": 60,
  "request_patience_s": 120,
  // A caller that does not read its paused stream for this long is disconnected.
  "reader_patience_s": 10,
  // After SIGTERM, requests are served for this long while /readyz returns 503: two health checks of
  // the load balancer.
  "drain_grace_s": 4,
  // An attempt at an upstream that sends nothing for this many seconds has failed.
  "upstream_idle_s": 15,

  // A host that was suspended and cannot reach any other host does not know whether another host has
  // taken its ordinal. false: it refuses requests until another host answers. true: it resumes serving
  // after 10 s, at the risk that a customer gets this ordinal's share of its rate twice.
  "resume_unconfirmed": false
}
)";

constexpr std::size_t minPeerKeyLength = 16;
constexpr double maxBytes = 1e9;
constexpr double maxSeconds = 86400;

Endpoint readEndpoint(JsonReader &reader, const char *key)
{
    const Result<Endpoint> endpoint = parseEndpoint(reader.text(key));
    if (!endpoint) {
        reader.reportError(key, endpoint.error().detail);
        return {};
    }
    return endpoint.value();
}

std::string readPeerKey(JsonReader &reader)
{
    constexpr const char *none = "(none)";
    std::string key = reader.text("peer_key", none);
    if (key == none)
        return {};
    if (key.size() < minPeerKeyLength)
        reader.reportError("peer_key", "must have at least 16 characters");
    return key;
}

std::string readPlatform(JsonReader &reader)
{
    std::string url = reader.text("platform");
    if (!url.starts_with("http://"))
        reader.reportError("platform", "must begin with http://");
    return url;
}

LogLevel readLevel(JsonReader &reader)
{
    const std::string level = reader.text("log_level", "info");
    if (level == "debug")
        return LogLevel::Debug;
    if (level == "info")
        return LogLevel::Info;
    if (level == "warning")
        return LogLevel::Warning;
    if (level != "error")
        reader.reportError("log_level", "must be debug, info, warning or error");
    return LogLevel::Error;
}

void readLimits(JsonReader &reader, Settings &settings)
{
    settings.maxBodyBytes = static_cast<std::uint64_t>(
            reader.number("most_body_bytes", 1, maxBytes, 1 << 20));
    settings.maxHeadBytes = static_cast<std::uint64_t>(
            reader.number("most_head_bytes", 256, maxBytes, 16384));
    settings.maxConnections = static_cast<std::uint32_t>(
            reader.number("most_connections", 1, 1e6, 4096));
    settings.maxHeldBytes = static_cast<std::uint64_t>(
            reader.number("most_held_bytes", 1, maxBytes, 32 << 20));
    settings.requestReadTimeout = fromSeconds(
            reader.number("sender_patience_s", 0.1, maxSeconds, 10));
    settings.keepAlive = fromSeconds(reader.number("keep_alive_s", 0.1, maxSeconds, 60));
    settings.defaultRequestTimeout = fromSeconds(
            reader.number("request_patience_s", 0.1, maxSeconds, 120));
    settings.callerReadTimeout = fromSeconds(
            reader.number("reader_patience_s", 0.1, maxSeconds, 10));
    settings.drainGrace = fromSeconds(reader.number("drain_grace_s", 0, maxSeconds, 4));
    settings.upstreamIdleTimeout = fromSeconds(
            reader.number("upstream_idle_s", 0.1, maxSeconds, 15));
}

} // namespace

Result<Endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    bool isPort = false;
    const int port = colon == std::string::npos
            ? 0
            : QString::fromStdString(text.substr(colon + 1)).toInt(&isPort);
    const std::string ip = text.substr(0, colon == std::string::npos ? 0 : colon);
    if (!isPort || port < 0 || port > 65535 || QHostAddress(QString::fromStdString(ip)).isNull())
        return Error{ ResultCode::SettingsInvalid,
                      "must be an IP number and a port, such as 10.0.0.1:8080" };
    return Endpoint{ ip, static_cast<std::uint16_t>(port) };
}

Result<Settings> parseSettings(std::string_view text)
{
    const Result<nlohmann::json> json = parseJsonWithComments(text, ResultCode::SettingsInvalid);
    if (!json)
        return json.error();
    std::string complaint;
    JsonReader reader(json.value(), "", complaint);
    reader.allowOnly({ "host",
                       "zone",
                       "seat",
                       "callers",
                       "peers",
                       "operations",
                       "peer_key",
                       "platform",
                       "key_prefix",
                       "charts",
                       "traffic_threads",
                       "log_level",
                       "most_body_bytes",
                       "most_head_bytes",
                       "most_connections",
                       "most_held_bytes",
                       "sender_patience_s",
                       "keep_alive_s",
                       "request_patience_s",
                       "reader_patience_s",
                       "drain_grace_s",
                       "upstream_idle_s",
                       "resume_unconfirmed" });
    Settings settings;
    settings.self.id = HostId{ reader.text("host") };
    settings.self.zone = ZoneId{ reader.text("zone") };
    settings.self.seat = SeatNumber{ static_cast<std::uint32_t>(reader.number("seat", 0, 1000)) };
    settings.self.peerAddress = reader.text("peers");
    settings.self.resumesUnconfirmed = reader.flag("resume_unconfirmed", false);
    settings.callers = readEndpoint(reader, "callers");
    settings.peers = readEndpoint(reader, "peers");
    settings.operations = readEndpoint(reader, "operations");
    settings.peerKey = readPeerKey(reader);
    settings.platform = readPlatform(reader);
    settings.keyPrefix = reader.text("key_prefix", "azurewell");
    settings.chartsDirectory = reader.text("charts");
    settings.trafficThreads = static_cast<std::uint32_t>(
            reader.number("traffic_threads", 1, 64, 2));
    settings.logLevel = readLevel(reader);
    readLimits(reader, settings);
    if (!complaint.empty())
        return Error{ ResultCode::SettingsInvalid, complaint };
    return settings;
}

Result<Settings> loadSettings(const std::string &path)
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly))
        return Error{ ResultCode::FileUnreadable, path + ": " + file.errorString().toStdString() };
    Result<Settings> settings = parseSettings(file.readAll().toStdString());
    if (!settings)
        return Error{ settings.error().code, path + ": " + settings.error().detail };
    return settings;
}

std::string_view defaultSettingsText()
{
    return defaultText;
}

} // namespace azurewell
