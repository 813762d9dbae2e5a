#include "azurewell/http/clock.h"
#include "azurewell/logging/log.h"
#include "azurewell/proxy/proxy.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace azurewell {
namespace {

using namespace gateway;

constexpr const char *loopback = "127.0.0.1";
const ServiceId service{ "desk" };
const UpstreamId upstreamId{ "d1" };

/// A wire format with the fewest headers.
const WireFormat &plainFormat()
{
    static const WireFormat format{
        [](const RequestHead &line) -> Result<RequestArrived> {
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
        [](const ResponseHead &, const std::string &) { return true; },
        [](const ResponseHead &head) {
            ReplyFacts facts;
            facts.isAttested = headerCount(head.headers, "Signature") > 0;
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

template <typename Condition>
bool waitFor(Condition condition)
{
    constexpr qint64 maxMillis = 5000;
    QElapsedTimer timer;
    timer.start();
    bool isMet = condition();
    while (!isMet && timer.elapsed() < maxMillis) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
        isMet = condition();
    }
    return isMet;
}

/// One end of a connection that the test reads and writes.
class Peer
{
public:
    Peer() = default;
    explicit Peer(UniqueFd connection)
        : descriptor(std::move(connection))
    {
    }

    /// The returned end is not connected if \a to accepts no connection.
    static Peer connectTo(const Endpoint &to)
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

    void send(const std::string &text)
    {
        ::send(this->descriptor.get(), text.data(), text.size(), MSG_NOSIGNAL);
    }

    /// Waits until \a text was received.
    bool receives(const std::string &text)
    {
        return waitFor([&] {
            this->read();
            return this->received.find(text) != std::string::npos;
        });
    }

    bool isClosedByOtherEnd()
    {
        return waitFor([&] {
            this->read();
            return this->isEnded;
        });
    }

    void close()
    {
        this->descriptor = UniqueFd();
    }

    void reset()
    {
        const linger now{ 1, 0 };
        ::setsockopt(this->descriptor.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        this->descriptor = UniqueFd();
    }

    std::string received;
    bool isReset = false;

private:
    void read()
    {
        char block[4096];
        const ssize_t count = ::recv(this->descriptor.get(), block, sizeof block, MSG_DONTWAIT);
        if (count > 0)
            this->received.append(block, static_cast<std::size_t>(count));
        this->isEnded = this->isEnded || count == 0
                || (count < 0 && errno != EAGAIN && errno != EINTR);
        this->isReset = this->isReset || (count < 0 && errno == ECONNRESET);
    }

    UniqueFd descriptor;
    bool isEnded = false;
};

/// A caller, a host without a path to the upstream, a host with one, and the upstream.
class ForwardingSocketsTest : public testing::Test
{
protected:
    void SetUp() override
    {
        Result<UniqueFd> socket = openListenSocket({ loopback, 0 });
        ASSERT_TRUE(socket);
        this->listening = std::move(socket.value());
        this->startHost(this->cutOff, "cut");
        this->startHost(this->serving, "serving");
        ASSERT_TRUE(this->cutOff && this->serving);
        this->introduce(*this->cutOff, *this->serving);
        this->introduce(*this->serving, *this->cutOff);
        UpstreamPath &path = this->cutOff->state().paths[service];
        path.state = PathState::Lost;
        path.nextRoundAt = never;
    }

    /// Starts a host on ports that are free, which another process may take meanwhile.
    void startHost(std::unique_ptr<Proxy> &host, const std::string &name)
    {
        constexpr int maxTries = 20;
        for (int attempt = 0; attempt < maxTries; ++attempt) {
            ProxySettings settings;
            settings.self.id.value = name;
            settings.self.zone.value = "z";
            settings.self.address = freeEndpoint();
            settings.self.incarnation.value = 1;
            settings.self.stopGrace = std::chrono::seconds(8);
            settings.callers = freeEndpoint();
            settings.readiness = freeEndpoint();
            settings.metrics = freeEndpoint();
            settings.chartsDirectory = AZUREWELL_CHARTS_DIR;
            std::unique_ptr<Proxy> candidate = std::make_unique<Proxy>(settings, plainFormat());
            if (!candidate->start())
                continue;
            this->callersOf[name] = settings.callers;
            this->configure(candidate->state());
            host = std::move(candidate);
            return;
        }
    }

    void configure(GatewayState &state)
    {
        Configuration configuration;
        configuration.version = 1;
        configuration.routes = { routeOf("/file", RepeatPolicy::NonIdempotent),
                                 routeOf("/stream", RepeatPolicy::Stream) };
        configuration.services = { { service, {}, 0, {} } };
        Customer customer;
        customer.id.value = "c";
        customer.keys = { KeyHash{ "secret" } };
        configuration.customers = { customer };
        setConfiguration(state, configuration);
        ListedUpstream listed;
        listed.id = upstreamId;
        listed.service = service;
        listed.address = { loopback, portOf(this->listening) };
        listUpstream(state, listed, monotonicNow());
    }

    static Route routeOf(const std::string &prefix, RepeatPolicy repeat)
    {
        Route route;
        route.host = "h";
        route.prefix = prefix;
        route.repeat = repeat;
        route.timeout = std::chrono::seconds(4);
        route.objective = std::chrono::seconds(1);
        route.services = { { service, 1.0 } };
        return route;
    }

    static void introduce(Proxy &to, Proxy &other)
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

    Peer ask(const std::string &path, const std::string &body = "body")
    {
        Peer caller = Peer::connectTo(this->callersOf["cut"]);
        caller.send("POST " + path
                    + " HTTP/1.1\r\nHost: h\r\nKey: secret\r\nId: 7\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body);
        return caller;
    }

    /// Accepts the connection at the upstream and waits for the whole request.
    bool acceptAtUpstream(const std::string &end = "body")
    {
        const auto isAccepted = [this] {
            const int fd = ::accept4(this->listening.get(), nullptr, nullptr,
                                     SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd >= 0)
                this->upstream = Peer(UniqueFd(fd));
            return fd >= 0;
        };
        return waitFor(isAccepted) && this->upstream.receives(end);
    }

    UniqueFd listening;
    std::unique_ptr<Proxy> cutOff;
    std::unique_ptr<Proxy> serving;
    std::map<std::string, Endpoint> callersOf;
    Peer upstream;
};

TEST_F(ForwardingSocketsTest, TheAnswerOfAnUpstreamReachesTheCallerWhole)
{
    Peer caller = this->ask("/file");
    ASSERT_TRUE(this->acceptAtUpstream());
    EXPECT_NE(this->upstream.received.find("Customer: c"), std::string::npos);
    EXPECT_EQ(this->upstream.received.find("secret"), std::string::npos);
    EXPECT_EQ(this->upstream.received.find("Azurewell"), std::string::npos);
    this->upstream.send("HTTP/1.1 200 OK\r\nSignature: s\r\nId: 7\r\nAzurewell-Refusal: x\r\n"
                        "Content-Length: 4\r\n\r\ndone");
    ASSERT_TRUE(caller.receives("done"));
    EXPECT_EQ(caller.received.find("HTTP/1.1 200 OK"), 0U);
    EXPECT_NE(caller.received.find("Signature: s"), std::string::npos);
    EXPECT_EQ(caller.received.find("Azurewell"), std::string::npos);
}

TEST_F(ForwardingSocketsTest, EventsOfAStreamArriveOneByOne)
{
    Peer caller = this->ask("/stream");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->upstream.send("HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "5\r\nfirst\r\n");
    EXPECT_TRUE(caller.receives("first"));
    this->upstream.send("6\r\nsecond\r\n");
    EXPECT_TRUE(caller.receives("second"));
    EXPECT_EQ(caller.received.find("0\r\n\r\n"), std::string::npos);
    this->upstream.send("0\r\n\r\n");
    EXPECT_TRUE(caller.receives("0\r\n\r\n"));
}

// Guards against a part of an answer that looks complete to the caller.
TEST_F(ForwardingSocketsTest, AStreamThatBreaksOffDoesNotLookComplete)
{
    Peer caller = this->ask("/stream");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->upstream.send("HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "5\r\nfirst\r\n");
    EXPECT_TRUE(caller.receives("first"));
    this->upstream.reset();
    EXPECT_TRUE(caller.isClosedByOtherEnd());
    EXPECT_TRUE(caller.isReset);
    EXPECT_EQ(caller.received.find("0\r\n\r\n"), std::string::npos);
}

// Guards against work that goes on for nobody.
TEST_F(ForwardingSocketsTest, ACallerThatLeavesEndsTheRequestAtTheUpstream)
{
    Peer caller = this->ask("/file");
    ASSERT_TRUE(this->acceptAtUpstream());
    caller.close();
    EXPECT_TRUE(this->upstream.isClosedByOtherEnd());
}

// Guards against a second run of a request that is not idempotent.
TEST_F(ForwardingSocketsTest, ARequestThatMayHaveRunAtTheOtherHostIsNotSentAgain)
{
    Peer caller = this->ask("/file");
    ASSERT_TRUE(this->acceptAtUpstream());
    this->upstream.reset();
    ASSERT_TRUE(caller.receives("outcome_unknown"));
    EXPECT_EQ(caller.received.find("HTTP/1.1 502"), 0U);
}

TEST_F(ForwardingSocketsTest, ARefusalOfTheOtherHostIsPassedOn)
{
    UpstreamPath &path = this->serving->state().paths[service];
    path.state = PathState::Lost;
    path.nextRoundAt = never;
    Peer caller = this->ask("/file");
    ASSERT_TRUE(caller.receives("upstreams_unreachable"));
    EXPECT_EQ(caller.received.find("HTTP/1.1 503"), 0U);
    EXPECT_NE(caller.received.find("Retry-After"), std::string::npos);
}

// Guards against requests that something other than a host sends to the port between hosts.
TEST_F(ForwardingSocketsTest, AConnectionFromAnAddressOfNoMemberIsRejected)
{
    this->serving->state().members.others.clear();
    Peer stranger = Peer::connectTo(this->serving->state().self.address);
    stranger.send("POST /file HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(stranger.isClosedByOtherEnd());
    EXPECT_TRUE(stranger.received.empty());
}

TEST_F(ForwardingSocketsTest, ARequestOfAMemberThatSaysNothingOfItsForwardIsRefused)
{
    Peer member = Peer::connectTo(this->serving->state().self.address);
    member.send("POST /file HTTP/1.1\r\nHost: h\r\nKey: secret\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(member.receives("message_invalid"));
}

} // namespace
} // namespace azurewell

int main(int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    azurewell::setUpLog(azurewell::LogLevel::Error, "test");
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
