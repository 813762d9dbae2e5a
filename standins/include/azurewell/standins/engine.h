#pragma once

#include "azurewell/standins/standin_server.h"
#include "azurewell/standins/weight_store.h"

#include <QtCore/QTimer>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace azurewell::standins {

/// What an engine does instead of sending the end marker of a stream.
enum class EndFault : std::uint8_t { None, Close, Stall };

/// Faults of an engine that a test can enable.
struct EngineFaults
{
    int closeAfterTokens = -1; ///< Closes each stream after this many tokens.
    int stallAfterTokens = -1; ///< Stops sending after this many tokens, connection open.
    int stopAfterTokens = -1;  ///< Finishes each answer after this many tokens.
    EndFault endFault = EndFault::None;
    bool sendsEventsWithoutToken = false; ///< Role, finish reason and usage in separate events.
    bool mismatchesRequestIds = false;    ///< Responses carry the ID of another request.
    bool omitsId = false;                 ///< Responses carry no request ID.
    bool respondsAsOtherModel = false;    ///< Responses name another adapter.
    bool ignoresResume = false;           ///< Restarts a resumed stream at its first token.
    std::string tokenSuffix;              ///< Appended to each token's text.
    bool refuses = false;                 ///< 503 to everything.
    int failLoads = 0;                    ///< Number of loads that will fail.
};

struct EngineOptions
{
    std::uint32_t batchSlots = 8;
    std::uint32_t adapterSlots = 4;
    int tokenMillis = 5; ///< Interval between tokens of a stream.
    bool checksFencing = true;
};

/// Stand-in for a continuously batching engine with dynamic adapters: OpenAI-style streams, loading
/// and unloading of adapters, a load report, cancel and resume. Each token's text contains adapter,
/// version and position, so that a test detects a wrong, duplicate or missing token.
class Engine : public StandinServer
{
public:
    Engine(EngineOptions options, std::shared_ptr<WeightStore> store);

    /// Simulates a restart: all streams end and no adapter is loaded.
    void restartCold();
    /// Stops sending on all running streams, with their connections open; new streams work.
    void stallStreams();
    /// Silently unloads all adapters.
    void dropAdapters();
    std::size_t runningCount() const
    {
        return this->running.size() + this->queued.size();
    }

    EngineFaults faults;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t tokensGenerated = 0;
    std::uint64_t unloadsWhileServing = 0;    ///< Must stay 0: evictions of an adapter in use.
    std::uint64_t missingAdapterRequests = 0; ///< Requests for an adapter that is not loaded.
    std::uint64_t requestsWithKey = 0; ///< Must stay 0: requests that carried a caller's key.
    std::map<std::string, std::uint64_t> tokensByAdapter;

protected:
    void onRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    struct Sequence
    {
        QByteArray id;
        std::string adapter;
        QPointer<QTcpSocket> socket;
        int generatedTokens = 0;
        int maxTokens = 0;
        bool isStream = false;
        bool isHeadSent = false;
        bool isSilent = false;
        QByteArray text;
        QByteArray resumedFrom; ///< Echoed in X-Resumed-From.
    };

    void complete(const QHttpServerRequest &request, QTcpSocket *socket);
    void loadAdapter(const QHttpServerRequest &request, QTcpSocket *socket);
    void unloadAdapter(const QHttpServerRequest &request, QTcpSocket *socket);
    void report(QTcpSocket *socket);
    void cancel(const QByteArray &id);
    void callerDisconnected(const Sequence *sequence);
    void step();
    bool stepSequence(Sequence &sequence);
    void sendStreamHead(Sequence &sequence, const std::string &model);
    bool sendAnswer(Sequence &sequence, const std::string &model);
    bool endStream(Sequence &sequence);
    bool isAnswerFinished(const Sequence &sequence) const;
    bool isFenced(const QHttpServerRequest &request, QTcpSocket *socket);
    bool isServing(const std::string &adapter) const;

    EngineOptions options;
    std::shared_ptr<WeightStore> store;
    std::set<std::string> adapters;
    std::uint32_t loading = 0;
    std::vector<std::unique_ptr<Sequence>> running;
    std::deque<std::unique_ptr<Sequence>> queued;
    std::uint64_t highestFencing = 0;
    std::uint64_t startNumber;
    QTimer stepTimer;
};

} // namespace azurewell::standins
