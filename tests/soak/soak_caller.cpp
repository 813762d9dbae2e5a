#include "soak_caller.h"

#include "azurewell/http/clock.h"

#include <QtCore/QTimer>

#include <numeric>

namespace azurewell::soak {

namespace {

constexpr int pauseMs = 5;
constexpr int pauseAfterRefusalMs = 100;
constexpr int maxTokens = 80;

} // namespace

SoakCaller::SoakCaller(World &of, Results &to, std::uint64_t seed)
    : world(of)
    , results(to)
    , random(seed)
{
}

void SoakCaller::sendNext()
{
    this->isIdle = this->isStopping;
    if (this->isStopping)
        return;
    this->received.clear();
    const std::size_t host = this->random() % this->world.hosts.size();
    this->socket = new QTcpSocket(this);
    QTcpSocket *mine = this->socket;
    QObject::connect(mine, &QTcpSocket::connected, this, [this] { this->send(); });
    QObject::connect(mine, &QTcpSocket::readyRead, this, [this] { this->read(); });
    QObject::connect(mine, &QTcpSocket::disconnected, this, [this] { this->finishRequest(false); });
    QObject::connect(mine, &QTcpSocket::errorOccurred, this, [this, mine] {
        if (mine->state() == QAbstractSocket::ConnectedState || this->socket != mine)
            return; // `disconnected` follows
        if (!this->received.isEmpty() || this->sentAt > Instant{})
            return;
        ++this->results.unreached;
        this->socket = nullptr;
        mine->deleteLater();
        QTimer::singleShot(pauseAfterRefusalMs, this, [this] { this->sendNext(); });
    });
    this->sentAt = Instant{};
    mine->connectToHost("127.0.0.1", this->world.hosts[host]->config.callerPort);
}

void SoakCaller::send()
{
    const std::vector<Tenant> &all = tenants();
    const Tenant &tenant = all[this->random() % all.size()];
    const bool isFiling = this->random() % 6 == 0;
    this->tokens = static_cast<int>(1 + this->random() % maxTokens);
    this->disconnectsAfterBytes = this->random() % 20 == 0 ? static_cast<int>(this->random() % 4000)
                                                           : -1;
    this->adapter = isFiling ? QByteArray()
                             : tenant.adapters[this->random() % tenant.adapters.size()];
    this->sentAt = monotonicNow();
    ++this->results.requests;
    this->body = isFiling ? "notice " + QByteArray::number(this->results.requests)
                          : tests::completion(this->adapter, this->tokens);
    if (isFiling)
        this->results.filings[this->body.toStdString()] = "unanswered";
    this->socket->write((isFiling ? "POST /services/filings/x" : "POST /v1/completions")
                        + QByteArray(" HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ") + tenant.key
                        + "\r\nContent-Length: " + QByteArray::number(this->body.size())
                        + "\r\n\r\n" + this->body);
}

void SoakCaller::read()
{
    this->received += this->socket->readAll();
    if (this->disconnectsAfterBytes >= 0 && this->received.size() > this->disconnectsAfterBytes) {
        ++this->results.disconnected;
        this->received.clear();
        this->finishRequest(true);
        return;
    }
    const std::optional<tests::Answer> answer = tests::parseAnswer(this->received);
    if (answer && answer->isComplete)
        this->finishRequest(true);
}

void SoakCaller::finishRequest(bool isComplete)
{
    if (!this->socket)
        return;
    QTcpSocket *mine = std::exchange(this->socket, nullptr);
    mine->disconnect(this);
    mine->abort();
    mine->deleteLater();
    const std::optional<tests::Answer> answer = tests::parseAnswer(this->received);
    if (answer && isComplete)
        this->check(*answer);
    else if (!isComplete)
        ++this->results.lost;
    const bool isRefused = answer && answer->status != 200;
    QTimer::singleShot(isRefused ? pauseAfterRefusalMs : pauseMs, this,
                       [this] { this->sendNext(); });
}

void SoakCaller::check(const tests::Answer &answer)
{
    if (this->adapter.isEmpty())
        this->results.filings[this->body.toStdString()] = answer.status == 200 ? QByteArray("ran")
                                                                               : answer.runState();
    if (answer.status != 200) {
        ++this->results
                  .refusals[std::to_string(answer.code()) + " " + answer.runState().toStdString()];
        return;
    }
    if (!this->adapter.isEmpty())
        this->checkStream(answer);
    else
        ++this->results.whole;
    this->results.seconds.push_back(toSeconds(monotonicNow() - this->sentAt));
}

void SoakCaller::checkStream(const tests::Answer &answer)
{
    const std::vector<int> positions = tests::tokenPositions(answer.body, this->adapter);
    std::vector<int> expected(positions.size());
    std::iota(expected.begin(), expected.end(), 0);
    if (answer.body.count('#') != static_cast<qsizetype>(positions.size()))
        ++this->results.crossed;
    const bool isDone = answer.body.contains("[DONE]");
    const bool isComplete = positions.size() == static_cast<std::size_t>(this->tokens);
    if (positions != expected || (isDone && !isComplete))
        ++this->results.doubled;
    if (isDone)
        ++this->results.whole;
    else if (answer.body.contains("\"run_state\""))
        ++this->results.endedEarly;
    else
        ++this->results.lost;
}

} // namespace azurewell::soak
