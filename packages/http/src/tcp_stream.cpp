#include "azurewell/http/tcp_stream.h"

#include "azurewell/http/clock.h"
#include "azurewell/logging/log.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QTimer>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <exception>

namespace azurewell {

namespace {

/// Bytes read per call. A complete request of the observed sizes (5 KB) fits.
constexpr std::size_t readBlockBytes = 16ULL * 1024;

/// Connections opened per event, so that a connection flood cannot delay responses.
constexpr int maxOpenedPerEvent = 32;

/// Connections taken off the listening socket per event; to queue or close one is cheap.
constexpr int maxAcceptsPerEvent = 1024;

/// Time after which unacknowledged data closes the connection, in milliseconds. A host that is
/// partitioned sends no reset: without this timeout a write to it would hang until the request's
/// deadline.
constexpr int userTimeoutMillis = 2500;

/// Pause after a connection couldn't be accepted for want of descriptors or memory. The listening
/// socket stays readable, so that the event loop would do nothing else.
constexpr std::chrono::milliseconds acceptPause(20);

void setSocketOptions(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const int timeout = userTimeoutMillis;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

/// Connections that ended as a callback threw, on any thread.
std::atomic<std::uint64_t> faults{ 0 };

/// A buffer that has become empty keeps no more than this.
constexpr std::size_t maxKeptBytes = 2 * readBlockBytes;

void releaseIfEmpty(std::string &buffer)
{
    if (buffer.empty() && buffer.capacity() > maxKeptBytes)
        std::string().swap(buffer);
}

/// Whether \a error means that the process or the machine can have no more connections.
bool isExhausted(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

bool isTransient(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

void TcpStream::NotifierDeleter::operator()(QSocketNotifier *notifier) const
{
    notifier->setEnabled(false);
    notifier->disconnect();
    notifier->deleteLater();
}

std::unique_ptr<TcpStream> TcpStream::open(const Endpoint &to, Handlers handlers)
{
    std::unique_ptr<TcpStream> stream(new TcpStream);
    stream->handlers = std::move(handlers);
    stream->descriptor = UniqueFd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int fd = stream->descriptor.get();
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    const bool isAddress = inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr) == 1;
    bool isStarted = fd >= 0 && isAddress;
    if (isStarted) {
        setSocketOptions(fd);
        const int result = ::connect(fd, reinterpret_cast<const sockaddr *>(&address),
                                     sizeof address);
        isStarted = result == 0 || errno == EINPROGRESS;
    }
    stream->isConnecting = true;
    if (isStarted) {
        stream->createNotifiers();
        return stream;
    }
    stream->descriptor = UniqueFd();
    TcpStream *raw = stream.get();
    QTimer::singleShot(0, [raw, destroyed = stream->isDestroyed] {
        if (!*destroyed)
            raw->reportEnd(StreamEnd::ConnectFailed);
    });
    return stream;
}

std::unique_ptr<TcpStream> TcpStream::adopt(UniqueFd descriptor, Handlers handlers)
{
    std::unique_ptr<TcpStream> stream(new TcpStream);
    stream->descriptor = std::move(descriptor);
    stream->handlers = std::move(handlers);
    setSocketOptions(stream->descriptor.get());
    stream->createNotifiers();
    return stream;
}

TcpStream::~TcpStream()
{
    *this->isDestroyed = true;
}

void TcpStream::setHandlers(Handlers newHandlers)
{
    this->handlers = std::move(newHandlers);
}

void TcpStream::createNotifiers()
{
    const int fd = this->descriptor.get();
    this->readNotifier = decltype(this->readNotifier)(
            new QSocketNotifier(fd, QSocketNotifier::Read));
    this->writeNotifier = decltype(this->writeNotifier)(
            new QSocketNotifier(fd, QSocketNotifier::Write));
    QObject::connect(this->readNotifier.get(), &QSocketNotifier::activated,
                     [this] { this->runGuarded(&TcpStream::handleReadable); });
    QObject::connect(this->writeNotifier.get(), &QSocketNotifier::activated,
                     [this] { this->runGuarded(&TcpStream::handleWritable); });
    this->readNotifier->setEnabled(!this->isConnecting);
    this->writeNotifier->setEnabled(this->isConnecting);
}

/// Runs a callback of the event loop. What it throws ends this connection, and not the process with
/// all others.
void TcpStream::runGuarded(void (TcpStream::*action)())
{
    const std::shared_ptr<bool> destroyed = this->isDestroyed;
    try {
        (this->*action)();
    } catch (const std::exception &fault) {
        ++faults;
        writeLog(LogLevel::Error, "connection_fault", { { "detail", fault.what() } });
        if (!*destroyed)
            this->reportEnd(StreamEnd::Broken);
        if (!*destroyed)
            this->abort();
    }
}

std::uint64_t TcpStream::faultCount()
{
    return faults;
}

void TcpStream::write(std::string_view bytes)
{
    if (this->isEnded)
        return;
    // Most of it is sent at once, and not copied then.
    const bool isSentNow = !this->isConnecting && this->output.empty();
    this->output += bytes.substr(isSentNow ? this->send(bytes) : 0);
    if (!this->isConnecting)
        this->flush();
}

/// Returns how many of \a bytes the kernel has taken.
std::size_t TcpStream::send(std::string_view bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(this->descriptor.get(), bytes.data() + sent,
                                     bytes.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        this->isBroken = this->isBroken || (count < 0 && !isTransient(errno));
        if (count <= 0)
            break; // Reading detects a broken connection, after the bytes received before it.
        this->sentAt = monotonicNow();
        sent += static_cast<std::size_t>(count);
    }
    return sent;
}

void TcpStream::flush()
{
    this->output.erase(0, this->send(this->output));
    releaseIfEmpty(this->output);
    this->writeNotifier->setEnabled(!this->output.empty() && !this->isBroken);
    if (this->isBroken)
        this->readToEnd();
}

void TcpStream::releaseUnused()
{
    releaseIfEmpty(this->input);
}

void TcpStream::handleWritable()
{
    if (this->isConnecting) {
        int error = 0;
        socklen_t length = sizeof error;
        getsockopt(this->descriptor.get(), SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0) {
            this->reportEnd(StreamEnd::ConnectFailed);
            return;
        }
        this->isConnecting = false;
        this->readNotifier->setEnabled(true);
        const std::shared_ptr<bool> destroyed = this->isDestroyed;
        if (this->handlers.onOpened)
            this->handlers.onOpened();
        if (*destroyed || this->isEnded)
            return;
    }
    const bool wasWaiting = !this->output.empty();
    this->flush();
    if (wasWaiting && this->output.empty() && this->handlers.onDrained)
        this->handlers.onDrained();
}

void TcpStream::handleReadable()
{
    std::array<char, readBlockBytes> block;
    const ssize_t count = ::recv(this->descriptor.get(), block.data(), block.size(), 0);
    if (count > 0) {
        this->input.append(block.data(), static_cast<std::size_t>(count));
        if (this->handlers.onBytes)
            this->handlers.onBytes();
        return;
    }
    if (count < 0 && isTransient(errno))
        return;
    // After a reset that sending has found, the kernel reports an orderly end.
    const bool isOrderly = count == 0 && !this->isBroken;
    this->reportEnd(isOrderly ? StreamEnd::Finished : StreamEnd::Broken);
}

void TcpStream::reportEnd(StreamEnd how)
{
    if (this->isEnded)
        return;
    this->isEnded = true;
    if (this->readNotifier)
        this->readNotifier->setEnabled(false);
    if (this->writeNotifier)
        this->writeNotifier->setEnabled(false);
    const std::function<void(StreamEnd)> ended = this->handlers.onEnded;
    if (ended)
        ended(how);
}

bool TcpStream::hasPeerLeft() const
{
    return this->isEnded || azurewell::hasPeerLeft(this->descriptor);
}

bool TcpStream::isAllReceivedByPeer() const
{
    return this->output.empty() && unacknowledgedBytes(this->descriptor) == 0;
}

void TcpStream::readOnIfReset()
{
    if (!this->isEnded && !this->isConnecting && isReset(this->descriptor))
        this->readToEnd();
}

void TcpStream::readToEnd()
{
    this->isPausable = false;
    this->pauseReading(false);
}

void TcpStream::pauseReading(bool paused)
{
    if (!this->isEnded && !this->isConnecting)
        this->readNotifier->setEnabled(!paused || !this->isPausable);
}

void TcpStream::setResetOnClose(bool isOn)
{
    const linger mode{ isOn ? 1 : 0, 0 };
    if (this->descriptor.get() >= 0)
        setsockopt(this->descriptor.get(), SOL_SOCKET, SO_LINGER, &mode, sizeof mode);
}

void TcpStream::shutdownWriting()
{
    if (!this->isEnded && !this->isConnecting)
        ::shutdown(this->descriptor.get(), SHUT_WR);
}

void TcpStream::abort()
{
    this->isEnded = true;
    this->readNotifier.reset();
    this->writeNotifier.reset();
    std::string().swap(this->input);
    std::string().swap(this->output);
    if (this->descriptor.get() < 0)
        return;
    this->setResetOnClose(true);
    this->descriptor = UniqueFd();
}

TcpAcceptor::TcpAcceptor(UniqueFd listening, Handler onAccepted)
    : descriptor(std::move(listening))
    , handler(std::move(onAccepted))
    , notifier(this->descriptor.get(), QSocketNotifier::Read)
{
    QObject::connect(&this->notifier, &QSocketNotifier::activated,
                     [this] { this->acceptPending(); });
}

void TcpAcceptor::acceptPending()
{
    int opened = 0;
    for (int i = 0; i < maxAcceptsPerEvent && opened < maxOpenedPerEvent; ++i) {
        const int fd = ::accept4(this->descriptor.get(), nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            if (isExhausted(errno))
                this->pauseAccepting();
            return;
        }
        opened += this->handler(UniqueFd(fd)) ? 1 : 0;
    }
}

void TcpAcceptor::pauseAccepting()
{
    this->notifier.setEnabled(false);
    QTimer::singleShot(acceptPause, &this->notifier, [this] { this->notifier.setEnabled(true); });
}

} // namespace azurewell
