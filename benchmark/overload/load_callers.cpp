#include "load_callers.h"

#include "azurewell/http/clock.h"
#include "azurewell/http/listen_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <deque>
#include <unordered_map>

namespace azurewell {

namespace {

constexpr int maxEvents = 256;
constexpr int pollMillis = 2;

sockaddr_in addressOf(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
    return address;
}

/// A connection that is being opened; not open if that failed.
UniqueFd connectFrom(const std::string &sourceIp, const Endpoint &to)
{
    UniqueFd connection(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(connection.get(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
    const sockaddr_in source = addressOf({ sourceIp, 0 });
    const sockaddr_in address = addressOf(to);
    if (::bind(connection.get(), reinterpret_cast<const sockaddr *>(&source), sizeof source) != 0)
        return UniqueFd();
    const int result = ::connect(connection.get(), reinterpret_cast<const sockaddr *>(&address),
                                 sizeof address);
    return result == 0 || errno == EINPROGRESS ? std::move(connection) : UniqueFd();
}

struct LoadCaller
{
    UniqueFd connection;
    std::string unsent;
    std::string received;
    Instant askedAt;
};

class LoadCallers
{
public:
    explicit LoadCallers(const Load &given)
        : load(given)
        , poller(::epoll_create1(EPOLL_CLOEXEC))
    {
    }

    void ask(Instant at)
    {
        ++this->outcomes.asked;
        LoadCaller caller;
        caller.askedAt = at;
        caller.connection = connectFrom(this->load.sourceIp, this->load.host);
        caller.unsent = this->load.request(this->outcomes.asked);
        const int fd = caller.connection.get();
        if (fd < 0) {
            ++this->outcomes.closed;
            return;
        }
        epoll_event wanted{};
        wanted.events = EPOLLIN | EPOLLOUT | EPOLLET;
        wanted.data.fd = fd;
        ::epoll_ctl(this->poller.get(), EPOLL_CTL_ADD, fd, &wanted);
        this->byAge.emplace_back(fd, at);
        this->callers[fd] = std::move(caller);
    }

    void processEvents()
    {
        std::array<epoll_event, maxEvents> events;
        const int count = ::epoll_wait(this->poller.get(), events.data(), maxEvents, pollMillis);
        for (int i = 0; i < count; ++i)
            this->process(events[static_cast<std::size_t>(i)].data.fd);
        this->giveUp(monotonicNow());
    }

    bool isOver() const
    {
        return this->callers.empty();
    }
    std::size_t openCount() const
    {
        return this->callers.size();
    }

    LoadOutcomes outcomes;

private:
    void process(int fd)
    {
        const auto found = this->callers.find(fd);
        if (found == this->callers.end())
            return;
        LoadCaller &caller = found->second;
        if (!caller.unsent.empty()) {
            const ssize_t sent = ::send(fd, caller.unsent.data(), caller.unsent.size(),
                                        MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent > 0)
                caller.unsent.erase(0, static_cast<std::size_t>(sent));
        }
        std::array<char, 4096> block;
        ssize_t count = 0;
        while ((count = ::recv(fd, block.data(), block.size(), MSG_DONTWAIT)) > 0)
            caller.received.append(block.data(), static_cast<std::size_t>(count));
        const bool isEnded = count == 0 || (errno != EAGAIN && errno != ENOTCONN);
        const bool isAnswered = caller.received.find("\r\n\r\n") != std::string::npos;
        if (isAnswered || isEnded)
            this->end(fd, isAnswered);
    }

    void end(int fd, bool isAnswered)
    {
        const LoadCaller caller = std::move(this->callers.at(fd));
        this->callers.erase(fd);
        const Span waited = monotonicNow() - caller.askedAt;
        if (!isAnswered)
            ++this->outcomes.closed;
        else if (caller.received.find(" 200 ") > caller.received.find("\r\n"))
            ++this->outcomes.told;
        else
            ++(waited <= this->load.wait ? this->outcomes.inTime : this->outcomes.givenUp);
    }

    void giveUp(Instant now)
    {
        while (!this->byAge.empty() && now >= this->byAge.front().second + this->load.wait) {
            const auto [fd, askedAt] = this->byAge.front();
            this->byAge.pop_front();
            const auto found = this->callers.find(fd);
            if (found == this->callers.end() || found->second.askedAt != askedAt)
                continue;
            this->callers.erase(found);
            ++this->outcomes.givenUp;
        }
    }

    const Load &load;
    UniqueFd poller;
    std::unordered_map<int, LoadCaller> callers;
    std::deque<std::pair<int, Instant>> byAge;
};

} // namespace

LoadOutcomes play(const Load &load)
{
    LoadCallers callers(load);
    const Span interval = fromSeconds(1 / load.perSecond);
    const Instant until = monotonicNow() + load.length;
    Instant nextAt = monotonicNow();
    while (nextAt < until || !callers.isOver()) {
        for (const Instant now = monotonicNow(); nextAt <= now && nextAt < until;
             nextAt = nextAt + interval)
            callers.ask(nextAt);
        callers.processEvents();
    }
    return callers.outcomes;
}

double measureCapacity(const Load &load, std::size_t count)
{
    LoadCallers callers(load);
    const Instant until = monotonicNow() + load.length;
    while (monotonicNow() < until) {
        while (callers.openCount() < count)
            callers.ask(monotonicNow());
        callers.processEvents();
    }
    return callers.outcomes.inTime / toSeconds(load.length);
}

} // namespace azurewell
