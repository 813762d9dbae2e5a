#pragma once

#include "departures.h"

#include "azurewell/http/message_readers.h"
#include "azurewell/http/tcp_stream.h"
#include "azurewell/units/time.h"

#include <QtCore/QTimer>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace azurewell::soak {

struct CallerSettings
{
    double requestsPerSecond = 100;
    std::size_t adapters = 60;
    std::uint64_t seed = 0;
    double leavingShare = 0; ///< Of requests whose callers leave, with bytes sent behind them.
    Span quiet{}; ///< Between two waves of requests there are none for so long; zero: no waves.
};

struct CallerCounts
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;   ///< The last attempt was refused, or no host was reached.
    std::uint64_t left = 0;      ///< The caller left before the answer.
    std::uint64_t brokenOff = 0; ///< A stream that ended before its end, or did not come.
};

/// Callers that request adapters, a few of them popular ones that change, at hosts drawn at random.
/// They keep their connections open, and try a refused request again at another host.
class Callers
{
public:
    Callers(CallerSettings callerSettings, std::vector<Endpoint> hostEndpoints);

    void start();
    /// Sends no further requests.
    void stop();
    bool isIdle() const
    {
        return this->waiting == 0;
    }

    CallerCounts counts;
    Departures departures;

private:
    struct Request
    {
        std::string id;
        std::string adapter;
        Instant deadline;
        int attempts = 0;
    };
    struct Connection
    {
        std::size_t host = 0;
        std::unique_ptr<TcpStream> stream;
        ResponseReader reader{ false };
        bool isBusy = false;
        bool isClosed = false;
        Request request;
        Instant answerDeadline;
        Instant leavesAt;     ///< Zero: the caller stays.
        std::string nextId;   ///< Of the request behind, if the caller leaves.
        bool isReset = false; ///< How it leaves.
    };

    void tick();
    /// Of a wave with the quiet time after it; popular adapters change with it.
    Span period() const;
    /// The time of the next request from \a at on, which is not in a quiet time.
    Instant afterQuiet(Instant at) const;
    std::string drawAdapter(Instant now);
    void send(Request request);
    bool drawsLeaving();
    void sendBehind(Connection &connection, Instant now);
    void leave(Connection &connection, Instant now);
    Connection &connectionTo(std::size_t host);
    void receive(Connection &connection);
    void handleEnd(Connection &connection);
    void handleAnswer(Connection &connection);
    void retry(Request request);

    CallerSettings settings;
    std::vector<Endpoint> hosts;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Connection>> connections;
    QTimer ticker;
    QObject context;
    Instant startedAt;
    Instant nextAt;
    std::uint64_t waiting = 0;
    bool isStopped = false;
};

} // namespace azurewell::soak
