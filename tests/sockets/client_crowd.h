#pragma once

#include "azurewell/http/listen_socket.h"

#include <QtCore/QtGlobal>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace azurewell::tests {

/// What each client of a crowd sends.
struct Crowd
{
    const char *name = "";
    Endpoint to;
    std::size_t clients = 0;
    std::string start;
    std::string repeated;     ///< May be empty.
    std::size_t sumBytes = 0; ///< Of what is repeated, at least.
    bool takesTurns = false;  ///< A client begins once the one before gets the head of its answer.
};

/// Clients that send their bytes as fast as they are taken, read nothing, and keep their
/// connections open until the crowd is destroyed. Each has a thread.
class ClientCrowd
{
public:
    explicit ClientCrowd(const Crowd &crowd);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /// Whether all clients have sent what they are to send, or can't.
    bool hasSent() const
    {
        return this->ended == this->threads.size();
    }

private:
    void run(const Crowd &crowd, std::size_t client);

    std::vector<UniqueFd> connections;
    std::vector<std::thread> threads;
    std::mutex turn;
    std::atomic<std::size_t> ended{ 0 };
};

/// The most memory that the process has had resident since its start, in bytes; 0: it has ended.
std::int64_t peakResidentBytes(qint64 process);

/// The sockets that the process has open; 0: it has ended.
std::size_t openSockets(qint64 process);

} // namespace azurewell::tests
