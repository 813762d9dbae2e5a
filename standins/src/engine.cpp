#include "azurewell/standins/engine.h"

#include "azurewell/http/clock.h"
#include "azurewell/shell/http_text.h"

#include <QtCore/QUrl>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace azurewell::standins {

namespace {

constexpr int defaultTokens = 16;

nlohmann::json bodyOf(const QHttpServerRequest &request)
{
    const QByteArray body = request.body();
    const nlohmann::json json = nlohmann::json::parse(body.begin(), body.end(), nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
}

QByteArray eventOf(const std::string &adapter, nlohmann::json fields)
{
    fields["model"] = adapter;
    return encodeChunk("data: " + QByteArray::fromStdString(fields.dump()) + "\n\n");
}

QByteArray choiceEvent(const std::string &adapter, nlohmann::json choice)
{
    choice["index"] = 0;
    return eventOf(adapter, { { "choices", { std::move(choice) } } });
}

QByteArray tokenEvent(const QByteArray &id, const std::string &adapter, const std::string &text)
{
    return eventOf(adapter,
                   { { "id", id.toStdString() },
                     { "choices", { { { "index", 0 }, { "delta", { { "content", text } } } } } } });
}

QByteArray finishEvent(const std::string &adapter, const std::string &reason)
{
    return choiceEvent(adapter,
                       { { "delta", nlohmann::json::object() }, { "finish_reason", reason } });
}

QByteArray usageEvent(const std::string &adapter, int tokens)
{
    return eventOf(adapter,
                   { { "choices", nlohmann::json::array() },
                     { "usage", { { "completion_tokens", tokens } } } });
}

QByteArray streamHead(const RequestId &id, const QByteArray &resumedFrom)
{
    QByteArray headers = "Transfer-Encoding: chunked\r\n";
    if (!id.value.empty())
        headers += "X-Request-Id: " + QByteArray::fromStdString(id.value) + "\r\n";
    if (!resumedFrom.isEmpty())
        headers += "X-Resumed-From: " + resumedFrom + "\r\n";
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + headers + "\r\n";
}

} // namespace

Engine::Engine(EngineOptions engineOptions, std::shared_ptr<WeightStore> weights)
    : options(engineOptions)
    , store(std::move(weights))
    , startNumber(wallMillis())
{
    QObject::connect(&this->stepTimer, &QTimer::timeout, this, [this] { this->step(); });
    this->stepTimer.setTimerType(Qt::PreciseTimer);
    this->stepTimer.start(this->options.tokenMillis);
}

void Engine::restartCold()
{
    // Emptied first: the handler of a closing socket searches these lists.
    const auto lost = std::exchange(this->running, {});
    const auto notStarted = std::exchange(this->queued, {});
    for (const std::unique_ptr<Sequence> &sequence : lost) {
        if (sequence->socket)
            sequence->socket->abort();
    }
    for (const std::unique_ptr<Sequence> &sequence : notStarted) {
        if (sequence->socket)
            sequence->socket->abort();
    }
    this->adapters.clear();
    ++this->startNumber;
}

void Engine::stallStreams()
{
    for (const std::unique_ptr<Sequence> &sequence : this->running)
        sequence->isSilent = true;
}

void Engine::dropAdapters()
{
    this->adapters.clear();
}

void Engine::onRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    const QString path = request.url().path();
    if (!request.value("authorization").isEmpty())
        ++this->requestsWithKey;
    if (path == "/load")
        this->report(socket);
    else if (this->faults.refuses)
        answer(socket, 503, "{}", request.value("x-request-id"));
    else if (path == "/v1/chat/completions" || path == "/v1/completions")
        this->complete(request, socket);
    else if (path == "/v1/load_lora_adapter")
        this->loadAdapter(request, socket);
    else if (path == "/v1/unload_lora_adapter")
        this->unloadAdapter(request, socket);
    else if (path.startsWith("/v1/requests/") && path.endsWith("/cancel")) {
        this->cancel(path.split('/').at(3).toUtf8());
        answer(socket, 200, "{}");
    } else {
        answer(socket, 404, "{}");
    }
}

void Engine::complete(const QHttpServerRequest &request, QTcpSocket *socket)
{
    const nlohmann::json body = bodyOf(request);
    std::unique_ptr<Sequence> sequence = std::make_unique<Sequence>();
    sequence->id = request.value("x-request-id");
    if (this->faults.mismatchesRequestIds)
        sequence->id += "-other";
    sequence->adapter = body.value("model", "");
    sequence->socket = socket;
    sequence->maxTokens = body.value("max_tokens", defaultTokens);
    sequence->isStream = body.value("stream", false);
    if (!this->faults.ignoresResume) {
        sequence->resumedFrom = request.value("x-resume-from");
        sequence->generatedTokens = sequence->resumedFrom.toInt();
    }
    if (!this->adapters.contains(sequence->adapter)) {
        ++this->missingAdapterRequests;
        answer(socket, 404, R"({"error":"adapter not loaded"})", sequence->id);
        return;
    }
    const Sequence *created = sequence.get();
    QObject::connect(socket, &QTcpSocket::disconnected, this,
                     [this, created] { this->callerDisconnected(created); });
    this->queued.push_back(std::move(sequence));
}

void Engine::loadAdapter(const QHttpServerRequest &request, QTcpSocket *socket)
{
    if (this->isFenced(request, socket))
        return;
    const std::string name = bodyOf(request).value("lora_name", "");
    if (this->faults.failLoads > 0) {
        --this->faults.failLoads;
        answer(socket, 500, R"({"error":"load failed"})");
        return;
    }
    const bool isFull = this->adapters.size() + this->loading >= this->options.adapterSlots;
    if (isFull && !this->adapters.contains(name)) {
        answer(socket, 409, R"({"error":"no adapter slot"})");
        return;
    }
    ++this->loading;
    const Span loadDuration = this->store->begin(monotonicNow());
    const std::uint64_t start = this->startNumber;
    QPointer<QTcpSocket> requester = socket;
    QTimer::singleShot(static_cast<int>(toSeconds(loadDuration) * 1000), this,
                       [this, name, requester, start] {
                           this->store->end();
                           --this->loading;
                           const bool hasRestarted = start != this->startNumber;
                           if (!hasRestarted)
                               this->adapters.insert(name);
                           if (requester)
                               answer(requester, hasRestarted ? 500 : 200, "{}");
                       });
}

void Engine::unloadAdapter(const QHttpServerRequest &request, QTcpSocket *socket)
{
    if (this->isFenced(request, socket))
        return;
    const std::string name = bodyOf(request).value("lora_name", "");
    if (this->isServing(name))
        ++this->unloadsWhileServing;
    this->adapters.erase(name);
    answer(socket, 200, "{}");
}

bool Engine::isFenced(const QHttpServerRequest &request, QTcpSocket *socket)
{
    const std::uint64_t number = request.value("x-fencing-number").toULongLong();
    if (this->options.checksFencing && number < this->highestFencing) {
        answer(socket, 409, R"({"error":"old fencing number"})");
        return true;
    }
    this->highestFencing = std::max(this->highestFencing, number);
    return false;
}

bool Engine::isServing(const std::string &adapter) const
{
    const auto usesIt = [&adapter](const std::unique_ptr<Sequence> &sequence) {
        return sequence->adapter == adapter;
    };
    return std::any_of(this->running.begin(), this->running.end(), usesIt)
            || std::any_of(this->queued.begin(), this->queued.end(), usesIt);
}

void Engine::report(QTcpSocket *socket)
{
    const nlohmann::json json{ { "running", this->running.size() },
                               { "queued", this->queued.size() },
                               { "start", this->startNumber },
                               { "adapters", this->adapters } };
    answer(socket, 200, QByteArray::fromStdString(json.dump()));
}

void Engine::cancel(const QByteArray &id)
{
    const auto matches = [&id](const std::unique_ptr<Sequence> &sequence) {
        return sequence->id == id;
    };
    this->cancelled += std::erase_if(this->running, matches) + std::erase_if(this->queued, matches);
}

/// Matches the sequence, not the ID: the request may have been resumed on a newer connection.
void Engine::callerDisconnected(const Sequence *sequence)
{
    const auto matches = [sequence](const std::unique_ptr<Sequence> &other) {
        return other.get() == sequence;
    };
    this->cancelled += std::erase_if(this->running, matches) + std::erase_if(this->queued, matches);
}

void Engine::step()
{
    while (this->running.size() < this->options.batchSlots && !this->queued.empty()) {
        this->running.push_back(std::move(this->queued.front()));
        this->queued.pop_front();
    }
    std::erase_if(this->running, [this](std::unique_ptr<Sequence> &sequence) {
        return this->stepSequence(*sequence);
    });
}

bool Engine::isAnswerFinished(const Sequence &sequence) const
{
    const bool isStopMet = this->faults.stopAfterTokens >= 0
            && sequence.generatedTokens >= this->faults.stopAfterTokens;
    return isStopMet || sequence.generatedTokens >= sequence.maxTokens;
}

void Engine::sendStreamHead(Sequence &sequence, const std::string &model)
{
    const RequestId id{ this->faults.omitsId ? std::string() : sequence.id.toStdString() };
    sequence.socket->write(streamHead(id, sequence.resumedFrom));
    sequence.isHeadSent = true;
    if (this->faults.sendsEventsWithoutToken && sequence.resumedFrom.isEmpty())
        sequence.socket->write(choiceEvent(model, { { "delta", { { "role", "assistant" } } } }));
}

/// Sends a complete answer that is no stream. Returns true: the sequence has ended.
bool Engine::sendAnswer(Sequence &sequence, const std::string &model)
{
    ++this->completed;
    QObject::disconnect(sequence.socket, &QTcpSocket::disconnected, this, nullptr);
    const nlohmann::json json{
        { "id", sequence.id.toStdString() },
        { "model", model },
        { "choices",
          { { { "index", 0 }, { "message", { { "content", sequence.text.toStdString() } } } } } },
        { "usage", { { "completion_tokens", sequence.generatedTokens } } }
    };
    answer(sequence.socket, 200, QByteArray::fromStdString(json.dump()),
           this->faults.omitsId ? QByteArray() : sequence.id);
    return true;
}

/// Sends the end of a stream, or does what endFault states. Returns true if the sequence has ended.
bool Engine::endStream(Sequence &sequence)
{
    if (this->faults.sendsEventsWithoutToken) {
        const std::string reason = sequence.generatedTokens < sequence.maxTokens ? "stop"
                                                                                 : "length";
        sequence.socket->write(finishEvent(sequence.adapter, reason));
    }
    sequence.isSilent = this->faults.endFault == EndFault::Stall;
    if (sequence.isSilent)
        return false;
    ++this->completed;
    QObject::disconnect(sequence.socket, &QTcpSocket::disconnected, this, nullptr);
    if (this->faults.endFault == EndFault::Close) {
        sequence.socket->disconnectFromHost();
        return true;
    }
    if (this->faults.sendsEventsWithoutToken)
        sequence.socket->write(usageEvent(sequence.adapter, sequence.generatedTokens));
    sequence.socket->write(encodeChunk("data: [DONE]\n\n") + encodeChunk({}));
    return true;
}

/// Generates the next token. Returns true if the sequence has ended.
bool Engine::stepSequence(Sequence &sequence)
{
    if (!sequence.socket)
        return true;
    if (sequence.isSilent)
        return false;
    if (this->faults.stallAfterTokens >= 0
        && sequence.generatedTokens >= this->faults.stallAfterTokens)
        return false;
    if (this->faults.closeAfterTokens >= 0
        && sequence.generatedTokens >= this->faults.closeAfterTokens) {
        QObject::disconnect(sequence.socket, &QTcpSocket::disconnected, this, nullptr);
        sequence.socket->disconnectFromHost();
        return true;
    }
    ++this->tokensGenerated;
    ++this->tokensByAdapter[sequence.adapter];
    const std::string model = this->faults.respondsAsOtherModel ? "other@1" : sequence.adapter;
    const std::string text = model + "#" + std::to_string(sequence.generatedTokens++) + " "
            + this->faults.tokenSuffix;
    if (sequence.isStream) {
        if (!sequence.isHeadSent)
            this->sendStreamHead(sequence, model);
        sequence.socket->write(tokenEvent(sequence.id, model, text));
    } else {
        sequence.text += QByteArray::fromStdString(text);
    }
    if (!this->isAnswerFinished(sequence))
        return false;
    return sequence.isStream ? this->endStream(sequence) : this->sendAnswer(sequence, model);
}

} // namespace azurewell::standins
