// Stand-ins and tools for the cases 6 and later of the second review: the platform's store, model
// servers, plain servers, callers, and the host processes of the project. They follow PROTOCOL.md.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace kit {

using Json = nlohmann::json;
using Lock = std::unique_lock<std::mutex>;

inline double nowS()
{
    using namespace std::chrono;
    static const auto start = steady_clock::now();
    return duration<double>(steady_clock::now() - start).count();
}

inline std::int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleepS(double s)
{
    if (s > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

inline double draw()
{
    static thread_local std::mt19937_64 rng(std::random_device{}());
    return std::uniform_real_distribution<double>(0, 1)(rng);
}

inline int drawInt(int n)
{
    return static_cast<int>(draw() * n);
}

// ---- the record of a run --------------------------------------------------------------------

class Record
{
public:
    explicit Record(const std::string &path) : out(path, std::ios::trunc) {}

    void line(const std::string &text)
    {
        const std::lock_guard guard(this->mutex);
        char at[32];
        std::snprintf(at, sizeof at, "%9.3f ", nowS());
        this->out << at << text << '\n';
        this->out.flush();
    }

private:
    std::mutex mutex;
    std::ofstream out;
};

inline std::unique_ptr<Record> theRecord;

inline void note(const std::string &text)
{
    if (theRecord)
        theRecord->line(text);
}

// ---- HTTP/1.1 ------------------------------------------------------------------------------

struct Head
{
    std::string first; ///< Request or status line.
    std::vector<std::pair<std::string, std::string>> headers;

    std::string get(const std::string &name) const
    {
        for (const auto &[key, value] : this->headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    bool has(const std::string &name) const
    {
        return std::any_of(this->headers.begin(), this->headers.end(), [&](const auto &one) {
            return strcasecmp(one.first.c_str(), name.c_str()) == 0;
        });
    }
};

struct Request
{
    std::string method, target, path, query;
    Head head;
    std::string body;
};

struct Answer
{
    int status = 0;
    Head head;
    std::string body;
    bool isWhole = false;   ///< Ended as its framing says.
    bool hasHead = false;
    std::string failure;    ///< Why it isn't whole.
};

/// A blocking connection with a buffer.
class Conn
{
public:
    explicit Conn(int descriptor) : fd(descriptor)
    {
        const int on = 1;
        setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Conn() { this->close(); }
    Conn(const Conn &) = delete;
    Conn &operator=(const Conn &) = delete;

    void close()
    {
        if (this->fd >= 0)
            ::close(this->fd);
        this->fd = -1;
    }
    void reset()
    {
        if (this->fd < 0)
            return;
        const linger mode{ 1, 0 };
        setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &mode, sizeof mode);
        this->close();
    }
    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (this->fd >= 0 && sent < bytes.size()) {
            const ssize_t n = ::send(this->fd, bytes.data() + sent, bytes.size() - sent,
                                     MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return this->fd >= 0;
    }
    /// 1: read something; 0: end of the connection; -1: reset; -2: time-out.
    int fill(double timeoutS)
    {
        if (this->fd < 0)
            return -1;
        pollfd p{ this->fd, POLLIN, 0 };
        const int ready = ::poll(&p, 1, timeoutS < 0 ? -1 : static_cast<int>(timeoutS * 1000) + 1);
        if (ready == 0)
            return -2;
        char block[16384];
        const ssize_t n = ::recv(this->fd, block, sizeof block, 0);
        if (n > 0)
            this->buffer.append(block, static_cast<std::size_t>(n));
        return n > 0 ? 1 : (n == 0 ? 0 : -1);
    }
    /// Whether the other side has closed or reset the connection.
    bool hasLeft() const
    {
        if (this->fd < 0)
            return true;
        char c;
        const ssize_t n = ::recv(this->fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    int fd;
    std::string buffer;
};

inline std::optional<Head> takeHead(std::string &buffer)
{
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    Head head;
    std::size_t at = buffer.find("\r\n");
    head.first = buffer.substr(0, at);
    while (at < end) {
        const std::size_t next = std::min(buffer.find("\r\n", at + 2), end);
        const std::string line = buffer.substr(at + 2, next - at - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            head.headers.emplace_back(line.substr(0, colon), line.substr(value));
        }
        at = next;
    }
    buffer.erase(0, end + 4);
    return head;
}

/// Reads a chunked body; true when its last chunk has been read.
class ChunkReader
{
public:
    /// 1: done; 0: needs more; -1: not chunks.
    int read(std::string &buffer, std::string &body)
    {
        while (true) {
            if (this->left > 0) {
                const std::size_t n = std::min(this->left, buffer.size());
                body.append(buffer, 0, n);
                buffer.erase(0, n);
                this->left -= n;
                if (this->left > 0)
                    return 0;
                this->wantsEnd = true;
            }
            if (this->wantsEnd) {
                if (buffer.size() < 2)
                    return 0;
                if (buffer.compare(0, 2, "\r\n") != 0)
                    return -1;
                buffer.erase(0, 2);
                this->wantsEnd = false;
                if (this->isLast)
                    return 1;
            }
            const std::size_t end = buffer.find("\r\n");
            if (end == std::string::npos)
                return buffer.size() > 100 ? -1 : 0;
            char *stop = nullptr;
            this->left = std::strtoul(buffer.c_str(), &stop, 16);
            if (stop == buffer.c_str())
                return -1;
            buffer.erase(0, end + 2);
            if (this->left == 0) {
                this->isLast = true;
                this->wantsEnd = true;
            }
        }
    }

private:
    std::size_t left = 0;
    bool wantsEnd = false;
    bool isLast = false;
};

/// Reads a whole request. Empty at the end of the connection.
inline std::optional<Request> readRequest(Conn &conn, double timeoutS = -1)
{
    Request request;
    std::optional<Head> head;
    while (!(head = takeHead(conn.buffer))) {
        if (conn.fill(timeoutS) != 1)
            return std::nullopt;
    }
    request.head = *head;
    std::istringstream line(head->first);
    line >> request.method >> request.target;
    const std::size_t q = request.target.find('?');
    request.path = request.target.substr(0, q);
    if (q != std::string::npos)
        request.query = request.target.substr(q + 1);
    if (strcasecmp(head->get("Transfer-Encoding").c_str(), "chunked") == 0) {
        ChunkReader reader;
        int done = 0;
        while ((done = reader.read(conn.buffer, request.body)) == 0) {
            if (conn.fill(timeoutS) != 1)
                return std::nullopt;
        }
        return done == 1 ? std::optional(request) : std::nullopt;
    }
    const std::size_t length = std::strtoul(head->get("Content-Length").c_str(), nullptr, 10);
    while (conn.buffer.size() < length) {
        if (conn.fill(timeoutS) != 1)
            return std::nullopt;
    }
    request.body = conn.buffer.substr(0, length);
    conn.buffer.erase(0, length);
    return request;
}

inline std::string answerBytes(int status, const std::vector<std::pair<std::string, std::string>> &headers,
                               const std::string &body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " S\r\n";
    for (const auto &[name, value] : headers)
        out += name + ": " + value + "\r\n";
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return out + body;
}

inline std::string chunk(const std::string &data)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
}

inline int connectTo(const std::string &ip, int port, double timeoutS = 1.0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    pollfd p{ fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&p, 1, static_cast<int>(timeoutS * 1000)) != 1
        || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

/// Reads the answer to a request; gives up at \a deadline (nowS).
inline Answer readAnswer(Conn &conn, double deadline, const std::function<void(const std::string &)> &onBody = {})
{
    Answer answer;
    std::optional<Head> head;
    while (true) {
        while (!(head = takeHead(conn.buffer))) {
            const double left = deadline - nowS();
            const int got = left <= 0 ? -2 : conn.fill(left);
            if (got != 1) {
                answer.failure = got == -2 ? "timeout" : (got == 0 ? "closed" : "reset");
                if (!conn.buffer.empty())
                    answer.failure += " in head";
                return answer;
            }
        }
        answer.status = std::atoi(head->first.c_str() + std::min<std::size_t>(9, head->first.size()));
        if (head->first.compare(0, 8, "HTTP/1.1") != 0) {
            answer.failure = "no answer in the protocol";
            return answer;
        }
        if (answer.status >= 200)
            break;
    }
    answer.hasHead = true;
    answer.head = *head;
    const bool isChunked = strcasecmp(head->get("Transfer-Encoding").c_str(), "chunked") == 0;
    const bool hasLength = head->has("Content-Length");
    const std::size_t length = std::strtoul(head->get("Content-Length").c_str(), nullptr, 10);
    ChunkReader reader;
    std::size_t before = 0;
    while (true) {
        if (isChunked) {
            const int done = reader.read(conn.buffer, answer.body);
            if (done == 1)
                answer.isWhole = true;
            if (done < 0)
                answer.failure = "no chunks";
        } else {
            const std::size_t n = hasLength
                    ? std::min(length - answer.body.size(), conn.buffer.size())
                    : conn.buffer.size();
            answer.body.append(conn.buffer, 0, n);
            conn.buffer.erase(0, n);
            answer.isWhole = hasLength && answer.body.size() == length;
        }
        if (onBody && answer.body.size() > before)
            onBody(answer.body.substr(before));
        before = answer.body.size();
        if (answer.isWhole || !answer.failure.empty())
            return answer;
        const double left = deadline - nowS();
        const int got = left <= 0 ? -2 : conn.fill(left);
        if (got == 1)
            continue;
        if (got == 0 && !isChunked && !hasLength)
            answer.isWhole = true;
        else
            answer.failure = got == -2 ? "timeout in body" : (got == 0 ? "closed in body" : "reset in body");
        return answer;
    }
}

/// Accepts connections and runs a handler in a thread for each.
class Server
{
public:
    using Handler = std::function<void(Conn &)>;

    Server(std::string address, int wantedPort, Handler given)
        : ip(std::move(address)), handler(std::move(given))
    {
        this->open(wantedPort);
    }
    ~Server() { this->stop(); }

    void open(int wantedPort)
    {
        this->listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(this->listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in own{};
        own.sin_family = AF_INET;
        own.sin_port = htons(static_cast<std::uint16_t>(wantedPort));
        inet_pton(AF_INET, this->ip.c_str(), &own.sin_addr);
        if (::bind(this->listening, reinterpret_cast<sockaddr *>(&own), sizeof own) != 0
            || ::listen(this->listening, 256) != 0) {
            std::fprintf(stderr, "cannot listen on %s:%d\n", this->ip.c_str(), wantedPort);
            std::exit(2);
        }
        socklen_t size = sizeof own;
        getsockname(this->listening, reinterpret_cast<sockaddr *>(&own), &size);
        this->port = ntohs(own.sin_port);
        this->isOpen = true;
        this->thread = std::thread([this] { this->accept(); });
    }
    /// Stops listening and resets all connections, as a process that crashes does.
    void stop()
    {
        if (!this->isOpen.exchange(false))
            return;
        ::shutdown(this->listening, SHUT_RDWR);
        ::close(this->listening);
        this->thread.join();
        this->resetAll();
    }
    void resetAll()
    {
        const Lock lock(this->mutex);
        for (const std::weak_ptr<Conn> &one : this->open_) {
            if (const std::shared_ptr<Conn> conn = one.lock()) {
                // Resets the connection, also while its thread reads from it.
                sockaddr none{};
                none.sa_family = AF_UNSPEC;
                ::connect(conn->fd, &none, sizeof none);
            }
        }
        this->open_.clear();
    }

    std::string ip;
    int port = 0;

private:
    void accept()
    {
        while (true) {
            const int fd = ::accept4(this->listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (!this->isOpen)
                    return;
                sleepS(0.005);
                continue;
            }
            auto conn = std::make_shared<Conn>(fd);
            {
                const Lock lock(this->mutex);
                this->open_.remove_if([](const auto &one) { return one.expired(); });
                this->open_.push_back(conn);
            }
            std::thread([this, conn] { this->handler(*conn); }).detach();
        }
    }

    Handler handler;
    int listening = -1;
    std::atomic<bool> isOpen{ false };
    std::thread thread;
    std::mutex mutex;
    std::list<std::weak_ptr<Conn>> open_;
};

// ---- the platform's store ---------------------------------------------------------------------

inline std::string base64(const std::string &in)
{
    static const char *const set = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        const std::size_t n = std::min<std::size_t>(3, in.size() - i);
        std::uint32_t v = 0;
        for (std::size_t k = 0; k < 3; ++k)
            v = (v << 8) | (k < n ? static_cast<unsigned char>(in[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            out += k <= n ? set[(v >> (18 - 6 * k)) & 63] : '=';
    }
    return out;
}

inline std::map<std::string, std::string> readQuery(const std::string &query)
{
    std::map<std::string, std::string> out;
    std::istringstream parts(query);
    std::string part;
    while (std::getline(parts, part, '&')) {
        const std::size_t eq = part.find('=');
        std::string value;
        for (std::size_t i = eq == std::string::npos ? part.size() : eq + 1; i < part.size(); ++i) {
            if (part[i] == '%' && i + 2 < part.size()) {
                value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                value += part[i];
            }
        }
        out[part.substr(0, eq)] = value;
    }
    return out;
}

/// How the store treats the calls that arrive on one of its doors. Each host has its own door.
enum class Door { Open, Busy, Silent, Reset };

class Store
{
public:
    explicit Store(std::string address) : ip(std::move(address)) {}

    int addDoor()
    {
        const std::size_t door = this->doors.size();
        this->doors.push_back(std::make_unique<std::atomic<Door>>(Door::Open));
        this->servers.push_back(std::make_unique<Server>(this->ip, 0, [this, door](Conn &conn) {
            this->serve(conn, door);
        }));
        return this->servers.back()->port;
    }
    void setDoor(std::size_t door, Door how)
    {
        *this->doors[door] = how;
        if (how != Door::Open)
            this->servers[door]->resetAll();
        this->changed.notify_all();
    }
    /// What a host sees of a value on its door; empty: the value. For servers with a port a host.
    std::function<std::string(const std::string &value, std::size_t door)> view;

    /// Returns when the store has acknowledged it.
    void write(const std::string &key, const std::string &value)
    {
        const Lock lock(this->mutex);
        this->record({ key, value, ++this->revision, false });
    }
    void remove(const std::string &key)
    {
        const Lock lock(this->mutex);
        if (this->items.contains(key))
            this->record({ key, {}, ++this->revision, true });
    }
    /// Drops the history, as after a compaction.
    void compact()
    {
        const Lock lock(this->mutex);
        this->history.clear();
        this->firstKept = this->revision;
        ++this->cuts;
        this->changed.notify_all();
    }

private:
    struct Item
    {
        std::string key, value;
        std::uint64_t revision = 0;
        bool isDeleted = false;
    };

    void record(const Item &item)
    {
        if (item.isDeleted)
            this->items.erase(item.key);
        else
            this->items[item.key] = item;
        this->history.push_back(item);
        this->changed.notify_all();
    }
    Json jsonOf(const Item &item, std::size_t door) const
    {
        if (item.isDeleted)
            return { { "key", item.key }, { "revision", item.revision }, { "deleted", true } };
        return { { "key", item.key },           { "data", base64(this->view ? this->view(item.value, door) : item.value) },
                 { "revision", item.revision }, { "created", 1 },
                 { "lease-id", 0 } };
    }
    void serve(Conn &conn, std::size_t number)
    {
        std::atomic<Door> &door = *this->doors[number];
        while (const std::optional<Request> request = readRequest(conn)) {
            sleepS(0.004);
            const Door how = door;
            if (how == Door::Reset)
                return conn.reset();
            if (how == Door::Silent) {
                while (!conn.hasLeft() && door == Door::Silent)
                    sleepS(0.02);
                return conn.reset();
            }
            if (how == Door::Busy) {
                if (!conn.send(answerBytes(503, { { "Content-Type", "application/json" } }, "{}")))
                    return;
                continue;
            }
            const auto [status, body] = this->answer(*request, conn, number);
            if (status == 0)
                return conn.reset();
            if (!conn.send(answerBytes(status, { { "Content-Type", "application/json" } }, body)))
                return;
        }
    }
    std::pair<int, std::string> answer(const Request &request, Conn &conn, std::size_t number)
    {
        const std::atomic<Door> &door = *this->doors[number];
        std::map<std::string, std::string> query = readQuery(request.query);
        const std::string prefix = query["prefix"];
        Lock lock(this->mutex);
        if (request.path == "/kv-range") {
            Json list = Json::array();
            bool hasMore = false;
            for (const auto &[key, item] : this->items) {
                if (key <= query["after"] || !key.starts_with(prefix))
                    continue;
                if (list.size() == 500) {
                    hasMore = true;
                    break;
                }
                list.push_back(jsonOf(item, number));
            }
            return { 200, Json{ { "items", list }, { "has-more", hasMore }, { "at", this->revision } }.dump() };
        }
        if (request.path == "/kv-key") {
            const auto found = this->items.find(query["key"]);
            if (found == this->items.end())
                return { 404, "{}" };
            Json json = jsonOf(found->second, number);
            json["at"] = this->revision;
            return { 200, json.dump() };
        }
        if (request.path != "/kv-watch")
            return { 404, "{}" };
        const std::uint64_t after = std::strtoull(query["after"].c_str(), nullptr, 10);
        const double until = nowS() + std::atof(query["wait-ms"].c_str()) / 1000;
        const int cutsBefore = this->cuts;
        while (true) {
            if (door != Door::Open || this->cuts != cutsBefore)
                return { 0, {} };
            if (after < this->firstKept || after > this->revision)
                return { 410, "{}" };
            Json events = Json::array();
            for (const Item &item : this->history) {
                if (item.revision > after && item.key.starts_with(prefix))
                    events.push_back(jsonOf(item, number));
            }
            const double left = until - nowS();
            if (!events.empty() || left <= 0)
                return { 200, Json{ { "events", events }, { "at", this->revision } }.dump() };
            this->changed.wait_for(lock, std::chrono::duration<double>(std::min(left, 0.1)));
            if (conn.hasLeft())
                return { 0, {} };
        }
    }

    std::string ip;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::deque<Item> history;
    std::uint64_t revision = 100, firstKept = 0;
    int cuts = 0;
    std::vector<std::unique_ptr<std::atomic<Door>>> doors;
    std::vector<std::unique_ptr<Server>> servers;
};

// ---- processes of the project -------------------------------------------------------------------

inline std::string repositoryRoot; ///< Set by begin().
inline std::string workFolder;     ///< A temporary folder of this run.
inline std::string net;            ///< The first three bytes of all addresses, as "127.88.12.".

struct Host
{
    std::string name, zone, ip;
    int storePort = 0;
    pid_t pid = -1;
    bool isFirstStart = true;
    bool isExpectedToEnd = false;
    int endedByItself = 0;

    void writeSettings(const std::vector<std::string> &zones, const std::vector<std::string> &seeds,
                       const std::string &storeIp) const
    {
        std::ofstream out(workFolder + "/" + this->name + ".conf");
        out << "node-name=" << this->name << "\nrole=entry\nmachine-class=edge\nserves=edge,control\n"
            << "ip=" << this->ip << "\nzone=" << this->zone << "\nregion=r\n";
        for (const std::string &one : zones)
            out << "zones." << one << "=r\n";
        out << "listen-addresses.frontend=" << this->ip << ":8221\n"
            << "listen-addresses.readiness=" << this->ip << ":8224\n"
            << "listen-addresses.control-plane=" << this->ip << ":8229\n"
            << "internal-port-range=7600,7615\nseed-nodes=";
        for (std::size_t i = 0; i < seeds.size() && i < 3; ++i)
            out << (i ? "," : "") << seeds[i] << ":8229";
        out << "\nbootstrap=" << (this->isFirstStart ? "true" : "false")
            << "\nfault-counted=false\nlimits.cpu-quota=0.25\nlimits.cpu-cores=1\nlimits.memory-mb=260\n"
               "limits.max-fds=4100\nlimits.bandwidth-mbps=1000.0\nlimits.disk-mb=0\n"
               "discovery=platform\nentry=vip\nheartbeat-interval-ms=1200\n"
               "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform\n"
               "fault-tolerance.machine-count=1\nfault-tolerance.zones=1\nfault-tolerance.region-count=0\n"
               "bounds.seed-lag-s=3\nbounds.address-reuse-s=2\nbounds.contact-ms=3000\n"
               "bounds.ack-timeout-ms=4000\nbounds.catch-up-s=4\nbounds.drain-timeout-ms=2000\n"
               "bounds.grace-period-s=8\nbounds.loss-slack-ms=200\nbounds.config-propagation-ms=2000\n"
               "bounds.rollback-slack-ms=250\nbounds.skew-bound-ms=5000\nbounds.strict-revocation=false\n"
               "bounds.revocation-ms=5000\nbounds.retry-budget-ratio=0.2\nbounds.retry-window-s=10\n"
               "bounds.budget-slack=54\nbounds.quota-window-s=8\nbounds.quota-overshoot=0.25\n"
               "bounds.quota-tolerance=17000\nbounds.recovery-s=12\nbounds.iteration-ms=120\n"
               "bounds.retry-after-s=0\nbounds.fencing-enforced=false\nbounds.lease-ttl-ms=3000\n"
               "bounds.thaw-slack-ms=300\nbounds.origin-window-s=5\nbounds.rate-overage-factor=1.1\n"
               "bounds.version_ms=5000\n"
            << "platform.address=" << storeIp << ":" << this->storePort
            << "\nplatform.form=read\nplatform.writes-per-s=400\nplatform.reads-per-s=2000\n"
               "platform.history-s=20\nplatform.max-value-bytes=1048576\nplatform.min-ttl-ms=1000\n";
    }

    /// Starts the process by the `run` line of deploy/system.toml.
    void start()
    {
        const std::string conf = workFolder + "/" + this->name + ".conf";
        const std::string log = workFolder + "/" + this->name + ".log";
        const char *program = std::getenv("AZUREWELL_PROGRAM"); // for a build with sanitizers
        const std::string path = program ? program : "target/programs/azurewelld/azurewelld";
        this->isExpectedToEnd = false;
        this->pid = ::fork();
        if (this->pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (chdir(repositoryRoot.c_str()) != 0)
                _exit(2);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            setenv("AZUREWELL_BOOT", conf.c_str(), 1);
            execl(path.c_str(), path.c_str(), "node", nullptr);
            _exit(127);
        }
    }
    void signal(int number) const
    {
        if (this->pid > 0)
            ::kill(this->pid, number);
    }
    void kill()
    {
        if (this->pid <= 0)
            return;
        this->isExpectedToEnd = true;
        ::kill(this->pid, SIGCONT);
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = -1;
    }
    /// Whether the process has ended by itself; its exit status is noted.
    bool hasEnded()
    {
        int status = 0;
        if (this->pid <= 0 || ::waitpid(this->pid, &status, WNOHANG) != this->pid)
            return false;
        this->pid = -1;
        note("process " + this->name + " ended, status " + std::to_string(status));
        if (!this->isExpectedToEnd)
            ++this->endedByItself;
        return true;
    }
    bool isReady() const
    {
        const int fd = connectTo(this->ip, 8224, 0.3);
        if (fd < 0)
            return false;
        Conn conn(fd);
        conn.send("GET /readyz HTTP/1.1\r\nHost: " + this->ip + "\r\n\r\n");
        return readAnswer(conn, nowS() + 0.5).status == 200;
    }
};

/// Prepares a run: folders, a free range of loopback addresses, the record.
inline void begin(const std::string &recordPath)
{
    ::signal(SIGPIPE, SIG_IGN);
    nowS();
    char root[4096];
    repositoryRoot = getcwd(root, sizeof root);
    char folder[] = "/tmp/review-2-XXXXXX";
    workFolder = mkdtemp(folder);
    theRecord = std::make_unique<Record>(recordPath);
    for (int attempt = 0; attempt < 200; ++attempt) {
        net = "127." + std::to_string(64 + drawInt(150)) + "." + std::to_string(1 + drawInt(250)) + ".";
        const int fd = connectTo(net + "1", 8221, 0.05);
        if (fd < 0)
            return;
        ::close(fd);
    }
}

inline void cleanUp()
{
    if (!std::getenv("KEEP")) {
        const std::string command = "rm -rf '" + workFolder + "'";
        if (std::system(command.c_str()) != 0)
            std::fprintf(stderr, "could not remove %s\n", workFolder.c_str());
    } else {
        std::fprintf(stderr, "kept %s\n", workFolder.c_str());
    }
}

} // namespace kit
