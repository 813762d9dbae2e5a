#pragma once

#include "azurewell/http/listen_socket.h"
#include "azurewell/units/time.h"

#include <QtCore/QSocketNotifier>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace azurewell {

/// How a connection ended.
enum class StreamEnd : std::uint8_t {
    Finished,      ///< Closed by the peer in an orderly way; nothing failed to be sent before.
    Broken,        ///< Reset by the peer, or a network error, found by reading or by sending.
    ConnectFailed, ///< Could not be opened; nothing was sent.
};

/// One TCP connection on the thread's event loop.
///
/// QTcpSocket reports a reset as an orderly close: it maps ECONNRESET to a read of 0 bytes. A
/// response without a length ends when its connection closes, so with QTcpSocket a response that
/// was reset halfway would be forwarded as complete. This class distinguishes the two.
class TcpStream
{
public:
    struct Handlers
    {
        std::function<void()> onOpened;         ///< May be empty.
        std::function<void()> onBytes;          ///< New bytes are in received().
        std::function<void(StreamEnd)> onEnded; ///< Called once, not after close().
        std::function<void()> onDrained;        ///< May be empty: all written bytes have been sent.
    };

    /// Opens a connection. A failure is reported through onEnded, never from within open().
    static std::unique_ptr<TcpStream> open(const Endpoint &to, Handlers handlers);

    /// Takes ownership of an accepted connection.
    static std::unique_ptr<TcpStream> adopt(UniqueFd descriptor, Handlers handlers);

    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    void write(std::string_view bytes);

    /// Reads what has come before the event loop says so.
    void readNow()
    {
        this->handleReadable();
    }
    void setHandlers(Handlers newHandlers);

    /// Bytes received and not yet consumed; the user erases what it consumes.
    std::string &received()
    {
        return this->input;
    }
    std::size_t unsentBytes() const
    {
        return this->output.size();
    }
    /// The memory of what is received and unsent.
    std::size_t heldBytes() const
    {
        return this->input.capacity() + this->output.capacity();
    }
    /// Gives back the memory of what has been consumed, if it is much.
    void releaseUnused();
    /// When the kernel last took written bytes; zero: never.
    Instant lastSentAt() const
    {
        return this->sentAt;
    }
    /// Whether at least one written byte has been passed to the kernel.
    bool hasSent() const
    {
        return this->sentAt.micros != 0;
    }
    bool isOpen() const
    {
        return this->descriptor.get() >= 0 && !this->isConnecting;
    }
    /// Whether the peer has closed or reset the connection, or its direction of it, even if bytes
    /// before that are still unread. Asks the kernel.
    bool hasPeerLeft() const;

    /// Whether the kernel of the peer has all written bytes; its program may not have read them.
    /// Asks the kernel.
    bool isAllReceivedByPeer() const;

    /// Stops reading while \a paused; TCP flow control then slows the sender down.
    void pauseReading(bool paused);

    /// Reads a connection that has been reset to its end, even while paused: nothing more can come
    /// than the kernel holds. Asks the kernel.
    void readOnIfReset();

    /// Lets the kernel reset the connection, rather than close it in an orderly way, if it is
    /// closed now, also by the end of the process.
    void setResetOnClose(bool isOn);

    /// Closes the write direction; the peer sees an orderly close.
    void shutdownWriting();

    /// Connections of this process that ended as a handler threw.
    static std::uint64_t faultCount();

    /// Closes with a reset, so that the peer cannot take a partial message for a complete one.
    void abort();

private:
    /// Defers deletion: the stream may be closed from within the notifier's own signal.
    struct NotifierDeleter
    {
        void operator()(QSocketNotifier *notifier) const;
    };

    TcpStream() = default;
    void createNotifiers();
    void runGuarded(void (TcpStream::*action)());
    void handleReadable();
    void handleWritable();
    std::size_t send(std::string_view bytes);
    void flush();
    void readToEnd();
    void reportEnd(StreamEnd how);

    UniqueFd descriptor;
    Handlers handlers;
    std::unique_ptr<QSocketNotifier, NotifierDeleter> readNotifier;
    std::unique_ptr<QSocketNotifier, NotifierDeleter> writeNotifier;
    std::string input;
    std::string output;
    bool isConnecting = false;
    Instant sentAt;
    bool isEnded = false;
    bool isPausable = true;
    bool isBroken = false; ///< Nothing can be sent any more; what has come is still read.
    /// Set by the destructor, so that a member function can detect that a handler has destroyed the
    /// object.
    std::shared_ptr<bool> isDestroyed = std::make_shared<bool>(false);
};

/// Accepts connections on a listening socket.
class TcpAcceptor
{
public:
    /// Takes an accepted connection; false if that was cheap, so that more can be taken at once.
    using Handler = std::function<bool(UniqueFd)>;

    TcpAcceptor(UniqueFd listening, Handler onAccepted);

private:
    void acceptPending();
    void pauseAccepting();

    UniqueFd descriptor;
    Handler handler;
    QSocketNotifier notifier;
};

} // namespace azurewell
