#pragma once

#include <QtCore/QByteArray>
#include <QtNetwork/QTcpSocket>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace azurewell::tests {

/// Runs the event loop until \a holds says so. False where that takes longer than any test should.
bool waitUntil(const std::function<bool()> &holds);

/// An answer as it stands on the wire.
struct Answer
{
    int status = 0;
    std::map<QByteArray, QByteArray> headers; ///< Names in lower case.
    QByteArray body;                          ///< Without the framing of chunks.
    bool isWhole = false;

    /// The numbered code of a refusal, from the header; 0 where there is none.
    int code() const;
    /// The numbered code of a refusal, from the body; 0 where there is none.
    int codeInBody() const;
    QByteArray runState() const;
};

/// The first answer in \a bytes, which may be in part; nothing before its head is whole.
std::optional<Answer> parseAnswer(const QByteArray &bytes);

/// The positions that a stand-in's tokens name, in the order of the body: "routes@3#0 routes@3#1".
std::vector<int> tokenPositions(const QByteArray &body, const QByteArray &adapter);

/// A caller with a bare socket: it writes what it is told and keeps all that comes back.
class Caller
{
public:
    explicit Caller(std::uint16_t port);
    ~Caller();

    void write(const QByteArray &bytes);
    /// Sends a request with the key of the tests; \a moreHeaders end in CR LF each.
    void post(const QByteArray &path, const QByteArray &body, const QByteArray &moreHeaders = {});
    /// Waits for the end of the first answer, or of the connection.
    Answer answer();
    /// Waits until the caller has \a text.
    bool waitFor(const QByteArray &text);
    bool isOpen() const;

    QByteArray received;
    QTcpSocket socket;
};

inline const QByteArray callerKey = "key-of-the-tests-9f2c";

/// A completion's body.
QByteArray completion(const QByteArray &adapter, int tokens, bool isStream = true);

} // namespace azurewell::tests
