#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "dandelionbay/base/text.hpp"
#include "raw_server.hpp"

namespace dandelionbay::platform {

/*! @brief Stand-in of the platform's table store: reading, watching and writing of rows with an empty part. */
class standin_store {
    struct row {
        std::string value{};
        std::uint64_t version{};
        bool removed{};
    };

public:
    standin_store()
        : server_{[this](const http_request& request, raw_server::connection& to) { serve(request, to); }} {}

    [[nodiscard]] socket_address address() const { return server_.address(); }

    void put(const std::string& table, const std::string& key, const std::string& value) {
        const std::scoped_lock lock{mutex_};
        rows_[{table, key}] = row{value, ++version_, false};
        changed_.notify_all();
    }

    void remove(const std::string& table, const std::string& key) {
        const std::scoped_lock lock{mutex_};
        rows_[{table, key}] = row{"", ++version_, true};
        changed_.notify_all();
    }

    /*! @brief Answers 503 to all calls, or serves them again. */
    void set_down(bool down) {
        const std::scoped_lock lock{mutex_};
        down_ = down;
        changed_.notify_all();
    }

    /*! @brief Answers all reading calls with this text, or with the rows again if it is empty. */
    void answer_with(const std::string& text) {
        const std::scoped_lock lock{mutex_};
        text_ = text;
        changed_.notify_all();
    }

    enum class cutting : std::uint8_t { none, close, reset };

    /*! @brief Cuts each answer after some of its bytes, a different number each time, and ends its connection. */
    void cut_answers(cutting how) {
        const std::scoped_lock lock{mutex_};
        cutting_ = how;
    }

    /*! @brief Begins all answers well and sends their bodies without end, or answers as usual again. */
    void answer_without_end(bool endless) {
        const std::scoped_lock lock{mutex_};
        endless_ = endless;
        changed_.notify_all();
    }

    /*! @brief Answers without end that were given up by the other side. */
    [[nodiscard]] int endless_answers() const { return endless_answers_; }

    /*! @brief Bytes of the longest of them. */
    [[nodiscard]] std::size_t most_sent() const { return most_sent_; }

    /*! @brief Number of answers that were cut. */
    [[nodiscard]] std::size_t cut() {
        const std::scoped_lock lock{mutex_};
        return cut_;
    }

    /*! @brief Copies all rows, for restore(). */
    void keep_copy() {
        const std::scoped_lock lock{mutex_};
        copy_ = {rows_, version_};
    }

    /*! @brief Comes back from the copy: versions count from there, and the era, which all answers name, rises. */
    void restore() {
        const std::scoped_lock lock{mutex_};
        std::tie(rows_, version_) = copy_;
        history_from_ = version_;
        ++era_;
        changed_.notify_all();
    }

    /*! @brief Names the era in a way that makes no sense, or as usual again. */
    void garble_era(bool garbled) {
        const std::scoped_lock lock{mutex_};
        is_era_garbled_ = garbled;
    }

    /*! @brief Forgets what changed before now. */
    void compact() {
        const std::scoped_lock lock{mutex_};
        history_from_ = ++version_;
        changed_.notify_all();
    }

    [[nodiscard]] bool holds(const std::string& table, const std::string& key) {
        const std::scoped_lock lock{mutex_};
        const auto it = rows_.find({table, key});
        return it != rows_.end() && !it->second.removed;
    }

    /*! @brief Number of rows in a table. */
    [[nodiscard]] std::ptrdiff_t rows(const std::string& table) {
        const std::scoped_lock lock{mutex_};
        return std::ranges::count_if(rows_,
                                     [&](const auto& it) { return it.first.first == table && !it.second.removed; });
    }

    /*! @brief The store's clock at some time before now. */
    [[nodiscard]] static std::int64_t ms_before(std::chrono::milliseconds time) { return now_ms() - time.count(); }

    void stop() {
        set_down(true);
        server_.stop();
    }

private:
    static std::string parameter(const http_request& request, const std::string& name) {
        const auto at = request.target.find(name + "=");
        if (at == std::string::npos) {
            return {};
        }
        const auto from = at + name.size() + 1;
        return request.target.substr(from, request.target.find('&', from) - from);
    }

    void answer(raw_server::connection& to, int status, const std::string& body) {
        const auto bytes =
            concat("HTTP/1.1 ", status,
                   " X\r\nContent-Type: application/json\r\nStore-Era: ", is_era_garbled_ ? "-x" : concat(era_),
                   "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
        if (cutting_ == cutting::none) {
            to.write(bytes);
            return;
        }
        constexpr std::size_t step = 13; // Most cuts are in the head, which has about 70 bytes.
        to.write(bytes.substr(0, cut_++ * step % bytes.size()));
        cutting_ == cutting::reset ? to.reset() : to.close();
    }

    void send_without_end(raw_server::connection& to) {
        const std::string filler(10'000, 'a');
        to.write("HTTP/1.1 200 X\r\nContent-Type: application/json\r\n\r\n");
        std::size_t sent = 0;
        while (endless_ && to.write(filler)) {
            sent += filler.size();
        }
        most_sent_ = std::max(most_sent_.load(), sent);
        ++endless_answers_;
    }

    static std::int64_t now_ms() {
        const auto now = std::chrono::steady_clock::now().time_since_epoch() + std::chrono::hours{1'000};
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

    std::string rows_since(const std::string& table, std::uint64_t after, bool with_removed) {
        nlohmann::json list = nlohmann::json::array();
        for (const auto& [name, it] : rows_) {
            if (name.first != table || it.version <= after || (it.removed && !with_removed)) {
                continue;
            }
            nlohmann::json out{{"table", table}, {"part", ""}, {"key", name.second}, {"ver", it.version}};
            if (it.removed) {
                out["removed"] = true;
            } else {
                out["value"] = absl::Base64Escape(it.value);
            }
            list.push_back(std::move(out));
        }
        return nlohmann::json{{"rows", list}, {"has_more", false}, {"ver", version_}, {"now_ms", now_ms()}}.dump();
    }

    void watch(const http_request& request, raw_server::connection& to, std::unique_lock<std::mutex>& lock) {
        const auto table = parameter(request, "table");
        const auto after = std::stoull(parameter(request, "after_rev"));
        const std::chrono::milliseconds wait{std::stoll(parameter(request, "wait_ms"))};
        changed_.wait_for(lock, wait, [&] {
            return down_ || !text_.empty() || after < history_from_ || after > version_ ||
                   std::ranges::any_of(
                       rows_, [&](const auto& it) { return it.first.first == table && it.second.version > after; });
        });
        if (down_) {
            answer(to, 503, "{}");
        } else if (!text_.empty()) {
            answer(to, 200, text_);
        } else if (after < history_from_ || after > version_) {
            answer(to, 410, "{}");
        } else {
            answer(to, 200, rows_since(table, after, true));
        }
    }

    void write(const http_request& request, raw_server::connection& to) {
        const auto body = nlohmann::json::parse(request.body);
        ++version_;
        for (const auto& it : body["put"]) {
            std::string value;
            absl::Base64Unescape(it["value"].get<std::string>(), &value);
            rows_[{it["table"], it["key"]}] = row{value, version_, false};
        }
        for (const auto& it : body["remove"]) {
            rows_[{it["table"], it["key"]}] = row{"", version_, true};
        }
        changed_.notify_all();
        answer(to, 200, nlohmann::json{{"ver", version_}, {"now_ms", now_ms()}}.dump());
    }

    void serve(const http_request& request, raw_server::connection& to) {
        std::unique_lock lock{mutex_};
        if (endless_) {
            lock.unlock();
            send_without_end(to);
        } else if (down_) {
            answer(to, 503, "{}");
        } else if (request.path() == "/rows-get") {
            answer(to, 200, !text_.empty() ? text_ : rows_since(parameter(request, "table"), 0, false));
        } else if (request.path() == "/rows-feed") {
            watch(request, to, lock);
        } else {
            write(request, to);
        }
    }

    std::mutex mutex_{};
    std::condition_variable changed_{};
    std::map<std::pair<std::string, std::string>, row> rows_{};
    std::uint64_t version_{};
    std::uint64_t history_from_{};
    std::uint64_t era_{1};
    bool is_era_garbled_{};
    std::pair<std::map<std::pair<std::string, std::string>, row>, std::uint64_t> copy_{};
    bool down_{};
    cutting cutting_{cutting::none};
    std::size_t cut_{};
    std::string text_{};
    std::atomic<bool> endless_{};
    std::atomic<int> endless_answers_{};
    std::atomic<std::size_t> most_sent_{};
    raw_server server_; // Last: its threads use the members above.
};

} // namespace dandelionbay::platform
