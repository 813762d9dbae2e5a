#pragma once

#include "azurewell/http/listen_socket.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace azurewell::standins {

/// What a server does after the start of its answer, if it repeats nothing.
enum class FloodEnd : std::uint8_t {
    None,
    Reset,
    Close, ///< The kernel resets the connection if a part of the request is unread.
};

/// What a server sends after a request's head.
struct Flood
{
    std::string start;
    std::string repeated; ///< Sent again and again until the connection is closed; empty: a whole
                          ///< answer.
    bool isByteByByte = false;
    FloodEnd end = FloodEnd::None;
};

/// A server that is in trouble or, without a flood, sound. It has threads of its own, so that it
/// sends as fast as the connection takes it.
class FloodingServer
{
public:
    explicit FloodingServer(Flood toSend);
    ~FloodingServer();
    FloodingServer(const FloodingServer &) = delete;
    FloodingServer &operator=(const FloodingServer &) = delete;

    std::uint16_t port() const;
    /// The requests that have been answered, or flooded.
    std::uint64_t requests() const
    {
        return this->requestCount;
    }

private:
    void accept();
    void serve(int connection);
    void endConnection(int connection);
    bool readHead(int connection) const;
    bool send(int connection, const std::string &bytes, std::size_t pieceBytes) const;

    Flood flood;
    UniqueFd listening;
    std::atomic<bool> isStopping{ false };
    std::atomic<std::uint64_t> requestCount{ 0 };
    std::vector<std::thread> threads;
    std::mutex mutex;                  ///< Of connections.
    std::vector<UniqueFd> connections; ///< Those that are open.
    std::thread acceptor;
};

} // namespace azurewell::standins
