#pragma once

#include "caller.h"
#include "world.h"

#include <QtCore/QObject>
#include <QtNetwork/QTcpSocket>

#include <map>
#include <random>
#include <string>

namespace azurewell::soak {

/// What all callers together have seen.
struct Results
{
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;
    std::uint64_t endedEarly = 0; ///< Streams that ended with a numbered error after some tokens.
    std::uint64_t left = 0;       ///< The caller went away by itself.
    std::uint64_t unreached = 0;  ///< No host took the connection: sent to another one.
    std::map<std::string, std::uint64_t> refusals; ///< By code and run state.
    std::uint64_t lost = 0;                        ///< Answers cut off without a word. Must stay 0.
    std::uint64_t doubled = 0; ///< Answers with a doubled or missing token. Must stay 0.
    std::uint64_t crossed = 0; ///< Answers with another adapter's text. Must stay 0.
    std::map<std::string, QByteArray> filings; ///< Body to what its caller was told.
    std::vector<double> seconds;               ///< Of whole answers.
};

/// A caller that sends one request after the other, to a random host, and checks each answer.
class SoakCaller : public QObject
{
public:
    SoakCaller(World &world, Results &results, std::uint64_t seed);

    /// Sends the next request where \a isLast is not set; otherwise goes quiet after this one.
    void next();
    bool isLast = false;
    bool isQuiet = true;

private:
    void send();
    void read();
    void ended(bool isWhole);
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
    int leavesAfter = -1; ///< Bytes.
    Instant sentAt;
};

} // namespace azurewell::soak
