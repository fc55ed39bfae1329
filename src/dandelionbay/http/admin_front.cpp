#include "dandelionbay/http/admin_front.hpp"

#include <string_view>
#include <utility>

#include "dandelionbay/base/text.hpp"
#include "dandelionbay/http/error_body.hpp"

namespace dandelionbay {

namespace {

constexpr auto* json_type = "application/json";
constexpr std::string_view root = "/admin/v1/";
/*! Operators and their tools make a few hundred changes a day. */
constexpr std::uint32_t threads = 16;
/*! Above the largest configuration document, 4 MiB. */
constexpr std::size_t max_body_bytes = 5U << 20U;

[[nodiscard]] internal::connection_limits limits() {
    internal::connection_limits out;
    out.max_body_bytes = max_body_bytes;
    return out;
}

/*! Compares in a time that does not depend on where the texts differ. */
[[nodiscard]] bool equal_tokens(std::string_view a, std::string_view b) noexcept {
    unsigned difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < a.size() && i < b.size(); ++i) {
        difference |= static_cast<unsigned>(static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]));
    }
    return difference == 0;
}

} // namespace

admin_front::admin_front(admin_front_options options, admin_api& api, const clock& time, counters& metrics)
    : options_{std::move(options)}, api_{&api}, server_{threads, limits(), time, metrics} {
    const auto handler = [this](const auto& request, auto& response) { answer(request, response); };
    const auto* const pattern = R"(/admin/v1/[\s\S]*)";
    server_.Get(pattern, handler);
    server_.Put(pattern, handler);
    server_.Patch(pattern, handler);
    server_.Delete(pattern, handler);
    server_.Post(pattern, handler);
}

admin_front::~admin_front() = default;

void admin_front::answer(const httplib::Request& request, httplib::Response& response) {
    if (!equal_tokens(request.get_header_value("Authorization"), concat("Bearer ", options_.token))) {
        response.status = describe(result_code::invalid_token).http_status;
        response.set_content(error_body(result_code::invalid_token, executed::no), json_type);
        return;
    }
    const auto result = api_->handle(admin_request{request.method, request.path.substr(root.size()),
                                                   request.get_header_value("If-Match"), request.body});
    response.status = result.status;
    response.set_content(result.body, json_type);
    if (!result.etag.empty()) {
        response.set_header("ETag", result.etag);
    }
    if (result.retry_s > 0) {
        response.set_header("Retry-After", std::to_string(result.retry_s));
    }
}

absl::Status admin_front::start(kernel& /*host*/) {
    return server_.start(options_.listen);
}

void admin_front::stop() noexcept {
    server_.finish();
}

} // namespace dandelionbay
