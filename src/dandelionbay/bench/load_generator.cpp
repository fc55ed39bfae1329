#include "dandelionbay/bench/load_generator.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "dandelionbay/base/text.hpp"
#include "dandelionbay/bench/answer.hpp"
#include "dandelionbay/http/event_stream.hpp"
#include "dandelionbay/standin/standin_engine.hpp"

namespace dandelionbay::bench {

namespace {

using nlohmann::json;

constexpr std::size_t order_threads = 4;
constexpr std::size_t thread_count = router_count * (team_count * lane_threads + order_threads);
/*! Time for all threads to wake up before the first call is due. */
constexpr std::chrono::milliseconds lead{200};
constexpr std::chrono::seconds connect_limit{5};
/*! Above the queue limit and the run limit of the services, so that the routers' final answers are seen. */
constexpr std::chrono::seconds answer_limit{180};

[[nodiscard]] time_point now() noexcept {
    return monotonic_clock{}.now();
}

[[nodiscard]] httplib::Request make_request(const arrival& it, const std::string& path, const json& body) {
    httplib::Request out;
    out.method = "POST";
    out.path = path;
    out.set_header("Authorization", concat("Bearer dev-team-", it.team + 1));
    out.set_header("Content-Type", "application/json");
    out.body = body.dump();
    return out;
}

[[nodiscard]] httplib::Result send(std::uint16_t port, httplib::Request& request) {
    httplib::Client client{"127.0.0.1", port};
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(connect_limit);
    client.set_read_timeout(answer_limit);
    return client.send(request);
}

/*! Records a refusal. Returns whether it says that the call did not run. */
bool record_refusal(recorder& results, std::size_t router, const std::string& body, int status) {
    const auto document = json::parse(body, nullptr, false);
    const bool not_run = document.is_object() && document.contains("error") && document["error"].is_object() &&
                         document["error"].value("executed", json{}) == "no";
    results.refuse(router, refusal_code(body, status), not_run, now());
    return not_run;
}

/*! @brief A streamed answer as its caller reads it. */
class chat_answer {
    void take(std::string_view event) {
        const auto data = event_data(event);
        if (data == end_of_stream) {
            ended_ = true;
            return;
        }
        const auto text = delta_text(data);
        if (!text.empty()) {
            text_ += text;
            token(now());
        }
    }

    void token(time_point at) {
        const auto engine = engines_->find(it_->text + "\n", made_++);
        if (last_) {
            results_->next_token(at - *last_);
            if (engine) {
                results_->next_token_added(at - *last_ - *engine);
            }
        } else {
            results_->answered(it_->router, it_->team, sent_);
            results_->first_token(it_->router, planned_, at);
            results_->count_input(it_->router, it_->team, input_of(*it_));
            if (engine) {
                results_->first_token_added(at - planned_ - *engine);
            }
        }
        last_ = at;
        results_->count_token(it_->router, it_->team, at);
    }

public:
    chat_answer(const arrival& it, time_point planned, recorder& results, engine_times& engines)
        : it_{&it}, planned_{planned}, sent_{now()}, results_{&results}, engines_{&engines} {
        results_->sent(it.router, it.team, sent_);
    }

    void feed(std::string_view data) {
        if (status_ == 200) {
            splitter_.feed(data, [this](std::string_view event) { take(event); });
        } else {
            error_.append(data);
        }
    }

    void set_status(int status) noexcept { status_ = status; }

    /*! Records how the call ended. @param whole Whether the HTTP answer ended properly. */
    void finish(bool whole) {
        engines_->remove(it_->text + "\n");
        if (!last_) {
            results_->answered(it_->router, it_->team, sent_);
        }
        if (status_ == 0) {
            results_->end(it_->router, ending::lost, now());
        } else if (status_ != 200) {
            (void)record_refusal(*results_, it_->router, error_, status_);
        } else if (!whole || !ended_) {
            results_->end(it_->router, ending::cut, now());
        } else {
            const bool own = text_ == standin_engine::expected_answer(it_->text + "\n", it_->tokens);
            results_->end(it_->router, own ? ending::complete : ending::wrong, now());
        }
    }

private:
    const arrival* it_;
    time_point planned_;
    time_point sent_;
    recorder* results_;
    engine_times* engines_;
    std::size_t made_{0};
    event_splitter splitter_;
    int status_{0};
    bool ended_{false};
    std::optional<time_point> last_;
    std::string text_;
    std::string error_;
};

} // namespace

load_generator::load_generator(std::vector<arrival> plan, const balancer& routers, duration length, recorder& results,
                               engine_times& engines)
    : balancer_{&routers}, length_{length}, results_{&results}, engines_{&engines}, running_{thread_count} {
    for (auto& it : plan) {
        const auto index = it.router * (team_count + 1) + (it.is_order() ? team_count : it.team);
        lanes_.at(index).calls.push_back(std::move(it));
    }
}

load_generator::~load_generator() {
    finish();
}

void load_generator::send_chat(const arrival& it) {
    const json body{{"model", "dev-model"},
                    {"stream", true},
                    {"max_tokens", it.tokens},
                    {"messages", {{{"role", "user"}, {"content", it.text}}}}};
    auto request = make_request(it, "/v1/chat/completions", body);
    chat_answer answer{it, start_ + it.at, *results_, *engines_};
    request.response_handler = [&](const httplib::Response& head) {
        answer.set_status(head.status);
        return true;
    };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t /*offset*/,
                                   std::uint64_t /*total*/) {
        answer.feed({data, size});
        return true;
    };
    answer.finish(static_cast<bool>(send(balancer_->port_for(it.router), request)));
}

void load_generator::send_order(const arrival& it) {
    auto request = make_request(it, "/services/orders/orders", json{{"order", it.text}});
    request.set_header("Idempotency-Key", it.text);
    int status = 0;
    request.response_handler = [&](const httplib::Response& head) {
        status = head.status;
        return true;
    };
    const auto result = send(balancer_->port_for(it.router), request);
    if (result && status != 201) {
        const bool not_run = record_refusal(*results_, it.router, result->body, status);
        results_->end_order(not_run ? "refused_not_run" : "refused_unknown");
        return;
    }
    if (!result) {
        results_->end(it.router, status == 0 ? ending::lost : ending::cut, now());
        results_->end_order("no_answer");
        return;
    }
    const auto answer = json::parse(result->body, nullptr, false);
    const bool own = answer.is_object() && answer.value("order", std::string{}) == it.text;
    results_->end(it.router, own ? ending::complete : ending::wrong, now());
    results_->end_order(own ? "complete" : "wrong");
}

void load_generator::work(lane& from) {
    running_.count_down();
    begun_.wait();
    for (auto n = from.next++; n < from.calls.size(); n = from.next++) {
        const auto& it = from.calls[n];
        std::this_thread::sleep_until(start_ + it.at);
        if (now() > start_ + length_) {
            results_->end(it.router, ending::unsent, now());
        } else if (it.is_order()) {
            send_order(it);
        } else {
            send_chat(it);
        }
    }
}

time_point load_generator::start() {
    for (std::size_t i = 0; i < lanes_.size(); ++i) {
        const auto n = i % (team_count + 1) == team_count ? order_threads : lane_threads;
        for (std::size_t k = 0; k < n; ++k) {
            threads_.emplace_back([this, i] { work(lanes_.at(i)); });
        }
    }
    running_.wait();
    start_ = now() + lead;
    results_->begin(start_);
    begun_.count_down();
    return start_;
}

void load_generator::finish() {
    for (auto& it : threads_) {
        it.join();
    }
    threads_.clear();
}

} // namespace dandelionbay::bench
