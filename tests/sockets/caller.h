#pragma once

#include <QtCore/QByteArray>
#include <QtNetwork/QTcpSocket>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace azurewell::tests {

/// Runs the event loop until \a condition returns true. False after a timeout of 20 s.
bool waitUntil(const std::function<bool()> &condition);

/// An HTTP response as received.
struct Answer
{
    int status = 0;
    std::map<QByteArray, QByteArray> headers; ///< By name in lower case.
    QByteArray body;                          ///< Without the chunked framing.
    bool isComplete = false;                  ///< The body has been received to its end.

    /// The numbered code of a refusal from the header; 0 if there is none.
    int code() const;
    /// The numbered code of a refusal from the body; 0 if there is none.
    int codeInBody() const;
    QByteArray runState() const;
};

/// The first answer in \a bytes, possibly incomplete; nullopt until its head is complete.
std::optional<Answer> parseAnswer(const QByteArray &bytes);

/// The positions in the tokens of a stand-in engine ("routes@3#0 routes@3#1"), in body order.
std::vector<int> tokenPositions(const QByteArray &body, const QByteArray &adapter);

/// A caller on a raw socket. It keeps all received bytes.
class Caller
{
public:
    explicit Caller(std::uint16_t port, const QString &ip = "127.0.0.1");
    ~Caller();

    void write(const QByteArray &bytes);
    /// Sends a request with callerKey; each of \a moreHeaders ends in CR LF.
    void post(const QByteArray &path, const QByteArray &body, const QByteArray &moreHeaders = {});
    /// The first answer, once it is complete or the connection is closed.
    Answer answer();
    /// Waits until \a text has been received. False after the timeout of waitUntil().
    bool waitFor(const QByteArray &text);
    bool isOpen() const;

    QByteArray received;
    QTcpSocket socket;
};

inline const QByteArray callerKey = "key-of-the-tests-9f2c";

/// The JSON body of a completion request.
QByteArray completion(const QByteArray &adapter, int tokens, bool isStream = true);

/// The value of \a sample in the text of /metrics; -1 if there is none.
double metricValue(const QByteArray &metrics, const QByteArray &sample);

/// A loopback port that nothing listens on.
std::uint16_t freePort();

} // namespace azurewell::tests
