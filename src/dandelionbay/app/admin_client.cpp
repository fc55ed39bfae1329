#include "dandelionbay/app/admin_client.hpp"

#include <chrono>
#include <utility>

#include <httplib.h>

#include "absl/strings/numbers.h"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/http/error_body.hpp"
#include "dandelionbay/http/framed_client.hpp"

namespace dandelionbay::app {

namespace {

using nlohmann::json;

/*! Above the time limit of a change: a read and a write of the store, and reads that resolve a lost answer. */
constexpr std::chrono::seconds answer_limit{30};
constexpr std::chrono::seconds connect_limit{3};

/*! A write that was sent and not answered may have taken effect; a failed connection attempt has none. */
[[nodiscard]] admin_reply no_answer(httplib::Error error, bool write) {
    const bool sent = error != httplib::Error::Connection && error != httplib::Error::ConnectionTimeout;
    const auto state = write && sent ? executed::unknown : executed::no;
    const auto code = state == executed::unknown ? result_code::outcome_unknown : result_code::endpoint_unavailable;
    return admin_reply{0, "", json::parse(error_body(code, state, "no answer from the router: " + to_string(error)))};
}

} // namespace

std::uint64_t admin_reply::revision() const {
    std::uint64_t value = 0;
    return etag.size() > 2 && absl::SimpleAtoi(to_absl(std::string_view{etag}.substr(1, etag.size() - 2)), &value)
               ? value
               : 0;
}

admin_client::admin_client(socket_address server, std::string token)
    : server_{std::move(server)}, token_{std::move(token)} {}

admin_reply admin_client::get(const std::string& path) const {
    return send("GET", path, "", "");
}

admin_reply admin_client::send(const std::string& method, const std::string& path, const std::string& etag,
                               const std::string& body) const {
    framed_client http{server_.ip, server_.port};
    http.set_tcp_nodelay(true);
    http.set_connection_timeout(connect_limit);
    http.set_read_timeout(answer_limit);
    httplib::Request request;
    request.method = method;
    request.path = "/admin/v1/" + path;
    request.set_header("Authorization", "Bearer " + token_);
    if (!etag.empty()) {
        request.set_header("If-Match", etag);
    }
    if (!body.empty()) {
        request.set_header("Content-Type", "application/json");
        request.body = body;
    }
    const auto result = http.send(request);
    if (!result) {
        return no_answer(result.error(), method != "GET");
    }
    auto value = json::parse(result->body, nullptr, false);
    if (value.is_discarded()) {
        value = json::parse(error_body(result_code::protocol_error, executed::unknown, "the answer is not JSON"));
    }
    return admin_reply{result->status, result->get_header_value("ETag"), std::move(value)};
}

} // namespace dandelionbay::app
