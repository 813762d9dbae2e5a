#include "caller.h"

#include <nlohmann/json.hpp>
#include <QtCore/QCoreApplication>
#include <QtCore/QDeadlineTimer>
#include <QtCore/QEventLoop>
#include <QtCore/QRegularExpression>
#include <QtNetwork/QNetworkProxy>
#include <QtNetwork/QTcpServer>

#include <algorithm>

#include <unistd.h>

namespace azurewell::tests {

namespace {

constexpr int waitTimeoutMs = 20'000; // far longer than any test takes

/// The data of the chunks in \a bytes; sets \a isComplete once the last chunk has been received.
QByteArray unchunk(const QByteArray &bytes, bool &isComplete)
{
    QByteArray data;
    qsizetype at = 0;
    while (true) {
        const qsizetype lineEnd = bytes.indexOf("\r\n", at);
        if (lineEnd < 0)
            return data;
        const qsizetype length = bytes.mid(at, lineEnd - at).toLongLong(nullptr, 16);
        if (bytes.size() < lineEnd + 2 + length + 2)
            return data;
        if (length == 0) {
            isComplete = true;
            return data;
        }
        data += bytes.mid(lineEnd + 2, length);
        at = lineEnd + 2 + length + 2;
    }
}

} // namespace

bool waitUntil(const std::function<bool()> &condition)
{
    const QDeadlineTimer deadline(waitTimeoutMs);
    while (!condition()) {
        if (deadline.hasExpired())
            return false;
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 10);
    }
    return true;
}

int Answer::code() const
{
    const auto found = this->headers.find("x-azurewell-code");
    return found == this->headers.end() ? 0 : found->second.toInt();
}

int Answer::codeInBody() const
{
    const QByteArray &text = this->body;
    const nlohmann::json json = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    const nlohmann::json::json_pointer path("/error/code");
    return json.is_object() && json.contains(path) ? json[path].get<int>() : 0;
}

QByteArray Answer::runState() const
{
    const auto found = this->headers.find("x-azurewell-run-state");
    return found == this->headers.end() ? QByteArray() : found->second;
}

std::optional<Answer> parseAnswer(const QByteArray &bytes)
{
    const qsizetype headEnd = bytes.indexOf("\r\n\r\n");
    if (headEnd < 0)
        return std::nullopt;
    Answer answer;
    const QList<QByteArray> lines = bytes.left(headEnd).split('\n');
    answer.status = lines.first().split(' ').value(1).toInt();
    for (const QByteArray &line : lines.mid(1)) {
        const qsizetype colon = line.indexOf(':');
        answer.headers[line.left(colon).toLower()] = line.mid(colon + 1).trimmed();
    }
    const QByteArray rest = bytes.mid(headEnd + 4);
    if (answer.headers.contains("transfer-encoding")) {
        answer.body = unchunk(rest, answer.isComplete);
        return answer;
    }
    const qsizetype length = answer.headers["content-length"].toLongLong();
    answer.body = rest.left(length);
    answer.isComplete = rest.size() >= length;
    return answer;
}

std::vector<int> tokenPositions(const QByteArray &body, const QByteArray &adapter)
{
    std::vector<int> positions;
    const QRegularExpression token(QRegularExpression::escape(QString::fromUtf8(adapter))
                                   + "#(\\d+)");
    QRegularExpressionMatchIterator matches = token.globalMatch(QString::fromUtf8(body));
    while (matches.hasNext())
        positions.push_back(matches.next().captured(1).toInt());
    return positions;
}

Caller::Caller(std::uint16_t port, const QString &ip)
{
    this->socket.setProxy(QNetworkProxy::NoProxy);
    QObject::connect(&this->socket, &QTcpSocket::readyRead, &this->socket,
                     [this] { this->received += this->socket.readAll(); });
    this->socket.connectToHost(ip, port);
    waitUntil([this] {
        return this->socket.state() != QAbstractSocket::ConnectingState
                && this->socket.state() != QAbstractSocket::HostLookupState;
    });
}

Caller::~Caller()
{
    this->socket.abort();
}

void Caller::write(const QByteArray &bytes)
{
    this->socket.write(bytes);
    this->socket.flush();
}

void Caller::post(const QByteArray &path, const QByteArray &body, const QByteArray &moreHeaders)
{
    this->write("POST " + path + " HTTP/1.1\r\nHost: azurewell\r\nAuthorization: Bearer "
                + callerKey + "\r\nContent-Type: application/json\r\n" + moreHeaders
                + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body);
}

Answer Caller::answer()
{
    waitUntil([this] {
        const std::optional<Answer> answer = parseAnswer(this->received);
        return (answer && answer->isComplete) || !this->isOpen();
    });
    return parseAnswer(this->received).value_or(Answer{});
}

bool Caller::waitFor(const QByteArray &text)
{
    return waitUntil([this, &text] { return this->received.contains(text); });
}

bool Caller::isOpen() const
{
    return this->socket.state() == QAbstractSocket::ConnectedState;
}

QByteArray completion(const QByteArray &adapter, int tokens, bool isStream)
{
    return "{\"model\":\"" + adapter + "\",\"stream\":" + (isStream ? "true" : "false")
            + ",\"max_tokens\":" + QByteArray::number(tokens) + ",\"prompt\":\"Permit?\"}";
}

double metricValue(const QByteArray &metrics, const QByteArray &sample)
{
    const QByteArray body = '\n' + metrics;
    const qsizetype at = body.indexOf('\n' + sample + ' ');
    return at < 0 ? -1 : body.mid(at + sample.size() + 2).split('\n').first().toDouble();
}

/// The range lies below the kernel's ephemeral ports, and each process starts at another port:
/// tests run concurrently, and the port must still be free when the host binds it.
std::uint16_t freePort()
{
    constexpr int first = 20'000;
    constexpr int count = 12'000;
    constexpr int portsPerProcess = 16;
    static int next = static_cast<int>(::getpid()) * portsPerProcess;
    while (true) {
        const int port = first + next++ % count;
        QTcpServer server;
        if (server.listen(QHostAddress::LocalHost, static_cast<quint16>(port)))
            return server.serverPort();
    }
}

} // namespace azurewell::tests
