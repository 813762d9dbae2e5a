#include "two_hosts.h"

#include "azurewell/http/clock.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace azurewell {

using namespace gateway;

namespace {

constexpr const char *loopback = "127.0.0.1";
const UpstreamId upstreamId{ "d1" };

Span requestCost{};

void spend(Span time)
{
    const Instant until = monotonicNow() + time;
    while (monotonicNow() < until) {}
}

/// A wire format with the fewest headers.
const WireFormat &plainFormat()
{
    static const WireFormat format{
        [](const RequestHead &line) -> Result<RequestArrived> {
            spend(requestCost);
            RequestArrived request;
            request.host = "h";
            request.path = line.target;
            request.callerId = headerValue(line.headers, "Id");
            if (headerCount(line.headers, "Key") > 0)
                request.key = KeyHash{ std::string(headerValue(line.headers, "Key")) };
            return request;
        },
        [](const RequestHead &line, const Dispatch &dispatch) {
            std::vector<HttpHeader> headers = endToEndHeaders(line.headers);
            headers.push_back({ "Customer", dispatch.customer.value });
            return headers;
        },
        [](const RequestHead &line) {
            std::vector<HttpHeader> headers = endToEndHeaders(line.headers);
            std::erase_if(headers, [](const HttpHeader &header) { return header.name == "Key"; });
            return headers;
        },
        [](const ResponseHead &head, const std::string &callerId) {
            const std::string_view id = headerValue(head.headers, "Id");
            return id.empty() || id == callerId;
        },
        [](const ResponseHead &head) { return headerCount(head.headers, "Id") == 0; },
        [](const ResponseHead &head, const std::string &) {
            ReplyFacts facts;
            facts.isNotRun = headerCount(head.headers, "Not-Run") > 0;
            facts.isAttested = headerCount(head.headers, "Signature") > 0;
            facts.isFault = head.status >= 500;
            return facts;
        },
        [](const ResponseHead &, const UpstreamId &) { return UpstreamStatements(); },
        [](const QueryReport &) { return std::string(); },
        [](const QueryReport &, const ResponseHead &, std::string_view) {
            return std::optional<EngineState>();
        },
        [](const OrderEngine &, const HostId &) { return std::string(); },
        [](const ResponseHead &) { return OrderOutcome::Refused; },
    };
    return format;
}

std::uint16_t portOf(const UniqueFd &socket)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    ::getsockname(socket.get(), reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

Endpoint freeEndpoint()
{
    const Result<UniqueFd> socket = openListenSocket({ loopback, 0 });
    return { loopback, socket ? portOf(socket.value()) : std::uint16_t{} };
}

Route routeOf(const std::string &prefix, RepeatPolicy repeat)
{
    Route route;
    route.host = "h";
    route.prefix = prefix;
    route.repeat = repeat;
    route.timeout = std::chrono::seconds(4);
    route.objective = std::chrono::seconds(1);
    route.maxAttempts = repeat == RepeatPolicy::Idempotent ? 2 : 1;
    route.services = { { deskService, 1.0 } };
    return route;
}

void introduce(Proxy &to, Proxy &other)
{
    Gossip message;
    message.from = other.state().self.id;
    message.zone = other.state().self.zone;
    message.address = other.state().self.address;
    message.incarnation = other.state().self.incarnation;
    Actions actions;
    handle(to.state(), message, monotonicNow(), actions);
    to.run(actions);
}

} // namespace

bool waitFor(const std::function<bool()> &condition)
{
    constexpr qint64 maxMillis = 8000;
    QElapsedTimer timer;
    timer.start();
    bool isMet = condition();
    while (!isMet && timer.elapsed() < maxMillis) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
        isMet = condition();
    }
    return isMet;
}

Peer::Peer(UniqueFd connection)
    : descriptor(std::move(connection))
{
}

Peer Peer::connectTo(const Endpoint &to)
{
    UniqueFd connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
    const int result = ::connect(connection.get(), reinterpret_cast<const sockaddr *>(&address),
                                 sizeof address);
    return result == 0 ? Peer(std::move(connection)) : Peer();
}

void Peer::send(const std::string &text)
{
    ::send(this->descriptor.get(), text.data(), text.size(), MSG_NOSIGNAL);
}

std::size_t Peer::sendWhatFits(const std::string &text)
{
    const ssize_t count = ::send(this->descriptor.get(), text.data(), text.size(),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

bool Peer::receives(const std::string &text)
{
    return waitFor([&] { return this->hasReceived(text); });
}

bool Peer::hasReceived(const std::string &text)
{
    this->read();
    return this->received.find(text) != std::string::npos;
}

bool Peer::isClosedByOtherEnd()
{
    return waitFor([&] {
        this->read();
        return this->isEnded;
    });
}

void Peer::close()
{
    this->descriptor = UniqueFd();
}

void Peer::shutdownWriting()
{
    ::shutdown(this->descriptor.get(), SHUT_WR);
}

std::size_t Peer::countReceived(const std::string &text)
{
    std::size_t before = 0;
    do {
        before = this->received.size();
        this->read();
    } while (this->received.size() != before);
    std::size_t count = 0;
    for (std::size_t at = this->received.find(text); at != std::string::npos;
         at = this->received.find(text, at + text.size()))
        ++count;
    return count;
}

void Peer::reset()
{
    const linger now{ 1, 0 };
    ::setsockopt(this->descriptor.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    this->descriptor = UniqueFd();
}

void Peer::read()
{
    char block[4096];
    const ssize_t count = ::recv(this->descriptor.get(), block, sizeof block, MSG_DONTWAIT);
    if (count > 0)
        this->received.append(block, static_cast<std::size_t>(count));
    this->isEnded = this->isEnded || count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
    this->isReset = this->isReset || (count < 0 && errno == ECONNRESET);
}

void TwoHostsTest::SetUp()
{
    Result<UniqueFd> socket = openListenSocket({ loopback, 0 });
    ASSERT_TRUE(socket);
    this->listening = std::move(socket.value());
    this->startHost(this->cutOff, "cut");
    this->startHost(this->serving, "serving");
    ASSERT_TRUE(this->cutOff && this->serving);
    introduce(*this->cutOff, *this->serving);
    introduce(*this->serving, *this->cutOff);
    UpstreamPath &path = this->cutOff->state().paths[deskService];
    path.state = PathState::Lost;
    path.nextRoundAt = never;
}

void TwoHostsTest::startHost(std::unique_ptr<Proxy> &host, const std::string &name)
{
    constexpr int maxTries = 20;
    for (int attempt = 0; attempt < maxTries; ++attempt) {
        ProxySettings settings;
        settings.self.id.value = name;
        settings.self.zone.value = "z";
        settings.self.address = freeEndpoint();
        settings.self.incarnation.value = 1;
        settings.self.stopGrace = this->stopGrace;
        settings.callers = freeEndpoint();
        settings.readiness = freeEndpoint();
        settings.metrics = freeEndpoint();
        settings.chartsDirectory = AZUREWELL_CHARTS_DIR;
        std::unique_ptr<Proxy> candidate = std::make_unique<Proxy>(settings, plainFormat());
        if (!candidate->start())
            continue;
        this->callersOf[name] = settings.callers;
        this->readinessOf[name] = settings.readiness;
        this->configure(candidate->state());
        host = std::move(candidate);
        return;
    }
}

void TwoHostsTest::setRequestCost(Span cost)
{
    requestCost = cost;
}

Endpoint TwoHostsTest::upstreamAddress() const
{
    return { loopback, portOf(this->listening) };
}

void TwoHostsTest::configure(GatewayState &state)
{
    Configuration configuration;
    configuration.version = 1;
    configuration.routes = { routeOf("/file", RepeatPolicy::NonIdempotent),
                             routeOf("/stream", RepeatPolicy::Stream),
                             routeOf("/look", RepeatPolicy::Idempotent) };
    configuration.services = { { deskService, {}, 0, {} } };
    Customer customer;
    customer.id.value = "c";
    customer.keys = { KeyHash{ "secret" } };
    configuration.customers = { customer };
    setConfiguration(state, configuration);
    this->listAtUpstream(state, upstreamId);
}

void TwoHostsTest::listAtUpstream(GatewayState &state, const UpstreamId &id) const
{
    ListedUpstream listed;
    listed.id = id;
    listed.service = deskService;
    listed.address = this->upstreamAddress();
    listUpstream(state, listed, monotonicNow());
}

Peer TwoHostsTest::ask(const std::string &host, const std::string &path, const std::string &body,
                       const std::string &version)
{
    Peer caller = this->connect(host);
    caller.send("POST " + path + " " + version
                + "\r\nHost: h\r\nKey: secret\r\nId: 7\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body);
    return caller;
}

bool TwoHostsTest::acceptNext(Peer &connection)
{
    const int fd = ::accept4(this->listening.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0)
        connection = Peer(UniqueFd(fd));
    return fd >= 0;
}

bool TwoHostsTest::acceptAtUpstream(const std::string &end)
{
    return waitFor([this] { return this->acceptNext(this->upstream); })
            && this->upstream.receives(end);
}

bool TwoHostsTest::acceptAllAtUpstream(std::size_t count)
{
    return waitFor([this, count] {
        Peer connection;
        while (this->acceptNext(connection))
            this->upstreams.push_back(std::move(connection));
        return this->upstreams.size() >= count;
    });
}

} // namespace azurewell
