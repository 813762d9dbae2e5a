#pragma once

#include "caller.h"
#include "world.h"

#include <QtCore/QObject>
#include <QtNetwork/QTcpSocket>

#include <map>
#include <random>
#include <string>

namespace azurewell::soak {

/// Results of all callers.
struct Results
{
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;        ///< Complete answers.
    std::uint64_t endedEarly = 0;   ///< Streams that ended with a numbered error after some tokens.
    std::uint64_t disconnected = 0; ///< The caller closed the connection before the end.
    std::uint64_t unreached = 0; ///< The connection was not accepted; another random host is tried.
    std::map<std::string, std::uint64_t> refusals; ///< By code and run state.
    std::uint64_t lost = 0;    ///< Answers cut off without an error. Must stay 0.
    std::uint64_t doubled = 0; ///< Answers with a duplicate or missing token. Must stay 0.
    std::uint64_t crossed = 0; ///< Answers with another adapter's text. Must stay 0.
    std::map<std::string, QByteArray> filings; ///< By body: "ran", a run state, or "unanswered".
    std::vector<double> seconds;               ///< Duration of answers with status 200.
};

/// A caller that sends one request after the other, each to a random host, and checks the answers.
class SoakCaller : public QObject
{
public:
    SoakCaller(World &world, Results &results, std::uint64_t seed);

    /// Sends the next request, or becomes idle if \a isStopping is set.
    void sendNext();
    bool isStopping = false;
    bool isIdle = true;

private:
    void send();
    void read();
    void finishRequest(bool isComplete);
    void check(const tests::Answer &answer);
    void checkStream(const tests::Answer &answer);

    World &world;
    Results &results;
    std::mt19937_64 random;
    QTcpSocket *socket = nullptr;
    QByteArray received;
    QByteArray adapter; ///< Empty for a filing.
    QByteArray body;
    int tokens = 0;
    int disconnectsAfterBytes = -1; ///< Of the answer; -1: reads it to its end.
    Instant sentAt;
};

} // namespace azurewell::soak
