#pragma once

#include "azurewell/http/listen_socket.h"

#include <QtCore/QSocketNotifier>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace azurewell {

/// How a connection ended.
enum class StreamEnd : std::uint8_t {
    Finished,  ///< The other side closed it in an orderly way.
    Broken,    ///< Reset, or an error of the network.
    NotOpened, ///< It could not be opened; nothing was sent.
};

/// One TCP connection on the thread's event loop.
///
/// QTcpSocket reports a reset as an orderly end: it maps ECONNRESET to a read of 0 bytes. A
/// response without a length ends with its connection, so with QTcpSocket one that was reset
/// halfway would be passed on as whole. This class keeps the two apart.
class TcpStream
{
public:
    struct Handlers
    {
        std::function<void()> onOpened;         ///< May be empty.
        std::function<void()> onBytes;          ///< received() has grown.
        std::function<void(StreamEnd)> onEnded; ///< Called once, not after close().
        std::function<void()> onDrained;        ///< May be empty: all that was written is sent.
    };

    /// Opens a connection. A failure is reported through onEnded, never from here.
    static std::unique_ptr<TcpStream> open(const Endpoint &to, Handlers handlers);

    /// Takes a connection that was accepted.
    static std::unique_ptr<TcpStream> adopt(UniqueFd descriptor, Handlers handlers);

    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    void write(std::string_view bytes);
    void setHandlers(Handlers next);

    /// Bytes that have arrived and were not taken; the user removes what it takes.
    std::string &received()
    {
        return this->input;
    }
    std::size_t unsentBytes() const
    {
        return this->output.size();
    }
    /// Whether a byte of what was written has been given to the kernel.
    bool hasSent() const
    {
        return this->isSentFrom;
    }
    bool isOpen() const
    {
        return this->descriptor.get() >= 0 && !this->isConnecting;
    }

    /// Reading stops while \a paused: the other side is slowed down by its full window.
    void pauseReading(bool paused);

    /// No more is written; the other side sees an orderly end.
    void shutdownWriting();

    /// Closes with a reset, so that the other side cannot take what it got as whole.
    void abort();

private:
    /// A notifier may be in the middle of reporting when its stream is closed, so it goes later.
    struct NotifierDeleter
    {
        void operator()(QSocketNotifier *notifier) const;
    };

    TcpStream() = default;
    void watch();
    void readable();
    void writable();
    void flush();
    void end(StreamEnd how);

    UniqueFd descriptor;
    Handlers handlers;
    std::unique_ptr<QSocketNotifier, NotifierDeleter> readNotifier;
    std::unique_ptr<QSocketNotifier, NotifierDeleter> writeNotifier;
    std::string input;
    std::string output;
    bool isConnecting = false;
    bool isSentFrom = false;
    bool isEnded = false;
    /// Set by the destructor, so that a member function notices that a handler destroyed the
    /// object.
    std::shared_ptr<bool> isGone = std::make_shared<bool>(false);
};

/// Accepts connections on a listening socket.
class TcpAcceptor
{
public:
    TcpAcceptor(UniqueFd listening, std::function<void(UniqueFd)> onAccepted);

private:
    void acceptWaiting();

    UniqueFd descriptor;
    std::function<void(UniqueFd)> accepted;
    QSocketNotifier notifier;
};

} // namespace azurewell
