#include "azurewell/shell/platform_watcher.h"

#include "azurewell/http/message.h"
#include "azurewell/http/message_bounds.h"
#include "azurewell/logging/log.h"
#include "azurewell/tickets/json_reader.h"
#include "azurewell/tickets/snapshot.h"

#include <QtCore/QUrl>

#include <utility>

namespace azurewell {

namespace {

/// Limit for a confirmed ticket to be in force on all hosts.
constexpr Span propagationTimeout = std::chrono::seconds(16);

constexpr std::chrono::milliseconds retryDelay{ 1000 };
constexpr std::chrono::seconds watchTime{ 10 };

/// Timeout of a read, in addition to the time that the service may block it.
constexpr Span responseSlack = std::chrono::milliseconds(1500);

// An unresponsive service looks like one without changes: the watch, the first read after it and
// the read of the ticket must all end within the limit.
static_assert(watchTime + 3 * responseSlack + retryDelay < propagationTimeout);

} // namespace

Result<HostListRead> parseHostList(std::string_view text)
{
    const Result<nlohmann::json> json = parseJsonWithComments(text, ResultCode::MalformedBody);
    if (!json)
        return json.error();
    std::string complaint;
    JsonReader reader(json.value(), "", complaint);
    HostListRead list;
    for (JsonReader &host : reader.objects("hosts")) {
        list.hosts.push_back(ListedHost{ HostId{ host.text("id") }, ZoneId{ host.text("zone") },
                                         host.text("address"),
                                         host.text("state", "live") == "leaving" });
    }
    for (JsonReader &upstream : reader.objects("upstreams"))
        list.upstreams.push_back(ListedUpstream{ UpstreamId{ upstream.text("id") },
                                                 upstream.text("state", "live") == "leaving" });
    if (!complaint.empty())
        return Error{ ResultCode::MalformedBody, complaint };
    return list;
}

PlatformWatcher::PlatformWatcher(const Settings &hostSettings, CurrentTicket currentTicket,
                                 ReadDelay delay, EventHandler onEvent)
    : settings(hostSettings)
    , inForce(std::move(currentTicket))
    , readDelay(std::move(delay))
    , handleEvent(std::move(onEvent))
{
    this->head.key = "tickets/head";
    this->head.changed = [this](const QByteArray &value) {
        this->handleHead(value);
    };
    this->hosts.key = "hosts";
    this->hosts.changed = [this](const QByteArray &value) {
        this->handleHostList(value);
    };
}

void PlatformWatcher::start()
{
    this->watch(this->hosts);
}

/// Starts reading tickets once the host list is known: a starting host must query other hosts
/// before it trusts a configuration service that may be stale.
void PlatformWatcher::startHeadWatch()
{
    if (std::exchange(this->isWatchingHead, true))
        return;
    this->watch(this->head);
}

void PlatformWatcher::get(const QString &key, const QByteArray &query, Span wait,
                          HttpCalls::Handler handler)
{
    constexpr int defaultPort = 80;
    const QUrl url(QString::fromStdString(this->settings.platform + "/v1/kv/"
                                          + this->settings.keyPrefix + "/")
                   + key + "?raw" + QString::fromUtf8(query));
    const std::string address = url.host().toStdString() + ":"
            + std::to_string(url.port(defaultPort));
    const QString target = url.toString(QUrl::FullyEncoded | QUrl::RemoveScheme
                                        | QUrl::RemoveAuthority);
    this->calls.start(address,
                      requestBytes("GET", target.toStdString(), { { "Host", address } }, {}, false),
                      monotonicNow() + wait + responseSlack, maxTicketBytes, std::move(handler));
}

void PlatformWatcher::watch(Watch &watch)
{
    const bool isWaiting = watch.index != "0" && !watch.isProbe;
    const QByteArray known = isWaiting ? watch.index : QByteArray("0");
    const QByteArray query = "&index=" + known
            + "&wait=" + QByteArray::number(static_cast<qint64>(watchTime.count())) + 's';
    this->get(watch.key, query, isWaiting ? Span{ watchTime } : Span{},
              [this, &watch](const std::optional<CallAnswer> &answer) {
                  this->handleWatched(watch, answer);
              });
}

void PlatformWatcher::handleWatched(Watch &watch, const std::optional<CallAnswer> &answer)
{
    watch.isProbe = !isSuccess(answer);
    if (watch.isProbe) {
        writeLog(LogLevel::Debug, "platform_unreachable", { { "key", watch.key.toStdString() } });
        QTimer::singleShot(retryDelay, this, [this, &watch] { this->watch(watch); });
        return;
    }
    this->handleEvent(PlatformResponded{});
    const QByteArray index = QByteArray::fromStdString(
            std::string(headerValue(answer->head.headers, "X-Consul-Index")));
    const bool hasChanged = index != watch.index;
    watch.index = index.isEmpty() ? QByteArray("0") : index;
    if (hasChanged)
        watch.changed(QByteArray::fromStdString(answer->body));
    this->watch(watch);
}

void PlatformWatcher::handleHead(const QByteArray &value)
{
    // A service that reverts to an older index returns an older head; tickets in force stay in
    // force.
    this->newestTicket = std::max<std::uint64_t>(this->newestTicket, value.trimmed().toULongLong());
    const bool isFresh = this->inForce().value == 0 && this->newestTicket > 1;
    if (isFresh && !std::exchange(this->isSnapshotRequested, true)) {
        this->readSnapshotIndex();
        return;
    }
    const TicketNumber next{ this->inForce().value + 1 };
    this->readNextTicketAfter(
            std::chrono::duration_cast<std::chrono::milliseconds>(this->readDelay(next)));
}

void PlatformWatcher::readSnapshotIndex()
{
    this->isReadingTicket = true;
    this->get("tickets/snapshot", {}, {}, [this](const std::optional<CallAnswer> &answer) {
        this->isReadingTicket = false;
        const Result<SnapshotIndex> index = parseSnapshotIndex(isSuccess(answer) ? answer->body
                                                                                 : std::string());
        if (index)
            this->readSegment(index.value().ticket.value, 0, index.value().segments);
        else // no snapshot is published: read all tickets from the first
            this->readNextTicket();
    });
}

void PlatformWatcher::readSegment(std::uint64_t ticket, std::uint32_t segment, std::uint32_t count)
{
    if (segment >= count || this->inForce().value >= ticket) { // may have been received from a peer
        this->readNextTicket();
        return;
    }
    this->isReadingTicket = true;
    const QString key = QString("tickets/segments/%1/%2").arg(ticket).arg(segment);
    this->get(key, {}, {}, [this, ticket, segment, count](const std::optional<CallAnswer> &answer) {
        this->isReadingTicket = false;
        const bool isRead = isSuccess(answer);
        if (isRead)
            this->handleEvent(SnapshotRead{ answer->body });
        this->readSegment(ticket, isRead ? segment + 1 : count, count);
    });
}

void PlatformWatcher::readNextTicketAfter(std::chrono::milliseconds delay)
{
    QTimer::singleShot(delay, this, [this] { this->readNextTicket(); });
}

void PlatformWatcher::readNextTicket()
{
    const std::uint64_t next = this->inForce().value + 1;
    if (this->isReadingTicket || next > this->newestTicket)
        return;
    this->isReadingTicket = true;
    const QString key = "tickets/" + QString::number(next);
    this->get(key, {}, {}, [this, next](const std::optional<CallAnswer> &answer) {
        this->isReadingTicket = false;
        if (isSuccess(answer))
            this->handleEvent(TicketRead{ answer->body });
        const bool isApplied = this->inForce().value >= next;
        this->readNextTicketAfter(isApplied ? std::chrono::milliseconds{} : retryDelay);
    });
}

void PlatformWatcher::handleHostList(const QByteArray &value)
{
    const Result<HostListRead> list = parseHostList(value.toStdString());
    if (!list) {
        writeLog(LogLevel::Warning, "host_list_refused", { { "reason", list.error().detail } });
        return;
    }
    this->handleEvent(list.value());
    this->startHeadWatch();
}

} // namespace azurewell
