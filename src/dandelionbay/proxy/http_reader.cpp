#include "dandelionbay/proxy/http_reader.hpp"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "absl/strings/ascii.h"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

/*! Limit for the header of an answer, in bytes; endpoints send a few hundred. */
constexpr std::uint32_t max_response_header_bytes = 65'536;
constexpr unsigned status_switching_protocols = 101;

[[nodiscard]] std::string text_of(boost::beast::string_view it) {
    return {it.data(), it.size()};
}

template<typename Fields>
[[nodiscard]] field_list fields_of(const Fields& from) {
    field_list out;
    for (const auto& field : from) {
        out.emplace_back(text_of(field.name_string()), text_of(field.value()));
    }
    return out;
}

/*! Passes received bytes to a parser and removes those that the parser consumed. The parser leaves the head of a
 * message, of a chunk or of a trailer unconsumed until it is complete, but limits only the head of the message by
 * itself. */
template<typename Parser>
[[nodiscard]] read_result feed(Parser& parser, std::string& in, std::size_t max_header) {
    while (!parser.is_done()) {
        if (in.empty()) {
            return read_result::incomplete;
        }
        error_code ec;
        const auto n = parser.put(boost::asio::buffer(in), ec);
        in.erase(0, n);
        if (ec == http::error::need_more) {
            return in.size() > max_header ? read_result::header_too_long : read_result::incomplete;
        }
        if (ec == http::error::header_limit) {
            return read_result::header_too_long;
        }
        if (ec == http::error::body_limit) {
            return read_result::body_too_long;
        }
        if (ec) {
            return read_result::malformed;
        }
    }
    return read_result::complete;
}

/*! Returns the host name without the port, in lower case. */
[[nodiscard]] std::string host_name(std::string text) {
    const auto colon = text.rfind(':');
    if (colon != std::string::npos && text.find(']', colon) == std::string::npos) {
        text.resize(colon);
    }
    absl::AsciiStrToLower(&text);
    return text;
}

} // namespace

class request_reader::state {
public:
    using parser_type = http::request_parser<http::string_body>;

    state(std::uint32_t header, std::uint64_t body) : max_header{header}, max_body{body} { reset(); }

    void reset() {
        parser.emplace();
        parser->eager(true);
        set_limits();
        expect_checked = false;
    }

    void set_limits() {
        parser->header_limit(max_header);
        parser->body_limit(max_body);
    }

    std::uint32_t max_header;
    std::uint64_t max_body;
    std::optional<parser_type> parser{};
    std::string in{};
    bool expect_checked{};
};

request_reader::request_reader(std::uint32_t max_header, std::uint64_t max_body)
    : state_{std::make_unique<state>(max_header, max_body)} {}

request_reader::~request_reader() = default;

void request_reader::set_limits(std::uint32_t max_header, std::uint64_t max_body) {
    state_->max_header = max_header;
    state_->max_body = max_body;
    state_->set_limits();
}

void request_reader::append(std::string_view bytes) {
    state_->in.append(bytes);
}

read_result request_reader::read() {
    return feed(*state_->parser, state_->in, state_->max_header);
}

http_request request_reader::take() {
    auto& parser = *state_->parser;
    const bool keep = parser.keep_alive();
    auto message = parser.release();
    http_request out;
    out.method = text_of(message.method_string());
    out.target = text_of(message.target());
    out.host = host_name(text_of(message[http::field::host]));
    out.fields = fields_of(message);
    out.body = std::move(message.body());
    out.keep_alive = keep;
    state_->reset();
    return out;
}

bool request_reader::take_expect_continue() {
    auto& it = *state_;
    if (it.expect_checked || !it.parser->is_header_done() || it.parser->is_done()) {
        return false;
    }
    it.expect_checked = true;
    return boost::beast::iequals(it.parser->get()[http::field::expect], "100-continue");
}

bool request_reader::has_begun() const noexcept {
    return !state_->in.empty() || state_->parser->got_some();
}

bool request_reader::is_header_complete() const noexcept {
    return state_->parser->is_header_done();
}

std::size_t request_reader::buffered_bytes() const noexcept {
    return state_->in.size();
}

class response_reader::state {
public:
    using parser_type = http::response_parser<http::string_body>;

    explicit state(std::uint64_t body) : max_body{body} { reset(); }

    void reset() {
        parser.emplace();
        parser->header_limit(max_response_header_bytes);
        parser->body_limit(max_body);
        parser->eager(true);
        parser->skip(without_body);
        head_taken = false;
    }

    [[nodiscard]] unsigned status() const { return parser->is_header_done() ? parser->get().result_int() : 0; }

    /*! Returns whether the current answer is an interim one (status 1xx), which precedes the final answer. */
    [[nodiscard]] bool is_interim() const {
        return status() >= 100 && status() < 200 && status() != status_switching_protocols;
    }

    /*! Returns whether no answer can have this status. Nobody asks for another protocol, so what follows a switch is
     *  not known to be an answer. */
    [[nodiscard]] bool has_invalid_status() const {
        return parser->is_header_done() && (status() < 100 || status() == status_switching_protocols);
    }

    std::uint64_t max_body;
    std::optional<parser_type> parser{};
    std::string in{};
    bool without_body{};
    bool head_taken{};
};

response_reader::response_reader(std::uint64_t max_body) : state_{std::make_unique<state>(max_body)} {}

response_reader::~response_reader() = default;

void response_reader::expect(bool without_body) {
    state_->without_body = without_body;
    state_->reset();
}

void response_reader::append(std::string_view bytes) {
    state_->in.append(bytes);
}

read_result response_reader::read() {
    auto result = feed(*state_->parser, state_->in, max_response_header_bytes);
    while (result == read_result::complete && state_->is_interim()) {
        state_->reset();
        result = feed(*state_->parser, state_->in, max_response_header_bytes);
    }
    return state_->has_invalid_status() ? read_result::malformed : result;
}

bool response_reader::end() {
    if (!state_->parser->is_header_done() || state_->is_interim() || state_->has_invalid_status()) {
        return false;
    }
    error_code ec;
    state_->parser->put_eof(ec);
    return !ec && state_->parser->is_done();
}

std::optional<response_head> response_reader::take_head() {
    const auto& parser = *state_->parser;
    if (state_->head_taken || !parser.is_header_done() || state_->is_interim()) {
        return std::nullopt;
    }
    state_->head_taken = true;
    response_head out;
    out.status = static_cast<int>(parser.get().result_int());
    out.reason = text_of(parser.get().reason());
    out.fields = fields_of(parser.get());
    out.keep_alive = parser.keep_alive();
    return out;
}

std::string response_reader::take_body() {
    return std::exchange(state_->parser->get().body(), std::string{});
}

std::size_t response_reader::buffered_bytes() const noexcept {
    return state_->in.size();
}

} // namespace dandelionbay
