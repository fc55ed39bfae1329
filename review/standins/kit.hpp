// Stand-ins for the scripts of the review: the platform's store, runners, requesters, and a launcher of gateways.
// Everything speaks plain HTTP/1.1 on 127.0.0.1, as the users' PROTOCOL page says, with one thread a connection.
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
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace kit {

using nlohmann::json;
using std::string;

inline const auto process_start = std::chrono::steady_clock::now();

/*! Milliseconds since the start of the script, by the steady clock. */
inline double now_ms() {
    return std::chrono::duration<double, std::milli>{std::chrono::steady_clock::now() - process_start}.count();
}

inline void sleep_ms(double ms) {
    if (ms > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>{ms});
    }
}

inline void sleep_until_ms(double at) {
    sleep_ms(at - now_ms());
}

/*! record.txt: one line for each thing that was sent, answered or run. */
class recorder {
public:
    void open(const string& path) { file_ = std::fopen(path.c_str(), "w"); }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard lock{mutex_};
        std::FILE* const out = file_ != nullptr ? file_ : stdout;
        std::fprintf(out, "%9.1f ", now_ms());
        va_list args;
        va_start(args, format);
        std::vfprintf(out, format, args);
        va_end(args);
        std::fputc('\n', out);
        std::fflush(out);
    }

    /*! A line of the record that is printed, too. */
    void result(const string& text) {
        line("%s", text.c_str());
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }

private:
    std::FILE* file_{};
    std::mutex mutex_{};
};

inline recorder& record() {
    static recorder it;
    return it;
}

/*! Ends the script because the case couldn't run. */
[[noreturn]] inline void cannot_run(const string& why);

// ---- sockets and HTTP

inline int listen_any(std::uint16_t& port, int backlog = 512) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 || listen(fd, backlog) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof(at);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    return fd;
}

/*! A port that is free now; the caller's program binds it next. */
inline std::uint16_t free_port() {
    std::uint16_t port = 0;
    const int fd = listen_any(port);
    close(fd);
    return port;
}

inline string address_of(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

inline int connect_to(std::uint16_t port, double timeout_ms = 1000) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    timeval limit{static_cast<time_t>(timeout_ms / 1000), static_cast<suseconds_t>(std::fmod(timeout_ms, 1000) * 1000)};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool send_all(int fd, const string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

inline void reset_connection(int fd) {
    const linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
}

inline string lower(string text) {
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

struct message {
    string first{}; //!< Request line or status line.
    std::vector<std::pair<string, string>> fields{};
    string body{};
    bool complete{}; //!< The whole message came.

    [[nodiscard]] string field(const string& name) const {
        for (const auto& [key, value] : fields) {
            if (lower(key) == lower(name)) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] bool has(const string& name) const {
        return std::ranges::any_of(fields, [&](const auto& it) { return lower(it.first) == lower(name); });
    }
    [[nodiscard]] int status() const {
        const auto at = first.find(' ');
        return at == string::npos ? 0 : std::atoi(first.c_str() + at + 1);
    }
    [[nodiscard]] string method() const { return first.substr(0, first.find(' ')); }
    [[nodiscard]] string target() const {
        const auto at = first.find(' ');
        return at == string::npos ? string{} : first.substr(at + 1, first.find(' ', at + 1) - at - 1);
    }
};

/*! Reads messages from a connection; bytes of a next message stay buffered. */
class reader {
public:
    explicit reader(int fd) : fd_{fd} {}

    /*! Reads one message. @param limit_at Time at which it gives up. @param is_answer The body may end with the
     * connection. @return The message; complete is false if the connection ended, failed or was late. */
    message read(double limit_at, bool is_answer) {
        message out;
        const auto end = wait_for("\r\n\r\n", limit_at);
        if (end == string::npos) {
            return out;
        }
        parse_head(out, in_.substr(0, end));
        in_.erase(0, end + 4);
        if (is_answer && out.status() / 100 == 1) {
            return read(limit_at, is_answer);
        }
        if (lower(out.field("Transfer-Encoding")) == "chunked") {
            out.complete = read_chunks(out.body, limit_at);
        } else if (out.has("Content-Length")) {
            const auto n = static_cast<std::size_t>(std::atoll(out.field("Content-Length").c_str()));
            while (in_.size() < n && more(limit_at)) {
            }
            out.complete = in_.size() >= n;
            out.body = in_.substr(0, n);
            in_.erase(0, std::min(n, in_.size()));
        } else if (is_answer) {
            while (more(limit_at)) {
            }
            out.body = std::exchange(in_, {});
            out.complete = ended_;
        } else {
            out.complete = true;
        }
        return out;
    }

    [[nodiscard]] bool ended() const { return ended_ || failed_; }
    [[nodiscard]] bool reset() const { return failed_; }
    [[nodiscard]] bool late() const { return late_; }
    [[nodiscard]] const string& buffered() const { return in_; }

    bool more(double limit_at) {
        while (true) {
            const double left = limit_at - now_ms();
            pollfd it{fd_, POLLIN, 0};
            const int ready = left <= 0 ? 0 : poll(&it, 1, static_cast<int>(left) + 1);
            if (ready < 0 && errno == EINTR) {
                continue;
            }
            if (ready <= 0) {
                late_ = true;
                return false;
            }
            char buf[65536];
            const auto n = recv(fd_, buf, sizeof(buf), 0);
            if (n > 0) {
                in_.append(buf, static_cast<std::size_t>(n));
                return true;
            }
            (n == 0 ? ended_ : failed_) = true;
            return false;
        }
    }

private:
    std::size_t wait_for(const char* mark, double limit_at) {
        while (true) {
            const auto at = in_.find(mark);
            if (at != string::npos) {
                return at;
            }
            if (ended() || !more(limit_at)) {
                return string::npos;
            }
        }
    }

    bool read_chunks(string& body, double limit_at) {
        while (true) {
            const auto end = wait_for("\r\n", limit_at);
            if (end == string::npos) {
                return false;
            }
            const auto n = static_cast<std::size_t>(std::strtoul(in_.c_str(), nullptr, 16));
            while (in_.size() < end + 2 + n + 2) {
                if (ended() || !more(limit_at)) {
                    body += in_.substr(std::min(in_.size(), end + 2), n);
                    return false;
                }
            }
            body += in_.substr(end + 2, n);
            in_.erase(0, end + 2 + n + 2);
            if (n == 0) {
                return true;
            }
        }
    }

    static void parse_head(message& out, const string& head) {
        std::istringstream lines{head};
        string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (out.first.empty()) {
                out.first = line;
                continue;
            }
            const auto colon = line.find(':');
            if (colon != string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(" \t"));
                out.fields.emplace_back(line.substr(0, colon), value);
            }
        }
    }

    int fd_;
    string in_{};
    bool ended_{};
    bool failed_{};
    bool late_{};
};

/*! Accepts connections on a port of its own and serves each with a thread. */
class server {
public:
    using handler = std::function<void(int fd)>;

    explicit server(handler it) : handler_{std::move(it)} {}
    ~server() { close_port(); }

    void open(std::uint16_t port = 0) {
        port_ = port;
        fd_ = listen_any(port_);
        if (fd_ < 0) {
            cannot_run("a stand-in found no port");
        }
        thread_ = std::thread{[this] { accept_loop(); }};
    }

    /*! Closes the port and resets all connections, as when the process is killed. */
    void close_port() {
        stopping_ = true;
        if (fd_ >= 0) {
            shutdown(fd_, SHUT_RDWR);
        }
        if (thread_.joinable()) {
            thread_.join();
        }
        if (fd_ >= 0) {
            close(fd_);
            fd_ = -1;
        }
        cut_all();
        while (open_ > 0) {
            sleep_ms(1);
        }
        stopping_ = false;
    }

    /*! Resets all connections that are open. */
    void cut_all() {
        const std::lock_guard lock{mutex_};
        for (const int fd : fds_) {
            reset_connection(fd);
            shutdown(fd, SHUT_RDWR);
        }
    }

    /*! Falls dark, as a machine without power: connections are silent, and new ones get no answer at all, because the
     * queue of new connections is full. */
    void go_dark() {
        dark_ = true;
        sleep_ms(30); // The loop sees it.
        listen(fd_, 0);
        for (int n = 0; n < 2; ++n) {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            sockaddr_in at{};
            at.sin_family = AF_INET;
            at.sin_port = htons(port_);
            at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            static_cast<void>(connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)));
            fillers_.push_back(fd);
        }
    }

    /*! Has power again: knows nothing of the former connections, which are reset. */
    void come_back() {
        for (const int fd : fillers_) {
            close(fd);
        }
        fillers_.clear();
        cut_all();
        while (true) { // What came while it was dark is not known either.
            const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            pollfd it{fd_, POLLIN, 0};
            if (fd < 0) {
                if (poll(&it, 1, 0) <= 0) {
                    break;
                }
                continue;
            }
            reset_connection(fd);
            close(fd);
            if (poll(&it, 1, 0) <= 0) {
                break;
            }
        }
        listen(fd_, 512);
        dark_ = false;
    }

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] bool stopping() const { return stopping_; }

private:
    void accept_loop() {
        while (!stopping_) {
            pollfd ready{fd_, POLLIN, 0};
            if (dark_ || poll(&ready, 1, 10) <= 0) {
                if (dark_) {
                    sleep_ms(1);
                }
                continue;
            }
            const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (stopping_) {
                    return;
                }
                sleep_ms(1);
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock{mutex_};
                fds_.insert(fd);
            }
            ++open_;
            std::thread{[this, fd] {
                handler_(fd);
                {
                    const std::lock_guard lock{mutex_};
                    fds_.erase(fd);
                }
                close(fd);
                --open_;
            }}.detach();
        }
    }

    handler handler_;
    std::uint16_t port_{};
    int fd_{-1};
    std::atomic<bool> stopping_{};
    std::atomic<bool> dark_{};
    std::vector<int> fillers_{};
    std::atomic<int> open_{};
    std::mutex mutex_{};
    std::set<int> fds_{};
    std::thread thread_{};
};

inline string answer(int status, const string& reason, const std::vector<std::pair<string, string>>& fields,
                     const string& body) {
    string out = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const auto& [name, value] : fields) {
        out += name + ": " + value + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline string base64(const string& in) {
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    string out;
    for (std::size_t n = 0; n < in.size(); n += 3) {
        std::uint32_t v = 0;
        const auto have = std::min<std::size_t>(3, in.size() - n);
        for (std::size_t k = 0; k < 3; ++k) {
            v = v << 8U | (k < have ? static_cast<unsigned char>(in[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += k <= have ? digits[v >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

// ---- the platform's store

/*! Rows, readings, transactions and the feed, as PROTOCOL says. Values are kept as they are sent, in base64. */
class store {
    struct row {
        string value{};
        std::uint64_t ver{};
    };
    struct change {
        std::uint64_t ver{};
        string table{};
        string key{};
        string value{};
        bool removed{};
    };
    using rows = std::map<std::pair<string, string>, row>;

public:
    store() : server_{[this](int fd) { serve(fd); }} {}
    ~store() {
        ended_ = true;
        changed_.notify_all();
    }

    void open() { server_.open(); }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    /*! The platform's own writing (operator and runners). @return The version, or 0 while the store is away. */
    std::uint64_t put(const string& table, const string& key, const json& value) {
        const std::lock_guard lock{mutex_};
        if (away_) {
            return 0;
        }
        ++ver_;
        apply({ver_, table, key, base64(value.dump()), false});
        return ver_;
    }
    std::uint64_t put_raw(const string& table, const string& key, const string& bytes) {
        const std::lock_guard lock{mutex_};
        if (away_) {
            return 0;
        }
        ++ver_;
        apply({ver_, table, key, base64(bytes), false});
        return ver_;
    }
    std::uint64_t remove(const string& table, const string& key) {
        const std::lock_guard lock{mutex_};
        if (away_) {
            return 0;
        }
        ++ver_;
        apply({ver_, table, key, {}, true});
        return ver_;
    }

    [[nodiscard]] std::uint64_t version() {
        const std::lock_guard lock{mutex_};
        return ver_;
    }

    /*! Keeps a copy of all rows, as of now. */
    void keep_copy() {
        const std::lock_guard lock{mutex_};
        copy_ = {rows_, log_, ver_};
    }

    /*! Goes away: resets all connections and closes its port. */
    void go_away() {
        {
            const std::lock_guard lock{mutex_};
            away_ = true;
        }
        changed_.notify_all();
        const auto at = server_.port();
        server_.close_port();
        port_ = at;
    }

    /*! Comes back. @param from_copy From the copy, with the next era, instead of with all that it had. */
    void come_back(bool from_copy) {
        {
            const std::lock_guard lock{mutex_};
            away_ = false;
            if (from_copy) {
                rows_ = copy_.rows_;
                log_ = copy_.log_;
                ver_ = copy_.ver_;
                ++era_;
            }
        }
        server_.open(port_);
    }

private:
    struct saved {
        rows rows_{};
        std::deque<change> log_{};
        std::uint64_t ver_{};
    };

    void apply(const change& it) {
        if (it.removed) {
            rows_.erase({it.table, it.key});
        } else {
            rows_[{it.table, it.key}] = {it.value, it.ver};
        }
        log_.push_back(it);
        changed_.notify_all();
    }

    static std::map<string, string> query_of(const string& target) {
        std::map<string, string> out;
        const auto mark = target.find('?');
        std::istringstream in{mark == string::npos ? string{} : target.substr(mark + 1)};
        string item;
        while (std::getline(in, item, '&')) {
            const auto eq = item.find('=');
            string value;
            const string raw = eq == string::npos ? string{} : item.substr(eq + 1);
            for (std::size_t n = 0; n < raw.size(); ++n) {
                if (raw[n] == '%' && n + 2 < raw.size()) {
                    value += static_cast<char>(std::stoi(raw.substr(n + 1, 2), nullptr, 16));
                    n += 2;
                } else {
                    value += raw[n];
                }
            }
            out[item.substr(0, eq)] = value;
        }
        return out;
    }

    string reply(int status, json body) {
        body["ver"] = ver_;
        body["now_ms"] = static_cast<std::int64_t>(now_ms());
        return answer(status, status == 200 ? "OK" : "Error",
                      {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}}, body.dump());
    }

    string get(const std::map<string, string>& q) {
        json out = json::array();
        bool more = false;
        const auto limit = q.contains("limit") ? std::stoul(q.at("limit")) : 500UL;
        const string from = q.contains("from") ? q.at("from") : string{};
        for (const auto& [at, it] : rows_) {
            if (at.first != q.at("table") || at.second < from) {
                continue;
            }
            if (out.size() >= std::min(limit, 500UL)) {
                more = true;
                break;
            }
            out.push_back(
                {{"table", at.first}, {"part", ""}, {"key", at.second}, {"value", it.value}, {"ver", it.ver}});
        }
        return reply(200, {{"rows", out}, {"has_more", more}});
    }

    string feed(const std::map<string, string>& q, std::unique_lock<std::mutex>& lock) {
        const auto after = std::stoull(q.at("after_rev"));
        if (after > ver_) {
            return reply(410, json::object());
        }
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds{std::stol(q.at("wait_ms"))};
        const auto era = era_;
        json out = json::array();
        while (!away_ && !ended_ && era_ == era) {
            for (const auto& it : log_) {
                if (it.ver > after && it.table == q.at("table")) {
                    json entry{{"table", it.table}, {"part", ""}, {"key", it.key}, {"ver", it.ver}};
                    if (it.removed) {
                        entry["removed"] = true;
                    } else {
                        entry["value"] = it.value;
                    }
                    out.push_back(entry);
                }
            }
            if (!out.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
                break;
            }
        }
        return reply(200, {{"rows", out}});
    }

    string write(const json& in) {
        ++ver_;
        for (const auto& it : in.value("put", json::array())) {
            const auto table = it.value("table", "");
            if (table == "op" || table == "servers") {
                return reply(403, json::object());
            }
            apply({ver_, table, it.value("key", ""), it.value("value", ""), false});
        }
        for (const auto& it : in.value("remove", json::array())) {
            apply({ver_, it.value("table", ""), it.value("key", ""), {}, true});
        }
        return reply(200, json::object());
    }

    void serve(int fd) {
        reader in{fd};
        while (true) {
            const auto request = in.read(now_ms() + 120'000, false);
            if (!request.complete) {
                return;
            }
            const auto target = request.target();
            string out;
            {
                std::unique_lock lock{mutex_};
                if (away_) {
                    return;
                }
                const auto q = query_of(target);
                if (target.starts_with("/rows-get")) {
                    out = get(q);
                } else if (target.starts_with("/rows-feed")) {
                    out = feed(q, lock);
                } else if (target.starts_with("/rows-tx")) {
                    out = write(json::parse(request.body, nullptr, false));
                } else {
                    out = reply(404, json::object());
                }
                if (away_) {
                    return;
                }
            }
            sleep_ms(4); // Its answers take this long.
            if (!send_all(fd, out)) {
                return;
            }
        }
    }

    server server_;
    std::uint16_t port_{};
    std::mutex mutex_{};
    std::condition_variable changed_{};
    rows rows_{};
    std::deque<change> log_{};
    std::uint64_t ver_{1000};
    std::uint64_t era_{1};
    saved copy_{};
    bool away_{};
    std::atomic<bool> ended_{};
};

// ---- runners

/*! One runner: its port, its entry in the store, written each heartbeat, and what it ran. */
class runner {
public:
    struct call {
        const message* request{};
        int fd{-1};
        string id{}; //!< Dandelionbay-Request-Id.
        bool keep{true};
    };
    using handler = std::function<void(runner&, call&)>;

    runner(store& platform, string id, string service, string zone, int slots, handler on_call)
        : platform_{&platform}, id_{std::move(id)}, service_{std::move(service)}, zone_{std::move(zone)}, slots_{slots},
          handler_{std::move(on_call)}, server_{[this](int fd) { serve(fd); }} {}
    ~runner() { stop(); }

    void start() {
        server_.open();
        born_ = 1'790'000'000'000 + static_cast<std::int64_t>(now_ms());
        seq_ = 0;
        running_ = true;
        write_entry();
        beats_ = std::thread{[this] { beat_loop(); }};
    }

    void stop() {
        if (!running_.exchange(false)) {
            return;
        }
        beats_.join();
        server_.close_port();
    }

    /*! Kills the process and starts it again after a time, under the same id or another one. */
    void crash() { server_.close_port(); }
    void restart(const string& id) {
        server_.open(server_.port());
        renew(id);
    }

    /*! A new process: it knows nothing of the one before. */
    void renew(const string& id) {
        const std::lock_guard lock{mutex_};
        id_ = id;
        born_ = 1'790'000'000'000 + static_cast<std::int64_t>(now_ms());
        seq_ = 0;
    }

    /*! Writes the entry at once. @return The store's version of it, or 0. */
    std::uint64_t write_entry() {
        json entry;
        string id;
        {
            const std::lock_guard lock{mutex_};
            id = id_;
            const double cold = std::max(0.0, cold_until_ - now_ms());
            entry = {{"service", service_}, {"address", address_of(server_.port())},
                     {"zone", zone_},       {"version", "v1"},
                     {"slots", slots_},     {"state", state_},
                     {"seq", ++seq_},       {"cold_remaining_ms", static_cast<std::int64_t>(cold)},
                     {"born", born_}};
        }
        return platform_->put("servers", id, entry);
    }

    void set_state(const string& state) {
        const std::lock_guard lock{mutex_};
        state_ = state;
    }
    void set_cold(double for_ms) {
        const std::lock_guard lock{mutex_};
        cold_until_ = now_ms() + for_ms;
    }
    void set_writing(bool writes) { writes_ = writes; }
    void set_beat(double ms) { beat_ms_ = ms; }

    [[nodiscard]] string id() {
        const std::lock_guard lock{mutex_};
        return id_;
    }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    server& port_server() { return server_; }

private:
    void beat_loop() {
        double next = now_ms() + beat_ms_;
        while (running_) {
            if (now_ms() < next) {
                sleep_ms(5);
                continue;
            }
            next += beat_ms_;
            if (writes_) {
                write_entry();
            }
        }
    }

    void serve(int fd) {
        reader in{fd};
        while (true) {
            const auto request = in.read(now_ms() + 120'000, false);
            if (!request.complete) {
                return;
            }
            call it{&request, fd, request.field("Dandelionbay-Request-Id"), true};
            const auto expected = request.field("Dandelionbay-Expect-Instance");
            if (!expected.empty() && expected != id()) {
                record().line("runner %s: 421 for %s", id().c_str(), it.id.c_str());
                if (!send_all(fd,
                              answer(421, "Misdirected Request",
                                     {{"Dandelionbay-Request-Id", it.id}, {"Dandelionbay-Instance-Id", id()}}, ""))) {
                    return;
                }
                continue;
            }
            handler_(*this, it);
            if (!it.keep) {
                return;
            }
        }
    }

    store* platform_;
    std::mutex mutex_{};
    string id_;
    string service_;
    string zone_;
    int slots_;
    handler handler_;
    server server_;
    string state_{"ready"};
    double cold_until_{};
    std::int64_t born_{};
    std::uint64_t seq_{};
    std::atomic<double> beat_ms_{1200};
    std::atomic<bool> running_{};
    std::atomic<bool> writes_{true};
    std::thread beats_{};
};

inline string seal_of(const string& id) {
    return "3e1b." + id;
}

/*! A sound answer of a plain service. */
inline string sound_answer(const string& id, const string& body,
                           std::vector<std::pair<string, string>> more_fields = {}) {
    std::vector<std::pair<string, string>> fields{{"Dandelionbay-Request-Id", id},
                                                  {"Dandelionbay-Response-Seal", seal_of(id)}};
    fields.insert(fields.end(), more_fields.begin(), more_fields.end());
    return answer(200, "OK", fields, body);
}

// ---- gateways

/*! The platform's template of settings: {{a.b}} and {{a.b|json}}. */
inline string render(const string& text, const json& settings) {
    string out;
    std::size_t at = 0;
    while (true) {
        const auto open = text.find("{{", at);
        if (open == string::npos) {
            return out + text.substr(at);
        }
        const auto close = text.find("}}", open);
        out += text.substr(at, open - at);
        auto name = text.substr(open + 2, close - open - 2);
        const bool as_json = name.ends_with("|json");
        if (as_json) {
            name.resize(name.size() - 5);
        }
        const json* value = &settings;
        std::istringstream parts{name};
        string part;
        while (value != nullptr && std::getline(parts, part, '.')) {
            if (value->is_array()) {
                const auto n = std::stoul(part);
                value = n < value->size() ? &(*value)[n] : nullptr;
            } else {
                value = value->contains(part) ? &(*value)[part] : nullptr;
            }
        }
        if (value != nullptr) {
            out += !as_json && value->is_string() ? value->get<string>() : value->dump();
        }
        at = close + 2;
    }
}

inline string read_file(const string& path) {
    std::ifstream in{path};
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
}

struct place {
    string node{"front-parkland-north-1"};
    string zone{"parkland-north"};
};

class gateway;

/*! All gateways of the script, which are ended with it. */
inline std::vector<gateway*>& gateways() {
    static std::vector<gateway*> it;
    return it;
}

/*! A process of the project, started with the command of the deploy file. */
class gateway {
public:
    gateway(const string& folder, const place& where, std::uint16_t store_port, json bounds = json::object())
        : folder_{folder}, where_{where} {
        front_ = free_port();
        ready_ = free_port();
        control_ = free_port();
        metrics_ = free_port();
        settings_ = {
            {"node_name", where.node},
            {"ip", "127.0.0.1"},
            {"zone", where.zone},
            {"region", "aspen-parkland"},
            {"zones",
             {{"parkland-north", "aspen-parkland"},
              {"parkland-east", "aspen-parkland"},
              {"grass-south", "short-grass"}}},
            {"listen",
             {{"front", address_of(front_)}, {"ready_addr", address_of(ready_)}, {"control", address_of(control_)}}},
            {"port_range", json::array({metrics_, metrics_})},
            {"seeds", json::array({address_of(control_)})},
            {"bounds",
             {{"drain_ms", 2500},
              {"grace_s", 8},
              {"config_apply_ms", 2500},
              {"revoke_ms", 5000},
              {"retry_budget_ratio", 0.2},
              {"retry_window_s", 10},
              {"retry_slack", 54}}},
            {"platform", {{"address", address_of(store_port)}}}};
        settings_["bounds"].update(bounds);
        gateways().push_back(this);
    }
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway() {
        stop();
        std::erase(gateways(), this);
    }

    void set_seeds(const std::vector<std::uint16_t>& controls) {
        json seeds = json::array();
        for (const auto it : controls) {
            seeds.push_back(address_of(it));
        }
        settings_["seeds"] = seeds;
    }

    void start() {
        const auto path = folder_ + "/" + where_.node + ".json";
        std::ofstream{path} << render(read_file("deploy/gateway.json.template"), settings_);
        const auto log = folder_ + "/" + where_.node + ".log";
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            setenv("DANDELIONBAY_NODE_FILE", path.c_str(), 1);
            const auto flag = "--settings=" + path;
            execl("target/dandelionbay", "target/dandelionbay", "serve", flag.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        record().line("started gateway %s, pid %d, requesters' port %d", where_.node.c_str(), pid_, front_);
    }

    bool is_ready() {
        const int fd = connect_to(ready_, 300);
        if (fd < 0) {
            return false;
        }
        send_all(fd, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        reader in{fd};
        const auto it = in.read(now_ms() + 500, true);
        close(fd);
        return it.status() == 200;
    }

    bool wait_ready(double limit_ms = 10'000) {
        const double until = now_ms() + limit_ms;
        while (now_ms() < until) {
            if (is_ready()) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

    void signal(int which) {
        if (pid_ > 0) {
            kill(pid_, which);
        }
    }
    bool has_ended() {
        if (pid_ <= 0) {
            return true;
        }
        if (waitpid(pid_, &status_, WNOHANG) == pid_) {
            pid_ = 0;
            return true;
        }
        return false;
    }
    [[nodiscard]] int exit_status() const { return status_; }

    void stop() {
        if (!has_ended()) {
            kill(pid_, SIGKILL);
            waitpid(pid_, &status_, 0);
            pid_ = 0;
        }
    }

    [[nodiscard]] std::uint16_t front() const { return front_; }
    [[nodiscard]] std::uint16_t control() const { return control_; }
    [[nodiscard]] std::uint16_t metrics_port() const { return metrics_; }
    [[nodiscard]] const string& name() const { return where_.node; }
    json& settings() { return settings_; }

    string metrics() const {
        const int fd = connect_to(metrics_, 300);
        if (fd < 0) {
            return {};
        }
        send_all(fd, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        reader in{fd};
        const auto it = in.read(now_ms() + 1000, true);
        close(fd);
        return it.body;
    }

private:
    string folder_;
    place where_;
    std::uint16_t front_{};
    std::uint16_t ready_{};
    std::uint16_t control_{};
    std::uint16_t metrics_{};
    json settings_;
    pid_t pid_{};
    int status_{};
};

// ---- requesters

struct request {
    string method{"GET"};
    string host{"ficu95.example"};
    string path{};
    std::vector<std::pair<string, string>> fields{};
    string body{};
    double deadline_ms{6000};
    string key{};
};

inline string new_id(const char* prefix = "q") {
    static std::atomic<std::uint64_t> last{0};
    char buf[32];
    std::snprintf(buf, sizeof(buf), "%s%06llx", prefix, static_cast<unsigned long long>(++last));
    return buf;
}

inline string bytes_of(const request& it, const string& id) {
    string out = it.method + " " + it.path + " HTTP/1.1\r\nHost: " + it.host + "\r\nDandelionbay-Request-Id: " + id +
                 "\r\nDandelionbay-Deadline-Ms: " + std::to_string(static_cast<long>(it.deadline_ms)) + "\r\n";
    if (!it.key.empty()) {
        out += "Authorization: Token " + it.key + "\r\n";
    }
    for (const auto& [name, value] : it.fields) {
        out += name + ": " + value + "\r\n";
    }
    if (!it.body.empty() || it.method == "POST") {
        out += "Content-Length: " + std::to_string(it.body.size()) + "\r\n";
    }
    return out + "\r\n" + it.body;
}

/*! Sends one request on a new connection and reads its answer. */
inline message send_request(std::uint16_t port, const request& it, const string& id, double limit_ms) {
    const int fd = connect_to(port, 1000);
    if (fd < 0) {
        return {};
    }
    message out;
    if (send_all(fd, bytes_of(it, id))) {
        reader in{fd};
        out = in.read(now_ms() + limit_ms, true);
    }
    close(fd);
    return out;
}

// ---- the script

/*! The folder of the case, for record.txt, and a temporary folder for settings and logs. */
struct script {
    string folder{};
    string temporary{};
    bool trouble{true};
};

inline script& current() {
    static script it;
    return it;
}

inline script& begin(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    auto& it = current();
    it.folder = argc > 1 ? argv[1] : ".";
    const char* const trouble = std::getenv("TROUBLE");
    it.trouble = trouble == nullptr || string{trouble} != "0";
    char name[] = "/tmp/dandelionbay-review-XXXXXX";
    if (mkdtemp(name) == nullptr) {
        std::exit(2);
    }
    it.temporary = name;
    record().open(it.folder + "/record.txt");
    record().line("disruption: %s", it.trouble ? "yes" : "no");
    return it;
}

/*! Ends the script: 0 the rule held, 1 it was broken, 2 the case couldn't run. Processes end with it. */
[[noreturn]] inline void finish(int code, const string& why) {
    for (auto* const it : gateways()) {
        it->stop();
    }
    record().result((code == 0 ? "rule held: " : code == 1 ? "RULE BROKEN: " : "could not run: ") + why);
    if (std::getenv("KEEP") == nullptr) {
        const auto command = "rm -rf '" + current().temporary + "'";
        if (std::system(command.c_str()) != 0) {
            std::fprintf(stderr, "the temporary folder is left\n");
        }
    } else {
        std::printf("kept: %s\n", current().temporary.c_str());
    }
    std::fflush(nullptr);
    _exit(code);
}

[[noreturn]] inline void cannot_run(const string& why) {
    finish(2, why);
}

} // namespace kit
