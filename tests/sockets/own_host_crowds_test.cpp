#include "client_crowd.h"
#include "host_fixture.h"
#include "host_process.h"

#include "azurewell/fleet/codec.h"
#include "azurewell/standins/flooding_server.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <ostream>
#include <vector>

namespace azurewell::tests {

namespace {

/// The memory of the smallest machine in use: the settings of a host of its own don't state any.
constexpr std::int64_t smallestMachineBytes = 120LL * 1000 * 1000;

constexpr std::size_t clients = 150;
constexpr std::size_t bodyBytes = 1024ULL * 1024;
constexpr std::size_t blockBytes = 64ULL * 1024;

/// Clients that send all of a long body but its last block.
Crowd bodiesShortOfTheirEnd(std::uint16_t port)
{
    Crowd crowd;
    crowd.name = "bodies";
    crowd.to = { "127.0.0.1", port };
    crowd.clients = clients;
    crowd.start = fmt::format("POST /v1/completions HTTP/1.1\r\nHost: h.example\r\n"
                              "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                              bodyBytes);
    crowd.repeated = std::string(blockBytes, 'a');
    crowd.sumBytes = bodyBytes - blockBytes;
    return crowd;
}

/// Clients that send all of a message between hosts of the greatest length but its last block.
Crowd framesShortOfTheirEnd(std::uint16_t port)
{
    constexpr std::size_t senders = 80;
    Crowd crowd;
    crowd.name = "frames";
    crowd.to = { "127.0.0.1", port };
    crowd.clients = senders;
    crowd.start = std::string("\0\x20\0\0", frameHeaderBytes);
    crowd.repeated = std::string(blockBytes, 'a');
    crowd.sumBytes = maxFrameBytes - blockBytes;
    return crowd;
}

} // namespace

/// A host process with the product's own interface and default settings.
class MemoryOfAHostOfItsOwn : public HostFixture
{
protected:
    void SetUp() override
    {
        this->addEngine();
        this->process = std::make_unique<HostProcess>(
                makeHostConfig("h1", "centro", "http://" + this->platform.address()));
        const HostConfig &config = this->process->config;
        this->publish({ { { "id", "h1" },
                          { "zone", "centro" },
                          { "address", fmt::format("127.0.0.1:{}", config.peerPort) } } });
        ASSERT_TRUE(this->process->start());
        this->port = config.callerPort;
        ASSERT_TRUE(this->isServing());
    }

    void expectBears(const Crowd &what)
    {
        const ClientCrowd crowd(what);
        EXPECT_TRUE(waitUntil([&crowd] { return crowd.hasSent(); }));
        EXPECT_EQ(this->process->readyStatus(), 200);
        EXPECT_TRUE(this->isServing());
        const std::int64_t peak = peakResidentBytes(this->process->processId());
        fmt::print("{:.1f} MB at most\n", static_cast<double>(peak) / 1e6);
        EXPECT_TRUE(this->process->isRunning());
        EXPECT_LE(peak, smallestMachineBytes);
    }

    std::unique_ptr<HostProcess> process;
};

// Guards against callers that end a host with bodies whose ends don't come.
TEST_F(MemoryOfAHostOfItsOwn, IsNotFilledByBodiesOfCallers)
{
    this->expectBears(bodiesShortOfTheirEnd(this->process->config.callerPort));
}

// Guards against bodies, which no request for operations has, that end a host.
TEST_F(MemoryOfAHostOfItsOwn, IsNotFilledByBodiesSentToOperations)
{
    this->expectBears(bodiesShortOfTheirEnd(this->process->config.operationsPort));
}

/// What a faulty server sends without end.
struct EndlessAnswer
{
    const char *name;
    const char *start;
    const char *repeated;
};

std::ostream &operator<<(std::ostream &out, const EndlessAnswer &answer)
{
    return out << answer.name;
}

class MemoryBesideAFloodingServer : public MemoryOfAHostOfItsOwn,
                                    public ::testing::WithParamInterface<EndlessAnswer>
{
protected:
    void SetUp() override
    {
        this->server = std::make_unique<standins::FloodingServer>(
                standins::Flood{ GetParam().start, GetParam().repeated });
        this->serviceAddress = fmt::format("127.0.0.1:{}", this->server->port());
        this->moreEngineAddresses = { this->serviceAddress };
        MemoryOfAHostOfItsOwn::SetUp();
    }

    std::unique_ptr<standins::FloodingServer> server;
};

// Guards against a server whose bytes fill the memory of the host that called it: answers to
// reports, orders and callers' requests.
TEST_P(MemoryBesideAFloodingServer, StaysWithinTheSmallestMachine)
{
    constexpr int callers = 8;
    std::vector<std::unique_ptr<Caller>> calls;
    for (int index = 0; index < callers; ++index) {
        calls.push_back(std::make_unique<Caller>(this->port));
        calls.back()->write("GET /services/permits/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                            + callerKey + "\r\n\r\n");
    }
    for (const std::unique_ptr<Caller> &caller : calls)
        EXPECT_NE(caller->answer().code(), 0);
    EXPECT_TRUE(waitUntil([this] { return this->server->requests() > callers; }));
    EXPECT_TRUE(this->isServing());
    EXPECT_TRUE(this->process->isRunning());
    const std::int64_t peak = peakResidentBytes(this->process->processId());
    fmt::print("{:.1f} MB at most\n", static_cast<double>(peak) / 1e6);
    EXPECT_LE(peak, smallestMachineBytes);
}

INSTANTIATE_TEST_SUITE_P(
        Floods, MemoryBesideAFloodingServer,
        ::testing::Values(
                EndlessAnswer{ "StatusLine", "HTTP/1.1 200 ", "OK" },
                EndlessAnswer{ "Fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n" },
                EndlessAnswer{ "Field", "HTTP/1.1 200 OK\r\nX-A: ", "b" },
                EndlessAnswer{ "InterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
                EndlessAnswer{ "Body", "HTTP/1.1 200 OK\r\n\r\n", "b" },
                EndlessAnswer{ "ChunkExtension",
                               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", "b" },
                EndlessAnswer{ "TrailerFields",
                               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                               "X-A: b\r\n" },
                EndlessAnswer{ "NoHead", "", "b" }),
        [](const auto &testInfo) { return std::string(testInfo.param.name); });

// Guards against idle connections that keep operators and load balancers out.
TEST_F(MemoryOfAHostOfItsOwn, LeavesConnectionsForOperators)
{
    Crowd idle;
    idle.name = "idle";
    idle.to = { "127.0.0.1", this->process->config.operationsPort };
    idle.clients = clients;
    idle.start = "G";
    this->expectBears(idle);
}

// Guards against strangers that end a host with messages between hosts whose ends don't come.
TEST_F(MemoryOfAHostOfItsOwn, IsNotFilledByFramesOfStrangers)
{
    this->expectBears(framesShortOfTheirEnd(this->process->config.peerPort));
}

} // namespace azurewell::tests
