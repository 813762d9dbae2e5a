#include "client_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <QtCore/QDir>
#include <QtCore/QFile>
#include <QtCore/QFileInfo>

namespace azurewell::tests {

namespace {

/// Time for which a client waits for a host that takes nothing, or for its answer.
constexpr timeval patience{ 3, 0 };

/// Receive buffer of a client, so that the kernel holds little of what it doesn't read.
constexpr int receiveBytes = 4096;

UniqueFd connectTo(const Endpoint &to)
{
    UniqueFd connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int fd = connection.get();
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
    const int result = ::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    return result == 0 ? std::move(connection) : UniqueFd();
}

bool sendAll(const UniqueFd &connection, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(connection.get(), text.data() + sent, text.size() - sent,
                                     MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace

ClientCrowd::ClientCrowd(const Crowd &crowd)
{
    this->connections.resize(crowd.clients);
    for (std::size_t client = 0; client < crowd.clients; ++client)
        this->threads.emplace_back([this, crowd, client] { this->run(crowd, client); });
}

ClientCrowd::~ClientCrowd()
{
    for (std::thread &thread : this->threads)
        thread.join();
}

void ClientCrowd::run(const Crowd &crowd, std::size_t client)
{
    std::unique_lock<std::mutex> lock(this->turn, std::defer_lock);
    if (crowd.takesTurns)
        lock.lock();
    UniqueFd &connection = this->connections[client];
    connection = connectTo(crowd.to);
    bool isOpen = connection.get() >= 0 && sendAll(connection, crowd.start);
    for (std::size_t sent = 0; isOpen && sent < crowd.sumBytes; sent += crowd.repeated.size())
        isOpen = sendAll(connection, crowd.repeated);
    char first = 0;
    if (crowd.takesTurns)
        ::recv(connection.get(), &first, 1, 0);
    ++this->ended;
}

std::int64_t peakResidentBytes(qint64 process)
{
    constexpr std::int64_t bytesInKibibyte = 1024;
    QFile file(QString("/proc/%1/status").arg(process));
    if (!file.open(QIODevice::ReadOnly))
        return 0;
    for (const QByteArray &line : file.readAll().split('\n')) {
        if (line.startsWith("VmHWM:"))
            return line.mid(6).trimmed().split(' ').front().toLongLong() * bytesInKibibyte;
    }
    return 0;
}

std::size_t openSockets(qint64 process)
{
    const QDir directory(QString("/proc/%1/fd").arg(process));
    std::size_t count = 0;
    for (const QFileInfo &entry : directory.entryInfoList(QDir::System | QDir::Files))
        count += entry.symLinkTarget().contains("socket:") ? 1 : 0;
    return count;
}

} // namespace azurewell::tests
