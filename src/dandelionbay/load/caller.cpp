#include "dandelionbay/load/caller.hpp"

#include <optional>
#include <string_view>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "dandelionbay/base/text.hpp"
#include "dandelionbay/bench/answer.hpp"
#include "dandelionbay/http/event_stream.hpp"
#include "dandelionbay/http/framed_client.hpp"
#include "dandelionbay/load/tally.hpp"

namespace dandelionbay::load {

namespace {

using bench::ending;
using nlohmann::json;

constexpr std::chrono::seconds connect_limit{5};
/*! Above the queue limit and the run limit of the services, so that the routers' final answers are seen. */
constexpr std::chrono::seconds answer_limit{180};
constexpr int ok_status = 200;
constexpr int first_redirect = 300;
constexpr std::string_view chat_path = "/v1/chat/completions";

[[nodiscard]] time_point now() noexcept {
    return monotonic_clock{}.now();
}

[[nodiscard]] httplib::Request make_request(const team_profile& team, std::string_view path, const json& body) {
    httplib::Request out;
    out.method = "POST";
    out.path = path;
    out.set_header("Authorization", concat("Bearer ", team.token));
    out.set_header("Content-Type", "application/json");
    out.body = body.dump();
    return out;
}

[[nodiscard]] json chat_body(const team_profile& team, const planned_call& it, const std::string& id) {
    return {{"model", team.model},
            {"stream", it.streamed},
            {"max_tokens", it.output_tokens},
            {"messages", {{{"role", "user"}, {"content", prompt_text(id, it.prompt_tokens)}}}}};
}

/*! @brief An answer as it is received. */
struct received {
    int status{}; //!< Zero if no head came.
    bool whole{}; //!< The HTTP answer ended properly.
    std::string body{};
};

/*! @brief Reads a streamed answer and records its tokens. */
class stream_reader {
    void take(std::string_view event) {
        const auto data = event_data(event);
        if (data == end_of_stream) {
            ended_ = true;
            return;
        }
        const auto at = now();
        results_->count_tokens(team_, tokens_.add(data), at);
        if (bench::delta_text(data).empty()) {
            return;
        }
        if (last_) {
            results_->next_token(team_, at - *last_);
        } else {
            results_->first_token(team_, at - planned_);
        }
        last_ = at;
    }

public:
    stream_reader(std::size_t team, time_point planned, tally& results)
        : team_{team}, planned_{planned}, results_{&results} {}

    void feed(std::string_view data) {
        splitter_.feed(data, [this](std::string_view event) { take(event); });
    }

    /*! Whether the event that ends a complete stream came. */
    [[nodiscard]] bool ended() const noexcept { return ended_; }

private:
    std::size_t team_;
    time_point planned_;
    tally* results_;
    event_splitter splitter_;
    token_count tokens_;
    bool ended_{false};
    std::optional<time_point> last_;
};

/*!
 * Each call has a connection of its own: a balancer distributes connections, and a router gives a thread to each that
 * is kept open.
 */
[[nodiscard]] received send_request(const load_target& to, httplib::Request& request, stream_reader* stream) {
    framed_client client{to.host, to.port};
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(connect_limit);
    client.set_read_timeout(answer_limit);
    received out;
    request.response_handler = [&](const httplib::Response& head) {
        out.status = head.status;
        return true;
    };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t /*offset*/,
                                   std::uint64_t /*total*/) {
        if (stream != nullptr && out.status == ok_status) {
            stream->feed({data, size});
        } else {
            out.body.append(data, size);
        }
        return true;
    };
    out.whole = static_cast<bool>(client.send(request));
    return out;
}

/*! Tokens of a whole answer by its usage field; nothing if the answer is not a chat completion. */
[[nodiscard]] std::optional<std::uint32_t> tokens_of(const std::string& body) {
    const auto document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("choices")) {
        return std::nullopt;
    }
    const auto path = json::json_pointer{"/usage/completion_tokens"};
    const bool counted = document.contains(path) && document[path].is_number_unsigned();
    return counted ? document[path].get<std::uint32_t>() : 0;
}

} // namespace

void caller::record(int status, bool whole, const std::string& body, time_point planned) const {
    const auto at = now();
    if (status == 0) {
        results_->fail(index_, ending::lost);
    } else if (status < ok_status || status >= first_redirect) {
        results_->refuse(index_, bench::refusal_code(body, status));
    } else if (!whole) {
        results_->fail(index_, ending::cut);
    } else {
        results_->complete(index_, at - planned, at);
    }
}

void caller::send_chat(const planned_call& it, const std::string& id, time_point planned) const {
    auto request = make_request(*team_, chat_path, chat_body(*team_, it, id));
    stream_reader stream{index_, planned, *results_};
    const auto answer = send_request(*target_, request, it.streamed ? &stream : nullptr);
    bool whole = answer.whole && (!it.streamed || stream.ended());
    if (!it.streamed && answer.status == ok_status) {
        const auto tokens = tokens_of(answer.body);
        whole = whole && tokens.has_value();
        results_->count_tokens(index_, whole ? *tokens : 0, now());
    }
    record(answer.status, whole, answer.body, planned);
}

void caller::send_order(const std::string& id, time_point planned) const {
    const auto& orders = *team_->orders;
    auto body = orders.body;
    if (!orders.id_field.empty()) {
        body[orders.id_field] = id;
    }
    auto request = make_request(*team_, concat("/services/", orders.service, orders.path), body);
    request.set_header("Idempotency-Key", id);
    const auto answer = send_request(*target_, request, nullptr);
    record(answer.status, answer.whole, answer.body, planned);
}

void caller::send(const planned_call& it, const std::string& id, time_point planned) const {
    if (it.is_order()) {
        send_order(id, planned);
    } else {
        send_chat(it, id, planned);
    }
}

} // namespace dandelionbay::load
