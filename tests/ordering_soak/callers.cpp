#include "callers.h"

#include "azurewell/http/clock.h"
#include "counterpart.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace azurewell::soak {

namespace {

constexpr Span allowedTime = std::chrono::seconds(8);
constexpr int maxAttempts = 3;
constexpr std::chrono::milliseconds retryDelay{ 300 };

/// The popular adapters change after this time, so that there is always something to load.
constexpr Span popularityPeriod = std::chrono::seconds(5);

/// A close arrives at the host at once only behind no more than its kernel takes without reading.
constexpr std::size_t maxBehindClose = 1;

/// Length of a wave of requests.
constexpr Span waveLength = std::chrono::milliseconds(1500);

/// Exponent of the popularity by rank: a few adapters get most of the requests.
constexpr double popularityExponent = 0.9;

} // namespace

Callers::Callers(CallerSettings callerSettings, std::vector<Endpoint> hostEndpoints)
    : settings(callerSettings)
    , hosts(std::move(hostEndpoints))
    , random(callerSettings.seed)
{
    QObject::connect(&this->ticker, &QTimer::timeout, [this] { this->tick(); });
}

void Callers::start()
{
    this->startedAt = monotonicNow();
    this->nextAt = this->startedAt;
    this->ticker.setTimerType(Qt::PreciseTimer);
    this->ticker.start(std::chrono::milliseconds(5));
}

void Callers::stop()
{
    this->isStopped = true;
}

Span Callers::period() const
{
    return this->settings.quiet > Span{} ? waveLength + this->settings.quiet : popularityPeriod;
}

Instant Callers::afterQuiet(Instant at) const
{
    const Span inPeriod = (at - this->startedAt) % this->period();
    const bool isQuiet = this->settings.quiet > Span{} && inPeriod > waveLength;
    return isQuiet ? at + (this->period() - inPeriod) : at;
}

std::string Callers::drawAdapter(Instant now)
{
    std::vector<double> weights;
    for (std::size_t rank = 0; rank < this->settings.adapters; ++rank)
        weights.push_back(1 / std::pow(static_cast<double>(rank + 1), popularityExponent));
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    const std::size_t period = static_cast<std::size_t>((now - this->startedAt) / this->period());
    const std::size_t shift = period * (this->settings.adapters / 3 + 1);
    return fmt::format("a{}", 1 + (draw(this->random) + shift) % this->settings.adapters);
}

void Callers::tick()
{
    const Instant now = monotonicNow();
    std::exponential_distribution<double> gap(this->settings.requestsPerSecond);
    while (!this->isStopped && this->nextAt <= now) {
        this->nextAt = this->afterQuiet(this->nextAt + fromSeconds(gap(this->random)));
        Request request;
        request.id = fmt::format("{:016x}", this->random());
        request.adapter = this->drawAdapter(now);
        request.deadline = now + allowedTime;
        ++this->counts.requests;
        ++this->waiting;
        this->send(std::move(request));
    }
    for (const std::unique_ptr<Connection> &connection : this->connections) {
        if (connection->isBusy && connection->leavesAt != Instant{} && now >= connection->leavesAt)
            this->leave(*connection, now);
        if (connection->isBusy && now >= connection->answerDeadline) {
            connection->stream->abort();
            this->handleEnd(*connection);
        }
    }
    std::erase_if(this->connections, [](const std::unique_ptr<Connection> &connection) {
        return connection->isClosed;
    });
}

Callers::Connection &Callers::connectionTo(std::size_t host)
{
    const auto idle = std::find_if(this->connections.begin(), this->connections.end(),
                                   [host](const std::unique_ptr<Connection> &connection) {
                                       return connection->host == host && !connection->isBusy
                                               && !connection->isClosed;
                                   });
    if (idle != this->connections.end())
        return **idle;
    this->connections.push_back(std::make_unique<Connection>());
    Connection &connection = *this->connections.back();
    connection.host = host;
    connection.stream = TcpStream::open(
            this->hosts[host],
            { {},
              [this, &connection] { this->receive(connection); },
              [this, &connection](StreamEnd) { this->handleEnd(connection); },
              {} });
    return connection;
}

void Callers::send(Request request)
{
    std::uniform_int_distribution<std::size_t> draw(0, this->hosts.size() - 1);
    const Instant now = monotonicNow();
    Connection &connection = this->connectionTo(draw(this->random));
    ++request.attempts;
    connection.isBusy = true;
    connection.reader = ResponseReader(false);
    connection.answerDeadline = request.deadline;
    connection.stream->write(
            platform::testing::callerRequest(request.id, request.adapter, request.deadline - now));
    connection.request = std::move(request);
    if (connection.request.attempts == 1 && this->drawsLeaving())
        this->sendBehind(connection, now);
}

bool Callers::drawsLeaving()
{
    if (this->settings.leavingShare <= 0)
        return false;
    return std::bernoulli_distribution(this->settings.leavingShare)(this->random);
}

/// Sends the next whole request and a number of bytes behind the open one, which the caller will
/// not wait for.
void Callers::sendBehind(Connection &connection, Instant now)
{
    constexpr std::array<std::size_t, 5> sizes{ 0, 1, 64ULL * 1024, 300'000, 2ULL * 1024 * 1024 };
    std::uniform_int_distribution<std::size_t> drawSize(0, sizes.size() - 1);
    std::uniform_int_distribution<std::int64_t> drawMillis(1, 600);
    connection.nextId = fmt::format("{:016x}", this->random());
    connection.leavesAt = now + std::chrono::milliseconds(drawMillis(this->random));
    const std::size_t size = sizes.at(drawSize(this->random));
    const bool isReset = std::bernoulli_distribution()(this->random);
    connection.isReset = isReset || size > maxBehindClose;
    connection.stream->write(platform::testing::callerRequest(
            connection.nextId, connection.request.adapter, allowedTime));
    connection.stream->write(std::string(size, 'x'));
}

void Callers::leave(Connection &connection, Instant now)
{
    this->departures.leftAt[connection.request.id] = now;
    this->departures.leftAt[connection.nextId] = now;
    connection.isBusy = false;
    connection.isClosed = true;
    if (connection.isReset)
        connection.stream->abort();
    ++this->counts.left;
    --this->waiting;
}

void Callers::receive(Connection &connection)
{
    if (connection.isClosed)
        return;
    const Result<bool> isWhole = connection.reader.read(connection.stream->received());
    connection.reader.takeBody();
    if (isWhole && !isWhole.value())
        return;
    if (isWhole && connection.isBusy) {
        this->handleAnswer(connection);
        return;
    }
    connection.stream->abort();
    this->handleEnd(connection);
}

void Callers::handleAnswer(Connection &connection)
{
    const ResponseHead &head = connection.reader.head();
    connection.isBusy = false;
    const bool isServed = head.status == 200 && platform::testing::isEngineAnswer(head);
    const bool isLeaving = connection.leavesAt != Instant{};
    if (isLeaving)
        this->departures.leftAt[connection.nextId] = monotonicNow();
    if (!head.keepsConnection || isLeaving) {
        connection.isClosed = true;
        connection.stream->abort();
    }
    if (!isServed) {
        this->retry(std::move(connection.request));
        return;
    }
    ++this->counts.served;
    --this->waiting;
}

void Callers::handleEnd(Connection &connection)
{
    connection.isClosed = true;
    if (!std::exchange(connection.isBusy, false))
        return;
    if (connection.reader.isHeadRead() || monotonicNow() >= connection.request.deadline) {
        ++this->counts.brokenOff;
        --this->waiting;
        return;
    }
    this->retry(std::move(connection.request));
}

void Callers::retry(Request request)
{
    if (request.attempts >= maxAttempts || monotonicNow() + retryDelay >= request.deadline) {
        ++this->counts.refused;
        --this->waiting;
        return;
    }
    QTimer::singleShot(retryDelay, &this->context,
                       [this, request = std::move(request)] { this->send(request); });
}

} // namespace azurewell::soak
