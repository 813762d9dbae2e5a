#include "client_crowd.h"
#include "node_fleet.h"

#include "azurewell/http/clock.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <list>
#include <ostream>
#include <random>
#include <vector>

namespace azurewell::tests {

using namespace platform::testing;

namespace {

constexpr std::int64_t bytesInMegabyte = 1000LL * 1000;
constexpr std::size_t maxBodyBytes = 4ULL * 1024 * 1024;
constexpr std::uint16_t metricsPort = internalPort + 1;

/// A machine of half the memory of the smallest one in use, so that a small crowd fills it.
constexpr std::uint32_t memoryMegabytes = 64;

/// Sockets that a process of a machine may have open, beside 200 descriptors for files.
constexpr std::uint32_t maxSockets = 200;
constexpr std::uint32_t fileDescriptors = 200;

constexpr Span patience = std::chrono::seconds(20);

std::string repeat(const std::string &text, std::size_t leastBytes)
{
    std::string repeated;
    while (repeated.size() < leastBytes)
        repeated += text;
    return repeated;
}

std::string postHead(const std::string &path, const std::string &headers)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 00000000000000aa\r\n"
            + headers + "\r\n";
}

std::string chunkOf(std::size_t bytes)
{
    return fmt::format("{:x}\r\n", bytes) + std::string(bytes, 'a') + "\r\n";
}

QByteArray headerOf(const Answer &answer, const char *name)
{
    const auto found = answer.headers.find(name);
    return found == answer.headers.end() ? QByteArray() : found->second;
}

constexpr std::size_t blockBytes = 64ULL * 1024;
const std::string block(blockBytes, 'a');
const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string longest = fmt::format("Content-Length: {}\r\n", maxBodyBytes);
const std::string farTooLong = "Content-Length: 4000000000\r\n";

/// A crowd without its address.
struct Case
{
    Crowd crowd;
    std::uint16_t port = callerPort;
};

std::ostream &operator<<(std::ostream &out, const Case &given)
{
    return out << given.crowd.name;
}

std::vector<Case> cases()
{
    constexpr std::size_t clients = 24;
    constexpr std::size_t manyClients = 384;
    constexpr std::size_t shortOfEnd = maxBodyBytes - blockBytes;
    constexpr std::size_t farOver = 4 * maxBodyBytes;
    // Each 4 bytes of a body come as 9.
    constexpr std::size_t shortOfEndInSmallChunks = shortOfEnd / 4 * 9;
    const std::string largeChunk = chunkOf(blockBytes);
    const std::string smallChunks = repeat(chunkOf(4), blockBytes);
    const std::string get = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string body = postHead("/r/x", longest);
    const std::string asking = postHead("/r/x", longest + "Expect: 100-continue\r\n");
    const std::string toNobody = postHead("/silent/x", longest);
    const std::string inChunks = postHead("/r/x", chunked);
    return {
        { { "LargeChunksShortOfTheirEnd", {}, clients, inChunks, largeChunk, shortOfEnd } },
        { { "SmallChunksShortOfTheirEnd",
            {},
            clients,
            inChunks,
            smallChunks,
            shortOfEndInSmallChunks } },
        { { "BodiesShortOfTheirLength", {}, clients, body, block, shortOfEnd } },
        { { "BodiesThatWereAskedFor", {}, 2 * clients, asking, block, shortOfEnd } },
        { { "ChunksWithoutEnd", {}, clients, inChunks, largeChunk, farOver } },
        { { "BodiesFarOverTheLimit", {}, clients, postHead("/r/x", farTooLong), block, farOver } },
        { { "ManyBeginningsOfBodies", {}, manyClients, body, block, 4 * blockBytes } },
        { { "WholeBodiesThatWaitForAServer", {}, clients, toNobody, block, maxBodyBytes } },
        { { "BodiesSentToReadiness", {}, clients, body, block, shortOfEnd }, readinessPort },
        { { "BodiesSentToMetrics", {}, clients, body, block, shortOfEnd }, metricsPort },
        { { "UnreadMetrics", {}, 8, "", repeat(get, blockBytes), 2 * blockBytes }, metricsPort },
        { { "UnreadLongAnswers",
            {},
            clients,
            "GET /long/x HTTP/1.1\r\nHost: h.example\r\n\r\n",
            "",
            0,
            true } },
    };
}

} // namespace

/// One host process that serves an ordinary route beside a crowd.
class ClientCrowds : public testing::Test
{
protected:
    void startHost()
    {
        PlainConfiguration configuration;
        configuration.routes = { { "/r/", "s" }, { "/silent/", "silent" }, { "/long/", "long" } };
        configuration.routeTimeout = patience;
        configuration.requestTimeout = patience;
        for (const char *service : { "s", "silent", "long" }) {
            this->fleet.addServer(service);
            this->fleet.writeEntry(*this->fleet.servers.back());
        }
        this->fleet.servers[1]->isSilent = true;
        this->fleet.servers[2]->answerBytes = 2 * maxBodyBytes - blockBytes;
        this->fleet.write(configuration);
        this->fleet.startHost(0, true);
        ASSERT_TRUE(waitUntil([this] { return this->fleet.status(0, "/r/") == 200; }));
    }

    /// Waits until \a crowd has sent, while the store and the servers answer.
    static void await(const ClientCrowd &crowd)
    {
        while (!crowd.hasSent())
            runUntil(monotonicNow() + std::chrono::milliseconds(20));
    }

    /// The status of one request with a body of \a bodyBytes on the ordinary route.
    int ask(std::size_t bodyBytes) const
    {
        Caller caller(callerPort, QString::fromStdString(this->fleet.hostIp(0)));
        const std::string length = fmt::format("Content-Length: {}\r\n", bodyBytes);
        caller.write(QByteArray::fromStdString(postHead("/r/x", length)));
        caller.write(QByteArray(static_cast<qsizetype>(bodyBytes), 'a'));
        return caller.answer().status;
    }

    /// Waits until the connections of a crowd have ended at the host, too.
    bool waitUntilAlone(std::size_t ownSockets) const
    {
        return waitUntil([this, ownSockets] {
            const std::size_t count = openSockets(this->fleet.processId(0));
            return count > 0 && count <= ownSockets;
        });
    }

    std::int64_t peakBytes() const
    {
        return peakResidentBytes(this->fleet.processId(0));
    }

    NodeFleet fleet;
};

class MemoryOfAHost : public ClientCrowds, public testing::WithParamInterface<Case>
{
};

// Guards against clients that end a process, as what it holds for them exceeds its machine's
// memory, or that leave it nothing for ordinary callers.
TEST_P(MemoryOfAHost, IsNotFilledBy)
{
    this->fleet.memoryMegabytes = memoryMegabytes;
    ASSERT_NO_FATAL_FAILURE(this->startHost());
    Crowd crowd = GetParam().crowd;
    crowd.to = { this->fleet.hostIp(0), GetParam().port };
    const std::int64_t before = this->peakBytes();
    const std::size_t ownSockets = openSockets(this->fleet.processId(0));
    {
        const ClientCrowd clients(crowd);
        await(clients);
        EXPECT_EQ(this->ask(0), 200);
        EXPECT_TRUE(this->fleet.isReady(0));
    }
    EXPECT_TRUE(this->waitUntilAlone(ownSockets));
    EXPECT_EQ(this->ask(maxBodyBytes), 200);
    fmt::print("{}: {:.1f} MB at most, {:.1f} before\n", crowd.name,
               static_cast<double>(this->peakBytes()) / 1e6, static_cast<double>(before) / 1e6);
    EXPECT_GT(this->peakBytes(), 0);
    EXPECT_LE(this->peakBytes(), memoryMegabytes * bytesInMegabyte);
}

INSTANTIATE_TEST_SUITE_P(Crowds, MemoryOfAHost, testing::ValuesIn(cases()),
                         [](const auto &given) { return std::string(given.param.crowd.name); });

// Guards against a refusal for want of memory that doesn't say that the request has not run, or of
// a request that reaches a server all the same.
TEST_F(ClientCrowds, ARefusedRequestHasNotRunAndIsToldSo)
{
    this->fleet.memoryMegabytes = memoryMegabytes;
    ASSERT_NO_FATAL_FAILURE(this->startHost());
    const std::uint64_t requestsBefore = this->fleet.servers.front()->requests;
    Caller first(callerPort, QString::fromStdString(this->fleet.hostIp(0)));
    first.write(QByteArray::fromStdString(postHead("/r/x", longest)));
    first.write(QByteArray(static_cast<qsizetype>(maxBodyBytes - blockBytes), 'a'));
    constexpr std::size_t clients = 24;
    const ClientCrowd crowd(Crowd{ "shorter bodies",
                                   { this->fleet.hostIp(0), callerPort },
                                   clients,
                                   postHead("/r/x", longest),
                                   block,
                                   maxBodyBytes / 2 });
    await(crowd);
    const Answer answer = first.answer();
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.body.contains("not_run"));
    EXPECT_GT(headerOf(answer, "retry-after").toDouble(), 0);
    EXPECT_EQ(headerOf(answer, "connection"), "close");
    EXPECT_EQ(this->fleet.servers.front()->requests, requestsBefore);
}

class CrowdsAtOnce : public ClientCrowds, public testing::WithParamInterface<unsigned>
{
};

// Guards against what several crowds do together, or one after the other, though a host bears each.
TEST_P(CrowdsAtOnce, LeaveRoomForOrdinaryCallers)
{
    constexpr int rounds = 3;
    constexpr std::size_t crowdsOfRound = 3;
    this->fleet.memoryMegabytes = memoryMegabytes;
    ASSERT_NO_FATAL_FAILURE(this->startHost());
    const std::size_t ownSockets = openSockets(this->fleet.processId(0));
    std::mt19937 random(GetParam());
    const std::vector<Case> kinds = cases();
    for (int round = 0; round < rounds; ++round) {
        std::list<ClientCrowd> crowds;
        for (std::size_t i = 0; i < crowdsOfRound; ++i) {
            const Case &kind = kinds[random() % kinds.size()];
            Crowd crowd = kind.crowd;
            crowd.to = { this->fleet.hostIp(0), kind.port };
            fmt::print("{}\n", crowd.name);
            crowds.emplace_back(crowd);
        }
        for (const ClientCrowd &crowd : crowds)
            await(crowd);
        EXPECT_EQ(this->ask(0), 200);
        EXPECT_TRUE(this->fleet.isReady(0));
    }
    EXPECT_TRUE(this->waitUntilAlone(ownSockets));
    EXPECT_EQ(this->ask(maxBodyBytes), 200);
    fmt::print("{:.1f} MB at most\n", static_cast<double>(this->peakBytes()) / 1e6);
    EXPECT_GT(this->peakBytes(), 0);
    EXPECT_LE(this->peakBytes(), memoryMegabytes * bytesInMegabyte);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CrowdsAtOnce, testing::Range(1U, 5U),
                         [](const auto &given) { return fmt::format("{}", given.param); });

class DescriptorsOfAHost : public ClientCrowds, public testing::WithParamInterface<std::uint16_t>
{
};

// Guards against clients that take all descriptors of a process, so that no ordinary caller and no
// server is reached.
TEST_P(DescriptorsOfAHost, AreNotTakenByManyConnections)
{
    this->fleet.maxDescriptors = maxSockets + fileDescriptors;
    ASSERT_NO_FATAL_FAILURE(this->startHost());
    const ClientCrowd clients(Crowd{
            "connections", { this->fleet.hostIp(0), GetParam() }, 2ULL * maxSockets, "G", "", 0 });
    std::size_t most = 0;
    const Instant until = monotonicNow() + std::chrono::seconds(2);
    while (!clients.hasSent() || monotonicNow() < until) {
        runUntil(monotonicNow() + std::chrono::milliseconds(20));
        most = std::max(most, openSockets(this->fleet.processId(0)));
    }
    EXPECT_EQ(this->ask(0), 200);
    EXPECT_TRUE(this->fleet.isReady(0));
    fmt::print("{} sockets at most\n", most);
    EXPECT_GT(openSockets(this->fleet.processId(0)), 0U);
    EXPECT_LE(most, maxSockets);
}

INSTANTIATE_TEST_SUITE_P(Ports, DescriptorsOfAHost,
                         testing::Values(callerPort, readinessPort, metricsPort, internalPort),
                         [](const auto &given) { return fmt::format("{}", given.param); });

} // namespace azurewell::tests
