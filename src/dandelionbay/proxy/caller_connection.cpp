#include "dandelionbay/proxy/caller_connection.hpp"

#include <algorithm>
#include <utility>

#include "dandelionbay/base/section_timer.hpp"
#include "dandelionbay/http/error_body.hpp"
#include "dandelionbay/proxy/exchange.hpp"
#include "dandelionbay/proxy/proxy.hpp"

namespace dandelionbay {

namespace {

/*! The configured limits, or the default ones before a configuration is known. */
[[nodiscard]] caller_limits limits_in_force(const proxy& owner) {
    const auto& config = owner.environment().view->config();
    return config == nullptr ? caller_limits{} : config->limits;
}

/*! A connection stays open for the idle timeout plus this fraction (1/n) of it, for requests already on their way. */
constexpr int idle_grace_divisor = 10;

} // namespace

caller_connection::caller_connection(proxy& owner, channel::tcp::socket socket, time_point now)
    : owner_{&owner}, channel_{std::make_shared<channel>(std::move(socket), *this)}, since_{now} {
    const auto limits = limits_in_force(owner);
    idle_timeout_ = limits.idle_timeout;
    reader_ = std::make_unique<request_reader>(limits.max_header_bytes, limits.max_body_bytes);
}

caller_connection::~caller_connection() {
    if (!channel_->is_finishing()) {
        channel_->close();
    }
}

void caller_connection::start(time_point arrived_at) {
    const auto self = shared_from_this();
    unread_arrived_at_ = arrived_at;
    channel_->open();
    unread_arrived_at_.reset();
}

void caller_connection::on_call_begun() {
    if (!std::exchange(has_options_, true)) {
        channel_->set_options();
    }
}

void caller_connection::on_bytes(std::string_view bytes) {
    const auto self = shared_from_this();
    const auto& env = owner_->environment();
    const section_timer timed{*env.time, *env.metrics, "callers", &owner_->refusal_meter().admission_time()};
    last_bytes_arrived_at_ = unread_arrived_at_.value_or(owner_->now() - owner_->read_delay());
    if (!reader_->has_begun()) {
        request_arrived_at_ = last_bytes_arrived_at_;
    }
    owner_->note_reading();
    reader_->append(bytes);
    if (exchange_ != nullptr) {
        if (reader_->buffered_bytes() > max_read_ahead_bytes) {
            channel_->pause_reading(true);
        }
        return;
    }
    read_requests();
}

void caller_connection::read_requests() {
    if (is_reading_requests_) {
        return; // Called from start_exchange(): the loop below continues.
    }
    is_reading_requests_ = true;
    while (exchange_ == nullptr && !channel_->ended()) {
        if (!is_reading_request_ && reader_->has_begun()) {
            is_reading_request_ = true;
            since_ = owner_->now();
            const auto limits = limits_in_force(*owner_);
            reader_->set_limits(limits.max_header_bytes, limits.max_body_bytes);
            header_timeout_ = limits.header_timeout;
            body_timeout_ = limits.idle_timeout;
        }
        const auto result = reader_->read();
        if (result == read_result::complete) {
            start_exchange();
            continue;
        }
        if (result == read_result::incomplete) {
            if (reader_->take_expect_continue()) {
                channel_->write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            break;
        }
        if (result == read_result::malformed) {
            reject(400);
        } else {
            reject(result == read_result::header_too_long ? 431 : 413);
        }
        break;
    }
    is_reading_requests_ = false;
}

void caller_connection::start_exchange() {
    auto request = reader_->take();
    is_reading_request_ = false;
    keep_alive_ = request.keep_alive;
    if (has_disconnected()) { // The caller disconnected while the request waited to be read.
        owner_->environment().metrics->add("callers_gone_unread_total");
        owner_->refusal_meter().note_refused();
        channel_->close();
        owner_->close_caller(shared_from_this());
        return;
    }
    exchange_ = owner_->open_exchange(*this, std::move(request), {request_arrived_at_, last_bytes_arrived_at_});
    const auto call = exchange_;
    call->start();
}

void caller_connection::reject(int status) {
    keep_alive_ = false;
    owner_->environment().metrics->add("rejected_total", std::to_string(status));
    owner_->environment().log->write(log_level::warn, "request_rejected", {{"status", std::to_string(status)}});
    response_head head;
    head.status = status;
    respond(std::move(head), {});
}

void caller_connection::respond(response_head head, std::string_view body) {
    const auto self = shared_from_this();
    keep_alive_ = keep_alive_ && owner_->should_keep_alive();
    head.fields.emplace_back("Content-Length", std::to_string(body.size()));
    if (!keep_alive_) {
        head.fields.emplace_back("Connection", "close");
    }
    channel_->write(write_head(head) + std::string{body});
    finish_response();
    if (channel_->unsent_bytes() > exchange::large_response_bytes) {
        owner_->limit_held_answers();
    }
}

void caller_connection::begin_response(response_head head) {
    keep_alive_ = keep_alive_ && owner_->should_keep_alive();
    head.fields.emplace_back("Transfer-Encoding", "chunked");
    if (!keep_alive_) {
        head.fields.emplace_back("Connection", "close");
    }
    channel_->write(write_head(head));
}

void caller_connection::send_body(std::string_view bytes) {
    if (!bytes.empty()) {
        channel_->write(write_chunk(bytes));
    }
}

void caller_connection::end_response() {
    const auto self = shared_from_this();
    channel_->write(last_chunk);
    finish_response();
}

void caller_connection::finish_response() {
    exchange_.reset();
    since_ = owner_->now();
    idle_timeout_ = limits_in_force(*owner_).idle_timeout;
    if (!keep_alive_ || owner_->draining()) { // A response begun before the stop did not announce the close.
        finish();
        owner_->close_caller(shared_from_this());
        return;
    }
    channel_->pause_reading(false);
    read_requests();
}

void caller_connection::close_incomplete() {
    const auto self = shared_from_this();
    exchange_.reset();
    finish(); // Bytes already written still arrive; without its last chunk the response is not complete.
    owner_->close_caller(self);
}

void caller_connection::abort() {
    channel_->abort();
    on_end(channel_close_reason::broken);
}

void caller_connection::finish() {
    owner_->finish(channel_);
}

void caller_connection::on_written() {
    if (exchange_ != nullptr) {
        exchange_->on_caller_writable();
    }
}

void caller_connection::on_end(channel_close_reason reason) {
    const auto self = shared_from_this();
    const auto& env = owner_->environment();
    const section_timer timed{*env.time, *env.metrics, "callers_ended"};
    if (const auto call = std::exchange(exchange_, nullptr); call != nullptr) {
        call->on_caller_disconnected(reason);
    }
    owner_->close_caller(self);
}

bool caller_connection::check_timeouts(time_point now) {
    if (exchange_ != nullptr) {
        return true;
    }
    if (is_reading_request_) {
        // Bytes that have arrived are read before the timeout is applied.
        const bool is_caught_up = owner_->reading_since() != now && !channel_->is_readable();
        if (is_caught_up && now - since_ > (reader_->is_header_complete() ? body_timeout_ : header_timeout_)) {
            reject(408);
            return false;
        }
        return true;
    }
    const auto idle = std::max(idle_timeout_, limits_in_force(*owner_).idle_timeout);
    return now - since_ <= idle + idle / idle_grace_divisor || !close_idle();
}

bool caller_connection::close_idle() {
    if (!idle_since() || channel_->is_readable()) { // A request may have arrived unread.
        return false;
    }
    finish();
    return true;
}

} // namespace dandelionbay
