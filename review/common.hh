// What the cases share: the platform's store, servers, callers and host processes, as the pages of
// the users describe them. Blocking sockets and one thread a connection; loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

/// Seconds since the case began.
inline double now()
{
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void sleepUntil(double at)
{
    sleepFor(at - now());
}

/// record.txt: what was sent, answered and run.
class Record
{
public:
    static Record &get()
    {
        static Record record;
        return record;
    }
    void open(const std::string &path)
    {
        this->file = std::fopen(path.c_str(), "w");
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (std::FILE *to : { this->file, this->isLoud ? stdout : nullptr }) {
            if (!to)
                continue;
            std::va_list arguments;
            va_start(arguments, format);
            std::fprintf(to, "%8.3f ", now());
            std::vfprintf(to, format, arguments);
            std::fputc('\n', to);
            std::fflush(to);
            va_end(arguments);
        }
    }
    std::atomic<bool> isLoud{ false };

private:
    std::FILE *file = nullptr;
    std::mutex mutex;
};

#define RECORD(...) review::Record::get().line(__VA_ARGS__)
/// Also on standard output.
#define SAY(...)                                                                                   \
    do {                                                                                           \
        review::Record::get().isLoud = true;                                                       \
        review::Record::get().line(__VA_ARGS__);                                                   \
        review::Record::get().isLoud = false;                                                      \
    } while (false)

struct Message
{
    std::string first; ///< The request line or the status line.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isComplete = false;   ///< The body ended as its framing says.
    bool endedByClose = false; ///< It had no framing: it ended with its connection, in order.
    bool isReset = false;      ///< The connection was reset.

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : this->headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    bool has(const std::string &name) const
    {
        return std::any_of(this->headers.begin(), this->headers.end(), [&](const auto &entry) {
            return strcasecmp(entry.first.c_str(), name.c_str()) == 0;
        });
    }
    std::string method() const
    {
        return this->first.substr(0, this->first.find(' '));
    }
    std::string target() const
    {
        const std::size_t from = this->first.find(' ') + 1;
        return this->first.substr(from, this->first.find(' ', from) - from);
    }
    int status() const
    {
        const std::size_t from = this->first.find(' ');
        return from == std::string::npos ? 0 : std::atoi(this->first.c_str() + from + 1);
    }
};

/// A connected socket with what was read of it and is not used yet.
class Connection
{
public:
    explicit Connection(int descriptor)
        : fd(descriptor)
    {
        const int on = 1;
        setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection()
    {
        this->close();
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void close()
    {
        if (this->fd >= 0)
            ::close(std::exchange(this->fd, -1));
    }
    void reset()
    {
        const linger hard{ 1, 0 };
        if (this->fd >= 0)
            setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        this->close();
    }
    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(this->fd, bytes.data() + sent, bytes.size() - sent,
                                         MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    /// Reads once. False at the end of the connection or at \a until.
    bool readMore(double until)
    {
        const double left = until - now();
        pollfd question{ this->fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&question, 1, static_cast<int>(left * 1000) + 1) <= 0)
            return false;
        char block[65536];
        const ssize_t count = ::recv(this->fd, block, std::min(sizeof block, this->maxRead), 0);
        this->isEnded = count <= 0;
        this->isReset = count < 0;
        if (count <= 0)
            return false;
        this->bytes.append(block, static_cast<std::size_t>(count));
        if (this->pause > 0)
            sleepFor(this->pause);
        return true;
    }
    /// Whether the other side has closed the connection, or its direction of it.
    bool hasPeerLeft() const
    {
        pollfd question{ this->fd, POLLRDHUP, 0 };
        return ::poll(&question, 1, 0) > 0;
    }

    /// Reads the next request or answer. Nothing if the connection ended before its head was there.
    std::unique_ptr<Message> read(bool isAnswer, double until)
    {
        std::size_t end = 0;
        while ((end = this->bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!this->readMore(until))
                return nullptr;
        }
        auto message = std::make_unique<Message>();
        std::istringstream head(this->bytes.substr(0, end));
        this->bytes.erase(0, end + 4);
        std::getline(head, message->first);
        if (!message->first.empty() && message->first.back() == '\r')
            message->first.pop_back();
        for (std::string line; std::getline(head, line);) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::size_t from = colon + 1;
            while (from < line.size() && line[from] == ' ')
                ++from;
            message->headers.emplace_back(line.substr(0, colon), line.substr(from));
        }
        this->readBody(*message, isAnswer, until);
        return message;
    }

    int fd;
    std::string bytes;
    bool isEnded = false;
    bool isReset = false;
    std::size_t maxRead = 65536; ///< Bytes read at a time.
    double pause = 0;            ///< Seconds after each read: a slow line.
    std::string extra;           ///< Of a server: an answer to be sent once more, late.

private:
    void readBody(Message &message, bool isAnswer, double until)
    {
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            this->readChunks(message, until);
        } else if (message.has("Content-Length")) {
            const std::size_t length = std::strtoull(message.header("Content-Length").c_str(),
                                                     nullptr, 10);
            while (this->bytes.size() < length && this->readMore(until)) { }
            message.isComplete = this->bytes.size() >= length;
            message.body = this->bytes.substr(0, length);
            this->bytes.erase(0, length);
        } else if (!isAnswer || message.status() == 204 || message.status() / 100 == 1) {
            message.isComplete = true;
        } else {
            while (this->readMore(until)) { }
            message.body = std::exchange(this->bytes, {});
            message.endedByClose = this->isEnded && !this->isReset;
            message.isComplete = message.endedByClose;
        }
        message.isReset = this->isReset;
    }
    void readChunks(Message &message, double until)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = this->bytes.find("\r\n")) == std::string::npos) {
                if (!this->readMore(until))
                    return;
            }
            const std::size_t size = std::strtoull(this->bytes.c_str(), nullptr, 16);
            const std::size_t whole = end + 2 + size + 2;
            while (this->bytes.size() < whole && this->readMore(until)) { }
            if (this->bytes.size() < whole) {
                message.body += this->bytes.substr(std::min(end + 2, this->bytes.size()));
                this->bytes.clear();
                return;
            }
            message.body += this->bytes.substr(end + 2, size);
            this->bytes.erase(0, whole);
            if (size == 0) {
                message.isComplete = true;
                return;
            }
        }
    }
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Nothing if no connection opens within \a seconds.
inline std::unique_ptr<Connection> connectTo(const std::string &ip, int port, double seconds,
                                             bool isLine = false)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (isLine) {
        // Segments and a window as on an ordinary line, where loopback would have 64 KB and 6 MB.
        const int segment = 1400;
        const int window = 64 * 1024;
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    }
    const timeval limit{ static_cast<time_t>(seconds),
                         static_cast<suseconds_t>((seconds - static_cast<int>(seconds)) * 1e6) };
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<Connection>(fd);
}

/// Listens at one address; each connection has a thread.
class Server
{
public:
    using Serve = std::function<void(Connection &)>;

    Server(std::string address, int listenPort, Serve handler)
        : ip(std::move(address))
        , port(listenPort)
        , serve(std::move(handler))
    {
        this->open();
    }
    ~Server()
    {
        this->stop();
    }
    bool isOpen() const
    {
        return this->listening >= 0;
    }
    /// Ends all connections with a reset, as a crash does.
    void stop()
    {
        if (this->listening < 0)
            return;
        this->isStopped = true;
        ::shutdown(this->listening, SHUT_RDWR);
        ::close(std::exchange(this->listening, -1));
        this->acceptor.join();
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            for (Connection *connection : this->connections)
                ::shutdown(connection->fd, SHUT_RDWR);
        }
        std::unique_lock<std::mutex> lock(this->mutex);
        this->ended.wait_for(lock, std::chrono::seconds(5),
                             [this] { return this->connections.empty(); });
    }

    const std::string ip;
    const int port;
    std::atomic<bool> isStopped{ false };

private:
    void open()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = addressOf(this->ip, this->port);
        if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || ::listen(fd, 512) != 0) {
            ::close(fd);
            return;
        }
        this->listening = fd;
        this->acceptor = std::thread([this] { this->accept(); });
    }
    void accept()
    {
        while (!this->isStopped) {
            const int fd = ::accept4(this->listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (this->isStopped)
                    return;
                sleepFor(0.01);
                continue;
            }
            std::thread([this, fd] {
                Connection connection(fd);
                {
                    const std::lock_guard<std::mutex> lock(this->mutex);
                    this->connections.insert(&connection);
                }
                if (!this->isStopped)
                    this->serve(connection);
                const std::lock_guard<std::mutex> lock(this->mutex);
                this->connections.erase(&connection);
                this->ended.notify_all();
            }).detach();
        }
    }

    Serve serve;
    int listening = -1;
    std::thread acceptor;
    std::mutex mutex;
    std::condition_variable ended;
    std::set<Connection *> connections;
};

inline std::string answerText(int status, const std::string &headers, const std::string &body)
{
    const char *reason = status == 200 ? "OK"
            : status == 202            ? "Accepted"
            : status == 503            ? "Service Unavailable"
            : status == 421            ? "Misdirected Request"
                                       : "Status";
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: its read calls.
class Store
{
    struct Item
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool isDeleted = false;
    };

public:
    Store(const std::string &ip, int port)
        : server(ip, port, [this](Connection &connection) { this->serve(connection); })
    {
    }
    ~Store()
    {
        this->isStopped = true;
        this->changed.notify_all();
        this->server.stop();
    }
    bool isOpen() const
    {
        return this->server.isOpen();
    }
    /// The return is the acknowledgement.
    void write(const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const Item item{ key, value, ++this->revision, false };
        this->items[key] = item;
        this->history.push_back(item);
        this->changed.notify_all();
    }
    void remove(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->items.erase(key);
        this->history.push_back({ key, {}, ++this->revision, true });
        this->changed.notify_all();
    }

    /// Cuts the watches that are waiting: their connections close without an answer.
    void cutWatches()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        ++this->cuts;
        this->changed.notify_all();
    }

private:
    static std::string base64(const std::string &bytes)
    {
        static const char *digits
                = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j)
                group = group << 8
                        | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
            for (std::size_t j = 0; j < 4; ++j)
                out += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
        }
        return out;
    }
    static std::string textOf(const Item &item)
    {
        const std::string start = "{\"key\":\"" + item.key
                + "\",\"revision\":" + std::to_string(item.revision);
        return item.isDeleted ? start + ",\"deleted\":true}"
                              : start + ",\"created\":1,\"lease-id\":0,\"data\":\""
                        + base64(item.value) + "\"}";
    }
    static std::string query(const std::string &target, const std::string &name)
    {
        const std::size_t from = target.find(name + "=");
        if (from == std::string::npos)
            return {};
        const std::size_t begin = from + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }
    void serve(Connection &connection)
    {
        while (const std::unique_ptr<Message> call = connection.read(false, now() + 60)) {
            const std::string target = call->target();
            bool isCut = false;
            const std::string body = target.starts_with("/kv-watch") ? this->watch(target, isCut)
                    : target.starts_with("/kv-range")                ? this->range(target)
                                                                     : std::string();
            if (this->isStopped || isCut
                || !connection.send(answerText(body.empty() ? 404 : 200,
                                               "Content-Type: application/json\r\n", body)))
                return;
        }
    }
    std::string range(const std::string &target)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const std::string prefix = query(target, "prefix");
        std::string list;
        for (const auto &[key, item] : this->items) {
            if (key.starts_with(prefix))
                list += (list.empty() ? "" : ",") + textOf(item);
        }
        return "{\"items\":[" + list
                + "],\"has-more\":false,\"at\":" + std::to_string(this->revision) + "}";
    }
    std::string watch(const std::string &target, bool &isCut)
    {
        const std::uint64_t after = std::strtoull(query(target, "after").c_str(), nullptr, 10);
        const double wait = std::atof(query(target, "wait-ms").c_str()) / 1000;
        std::unique_lock<std::mutex> lock(this->mutex);
        const int cutsBefore = this->cuts;
        this->changed.wait_for(lock, std::chrono::duration<double>(wait), [&] {
            return this->revision > after || this->isStopped.load() || this->cuts != cutsBefore;
        });
        isCut = this->cuts != cutsBefore;
        std::string list;
        for (const Item &item : this->history) {
            if (item.revision > after)
                list += (list.empty() ? "" : ",") + textOf(item);
        }
        return "{\"events\":[" + list + "],\"at\":" + std::to_string(this->revision) + "}";
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<Item> history;
    std::uint64_t revision = 100;
    int cuts = 0;
    std::atomic<bool> isStopped{ false };
    Server server;
};

/// Processes that the case started; all are ended with it.
inline std::array<std::atomic<pid_t>, 64> &startedProcesses()
{
    static std::array<std::atomic<pid_t>, 64> pids{};
    return pids;
}

inline void endProcesses()
{
    for (std::atomic<pid_t> &slot : startedProcesses()) {
        const pid_t pid = slot.exchange(0);
        if (pid > 0) {
            ::kill(pid, SIGKILL);
            ::kill(pid, SIGCONT);
            ::waitpid(pid, nullptr, 0);
        }
    }
}

inline void onEnd(int)
{
    endProcesses();
    ::_exit(couldNotRun);
}

/// What all hosts of a case share.
struct Setting
{
    std::string root;      ///< Of the repository; host processes start there.
    std::string folder;    ///< Temporary: settings files and logs.
    std::vector<std::string> command; ///< The run line of the deploy file.
    std::string net;       ///< The first two bytes of the case's loopback addresses.
    bool isTrouble = true; ///< With the disruption.
    unsigned seed = 1;
    static constexpr int callerPort = 8221;
    static constexpr int readinessPort = 8224;
    static constexpr int controlPort = 8229;
    static constexpr int storePort = 8225;
    static constexpr int serverPort = 8308;

    std::string storeIp() const
    {
        return this->net + ".200.1";
    }
};

/// A machine of the system.
class Host
{
public:
    Host(const Setting &given, std::string hostName, std::string hostZone, std::string hostIp)
        : name(std::move(hostName))
        , zone(std::move(hostZone))
        , ip(std::move(hostIp))
        , setting(given)
    {
    }

    /// The settings file as the pages show it, with the figures of a small deployment.
    void writeSettings(const std::vector<std::string> &seeds, bool isFirstStart) const
    {
        std::ofstream file(this->file());
        const auto at = [this](int port) {
            return this->ip + ":" + std::to_string(port);
        };
        file << "node-name=" << this->name << "\nrole=entry\nmachine-class=edge\n"
             << "serves=edge,control\nip=" << this->ip << "\nzone=" << this->zone
             << "\nregion=co-centro\nzones.bogota-a=co-centro\nzones.bogota-b=co-centro\n"
             << "zones.bogota-c=co-centro\n"
             << "listen-addresses.frontend=" << at(Setting::callerPort)
             << "\nlisten-addresses.readiness=" << at(Setting::readinessPort)
             << "\nlisten-addresses.control-plane=" << at(Setting::controlPort)
             << "\ninternal-port-range=7600,7615\nseed-nodes=";
        for (std::size_t i = 0; i < seeds.size(); ++i)
            file << (i == 0 ? "" : ",") << seeds[i] << ":" << Setting::controlPort;
        file << "\nbootstrap=" << (isFirstStart ? "true" : "false")
             << "\nfault-counted=false\nlimits.cpu-quota=0.25\nlimits.cpu-cores=1\n"
                "limits.memory-mb=260\nlimits.max-fds=4100\nlimits.bandwidth-mbps=1000.0\n"
                "limits.disk-mb=0\ndiscovery=platform\nentry=vip\nheartbeat-interval-ms=1200\n"
                "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,"
                "platform\n"
                "fault-tolerance.machine-count=1\nfault-tolerance.zones=1\n"
                "fault-tolerance.region-count=0\n"
                "bounds.seed-lag-s=3\nbounds.address-reuse-s=2\nbounds.contact-ms=3000\n"
                "bounds.ack-timeout-ms=4000\nbounds.catch-up-s=4\nbounds.drain-timeout-ms=2000\n"
                "bounds.grace-period-s=8\nbounds.loss-slack-ms=200\n"
                "bounds.config-propagation-ms=2000\nbounds.rollback-slack-ms=250\n"
                "bounds.skew-bound-ms=5000\nbounds.strict-revocation=false\n"
                "bounds.revocation-ms=5000\nbounds.retry-budget-ratio=0.2\n"
                "bounds.retry-window-s=10\nbounds.budget-slack=54\nbounds.quota-window-s=8\n"
                "bounds.quota-overshoot=0.25\nbounds.quota-tolerance=17000\nbounds.recovery-s=12\n"
                "bounds.iteration-ms=120\nbounds.retry-after-s=0\nbounds.fencing-enforced=false\n"
                "bounds.lease-ttl-ms=3000\nbounds.thaw-slack-ms=300\nbounds.origin-window-s=5\n"
                "bounds.rate-overage-factor=1.1\nbounds.version_ms=5000\n"
             << "platform.address=" << this->setting.storeIp() << ":" << Setting::storePort
             << "\nplatform.form=read\nplatform.writes-per-s=400\nplatform.reads-per-s=2000\n"
                "platform.history-s=20\nplatform.max-value-bytes=1048576\n"
                "platform.min-ttl-ms=1000\n";
    }

    bool start()
    {
        const std::string log = this->setting.folder + "/" + this->name + ".log";
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        const std::string boot = "AZUREWELL_BOOT=" + this->file();
        const std::string path = std::string("PATH=") + std::getenv("PATH");
        std::vector<char *> arguments;
        for (const std::string &word : this->setting.command)
            arguments.push_back(const_cast<char *>(word.c_str()));
        arguments.push_back(nullptr);
        char *environment[] = { const_cast<char *>(boot.c_str()), const_cast<char *>(path.c_str()),
                                const_cast<char *>("LANG=C"), nullptr };
        const pid_t child = ::fork();
        if (child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::chdir(this->setting.root.c_str()) != 0)
                ::_exit(127);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::execve(arguments[0], arguments.data(), environment);
            ::_exit(127);
        }
        ::close(out);
        this->pid = child;
        for (std::atomic<pid_t> &slot : startedProcesses()) {
            pid_t none = 0;
            if (slot.compare_exchange_strong(none, child))
                break;
        }
        RECORD("%s started", this->name.c_str());
        return child > 0;
    }

    void signal(int number) const
    {
        if (this->pid > 0)
            ::kill(this->pid, number);
    }

    /// Whether the process has ended; its status is then in \a status.
    bool hasEnded(int &status)
    {
        if (this->pid <= 0 || ::waitpid(this->pid, &status, WNOHANG) != this->pid)
            return false;
        this->forget();
        return true;
    }

    void killNow()
    {
        if (this->pid <= 0)
            return;
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        RECORD("%s killed", this->name.c_str());
        this->forget();
    }

    bool isReady() const
    {
        const std::unique_ptr<Connection> connection = connectTo(this->ip, Setting::readinessPort,
                                                                 0.5);
        if (!connection || !connection->send("GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n"))
            return false;
        const std::unique_ptr<Message> answer = connection->read(true, now() + 0.5);
        return answer && answer->status() == 200;
    }

    const std::string name;
    const std::string zone;
    const std::string ip;
    pid_t pid = 0;

private:
    std::string file() const
    {
        return this->setting.folder + "/" + this->name + ".conf";
    }
    void forget()
    {
        for (std::atomic<pid_t> &slot : startedProcesses()) {
            pid_t own = this->pid;
            if (slot.compare_exchange_strong(own, 0))
                break;
        }
        this->pid = 0;
    }

    const Setting &setting;
};

inline bool areAllReady(const std::vector<std::unique_ptr<Host>> &hosts, double until)
{
    while (now() < until) {
        if (std::all_of(hosts.begin(), hosts.end(),
                        [](const std::unique_ptr<Host> &host) { return host->isReady(); }))
            return true;
        sleepFor(0.1);
    }
    return false;
}

/// \a perZone hosts in each of three zones, with seeds in each zone.
inline std::vector<std::unique_ptr<Host>> makeHosts(const Setting &setting,
                                                    const std::vector<int> &perZone)
{
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::string> seeds;
    for (std::size_t zone = 0; zone < perZone.size(); ++zone) {
        for (int i = 1; i <= perZone[zone]; ++i) {
            const std::string zoneName = std::string("bogota-") + static_cast<char>('a' + zone);
            const std::string ip = setting.net + "." + std::to_string(zone + 1) + "."
                    + std::to_string(i);
            hosts.push_back(std::make_unique<Host>(
                    setting, "edge-" + zoneName + "-" + std::to_string(i), zoneName, ip));
            if (i == 1)
                seeds.push_back(ip);
        }
    }
    for (const std::unique_ptr<Host> &host : hosts)
        host->writeSettings(seeds, true);
    return hosts;
}

inline void markRestarted(const std::vector<std::unique_ptr<Host>> &hosts)
{
    std::vector<std::string> seeds;
    for (const std::unique_ptr<Host> &host : hosts) {
        if (host->name.ends_with("-1"))
            seeds.push_back(host->ip);
    }
    for (const std::unique_ptr<Host> &host : hosts)
        host->writeSettings(seeds, false);
}

inline long long wallMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

/// Takes the addresses of \a net for this case as long as it runs, so that cases may run beside each
/// other. False if another one has them.
inline bool takeAddresses(const std::string &net)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(net + ".250.1", Setting::storePort);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return true; // never closed
    ::close(fd);
    return false;
}

/// Reads the words of the command line: ROOT FOLDER RECORD COMMAND...
inline Setting begin(int argc, char **argv)
{
    Setting setting;
    if (argc < 5)
        std::exit(couldNotRun);
    setting.root = argv[1];
    setting.folder = argv[2];
    Record::get().open(argv[3]);
    for (int i = 4; i < argc; ++i)
        setting.command.emplace_back(argv[i]);
    const char *trouble = std::getenv("TROUBLE");
    setting.isTrouble = !trouble || std::string(trouble) != "0";
    std::random_device device;
    int triesLeft = 1000;
    do {
        setting.seed = device();
        setting.net = "127." + std::to_string(20 + setting.seed % 200);
        if (--triesLeft == 0)
            std::exit(couldNotRun);
    } while (!takeAddresses(setting.net));
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onEnd);
    std::signal(SIGINT, onEnd);
    std::signal(SIGALRM, onEnd);
    ::alarm(118);
    std::atexit(endProcesses);
    now();
    SAY("%s the disruption", setting.isTrouble ? "with" : "without");
    return setting;
}

/// Ends the case at once: threads may still wait on sockets.
[[noreturn]] inline void finish(int result)
{
    SAY("%s", result == held ? "the rule held" : result == broken ? "the rule was broken"
                                                                  : "the case could not run");
    endProcesses();
    std::fflush(nullptr);
    ::_exit(result);
}

} // namespace review
