#include "dandelionbay/proxy/http_connection.hpp"

#include <algorithm>
#include <utility>

namespace dandelionbay {

http_connection::http_connection(boost::asio::io_context& loop, const socket_address& to,
                                 std::chrono::milliseconds timeout)
    : to_{to}, connect_timeout_{timeout}, channel_{std::make_shared<channel>(channel::tcp::socket{loop}, *this)} {}

http_connection::~http_connection() {
    close();
}

void http_connection::start(int receive_buffer_bytes) {
    channel_->connect(to_, connect_timeout_, receive_buffer_bytes);
}

void http_connection::send(std::string bytes, bool without_body, response_handler* handler) {
    send([bytes = std::move(bytes)] { return bytes; }, without_body, handler);
}

void http_connection::send(request_maker make, bool without_body, response_handler* handler) {
    handler_ = handler;
    make_request_ = std::move(make);
    busy_ = true;
    is_foreign_response_ = false;
    response_started_ = false;
    bytes_before_response_ = 0;
    keep_alive_ = true;
    reader_.expect(without_body);
    if (connected_) {
        write_request();
    }
}

void http_connection::write_request() {
    const auto make = std::exchange(make_request_, nullptr);
    if (!make) {
        return;
    }
    const auto self = shared_from_this();
    const auto bytes = make();
    if (bytes.empty()) {
        fail(request_failure::cancelled);
    } else {
        channel_->write(bytes);
    }
}

void http_connection::close() noexcept {
    handler_ = nullptr;
    make_request_ = nullptr;
    if (std::exchange(busy_, false)) {
        channel_->abort(); // A full link may still hold the request, which is no longer wanted.
    } else {
        channel_->close();
    }
}

bool http_connection::is_reusable() {
    return connected_ && !busy_ && keep_alive_ && reader_.buffered_bytes() == 0 && !channel_->ended() &&
           !channel_->is_readable();
}

void http_connection::on_connected() {
    connected_ = true;
    write_request();
}

void http_connection::on_bytes(std::string_view bytes) {
    const auto self = shared_from_this(); // The handler may release this connection.
    if (!busy_) {
        close(); // Bytes without a request.
        return;
    }
    bytes_before_response_ += response_started_ ? 0 : bytes.size();
    if (bytes_before_response_ > max_bytes_before_response) {
        fail(request_failure::malformed_response);
        return;
    }
    reader_.append(bytes);
    read_responses();
}

void http_connection::read_responses() {
    while (busy_ && !channel_->ended()) {
        const auto result = reader_.read();
        if (result != read_result::incomplete && result != read_result::complete) {
            fail(request_failure::malformed_response);
            return;
        }
        deliver(result);
        if (result == read_result::incomplete) {
            return;
        }
    }
}

void http_connection::deliver(read_result result) {
    if (const auto head = reader_.take_head()) {
        keep_alive_ = keep_alive_ && head->keep_alive;
        is_foreign_response_ = handler_ != nullptr && !handler_->on_head(*head);
        response_started_ = !is_foreign_response_;
    }
    auto body = reader_.take_body();
    if (!body.empty() && !is_foreign_response_ && handler_ != nullptr) {
        handler_->on_body(std::move(body));
    }
    if (result == read_result::complete && busy_) {
        complete();
    }
}

void http_connection::complete() {
    if (is_foreign_response_) {
        is_foreign_response_ = false;
        reader_.expect(false);
        return;
    }
    busy_ = false;
    if (auto* const handler = std::exchange(handler_, nullptr); handler != nullptr) {
        handler->on_complete();
    }
}

void http_connection::fail(request_failure reason) {
    channel_->abort();
    busy_ = false;
    if (auto* const handler = std::exchange(handler_, nullptr); handler != nullptr) {
        handler->on_failed(reason);
    }
}

void http_connection::on_end(channel_close_reason reason) {
    const auto self = shared_from_this();
    if (!busy_) {
        return;
    }
    if (reason == channel_close_reason::closed && !is_foreign_response_ && reader_.end()) {
        keep_alive_ = false;
        deliver(read_result::complete);
        return;
    }
    const bool not_sent = reason == channel_close_reason::refused || reason == channel_close_reason::unreachable;
    fail(not_sent ? request_failure::not_sent : request_failure::broken);
}

std::shared_ptr<http_connection> connection_pool::take(const socket_address& to, duration max_idle_time,
                                                       time_point now) {
    const auto it = idle_.find(to);
    if (it == idle_.end()) {
        return nullptr;
    }
    auto& list = it->second;
    while (!list.empty()) {
        auto last = std::move(list.back());
        list.pop_back();
        const auto idle = now - last.since;
        if (idle >= max_idle_time || idle >= last.idle_timeout || !last.client->is_reusable()) {
            last.client->close();
            continue;
        }
        return std::move(last.client);
    }
    return nullptr;
}

void connection_pool::put(std::shared_ptr<http_connection> client, duration idle_timeout, time_point now) {
    const auto timeout =
        idle_timeout > duration{} ? std::max(duration{}, idle_timeout - idle_timeout_margin) : default_idle_timeout;
    auto& list = idle_[client->address()];
    if (timeout == duration{} || list.size() >= max_idle_per_address || !client->is_reusable()) {
        client->close();
        return;
    }
    list.push_back(idle_connection{std::move(client), now, timeout});
}

void connection_pool::expire(time_point now) {
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [&](const idle_connection& idle) {
            if (now - idle.since < idle.idle_timeout) {
                return false;
            }
            idle.client->close();
            return true;
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

} // namespace dandelionbay
