#include "dandelionbay/standin/standin_service.hpp"

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "dandelionbay/standin/http_host.hpp"

namespace dandelionbay {

namespace {

using nlohmann::json;

constexpr auto* json_type = "application/json";
constexpr std::size_t most_answer_bytes = 16U << 20U;

void answer_error(httplib::Response& response, int status, const std::string& text) {
    response.status = status;
    response.set_content(json{{"error", {{"message", text}}}}.dump(), json_type);
}

} // namespace

class standin_service::state {
    void post_order(const httplib::Request& request, httplib::Response& response) {
        std::string order;
        std::size_t answer_bytes = 0;
        try {
            const auto document = json::parse(request.body);
            order = document.at("order").get<std::string>();
            answer_bytes = std::min(document.value("answer_bytes", std::size_t{0}), most_answer_bytes);
        } catch (const json::exception& ec) {
            answer_error(response, 400, ec.what());
            return;
        }
        std::uint64_t count = 0;
        bool lose = false;
        {
            std::unique_lock lock{mutex_};
            count = ++runs_[order];
            ++running_;
            changed_.wait_for(lock, run_time_, [this] { return stopped_; });
            --running_;
            lose = lose_answers_;
        }
        if (lose) {
            http_host::drop_current();
            return;
        }
        json answer{{"order", order}, {"runs", count}};
        if (answer_bytes > 0) {
            answer["padding"] = std::string(answer_bytes, 'x');
        }
        response.status = 201;
        response.set_content(answer.dump(), json_type);
    }

    void get_order(const httplib::Request& request, httplib::Response& response) {
        const auto order = request.matches[1].str();
        const auto all = runs();
        const auto it = all.find(order);
        if (it == all.end()) {
            answer_error(response, 404, absl::StrCat("no order ", order));
            return;
        }
        response.set_content(json{{"order", order}, {"runs", it->second}}.dump(), json_type);
    }

    void get_state(httplib::Response& response) {
        const std::lock_guard lock{mutex_};
        const json answer{{"process", process_}, {"cold", false}, {"running", running_}};
        response.set_content(answer.dump(), json_type);
    }

    void post_faults(const httplib::Request& request, httplib::Response& response) {
        try {
            const auto change = json::parse(request.body);
            const std::lock_guard lock{mutex_};
            lose_answers_ = change.value("lose_answers", lose_answers_);
            run_time_ = std::chrono::milliseconds{change.value("run_time_ms", run_time_.count())};
            if (change.value("crash", false)) {
                process_ = new_process_name();
                host.drop_connections();
            }
            response.status = 204;
        } catch (const json::exception& ec) {
            answer_error(response, 400, ec.what());
        }
    }

    static std::string new_process_name() {
        std::random_device source;
        return absl::StrCat(absl::Hex(source(), absl::kZeroPad8), absl::Hex(source(), absl::kZeroPad8));
    }

public:
    explicit state(standin_service_options settings) : options{std::move(settings)}, run_time_{options.run_time} {
        auto& routes = host.routes();
        routes.Post("/orders",
                    [this](const httplib::Request& request, auto& response) { post_order(request, response); });
        routes.Get("/orders", [this](const auto& /*request*/, auto& response) {
            response.set_content(json(runs()).dump(), json_type);
        });
        routes.Get(R"(/orders/([\s\S]+))",
                   [this](const auto& request, auto& response) { get_order(request, response); });
        routes.Get("/state", [this](const auto& /*request*/, auto& response) { get_state(response); });
        routes.Post("/faults",
                    [this](const httplib::Request& request, auto& response) { post_faults(request, response); });
    }

    void stop() noexcept {
        {
            const std::lock_guard lock{mutex_};
            stopped_ = true;
        }
        changed_.notify_all();
        host.stop();
    }

    void set_lose_answers(bool lose) {
        const std::lock_guard lock{mutex_};
        lose_answers_ = lose;
    }

    [[nodiscard]] std::map<std::string, std::uint64_t> runs() const {
        const std::lock_guard lock{mutex_};
        return runs_;
    }

    const standin_service_options options;

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::uint64_t> runs_;
    std::string process_{new_process_name()};
    std::chrono::milliseconds run_time_;
    std::uint32_t running_{0};
    bool lose_answers_{false};
    bool stopped_{false};

public:
    http_host host; // Last, so that its threads end before what they use.
};

standin_service::standin_service(standin_service_options options)
    : state_{std::make_unique<state>(std::move(options))} {}

standin_service::~standin_service() {
    stop();
}

absl::Status standin_service::start() {
    return state_->host.start(state_->options.listen);
}

void standin_service::stop() noexcept {
    state_->stop();
}

std::uint16_t standin_service::port() const noexcept {
    return state_->host.port();
}

void standin_service::set_lose_answers(bool lose) {
    state_->set_lose_answers(lose);
}

std::map<std::string, std::uint64_t> standin_service::runs() const {
    return state_->runs();
}

} // namespace dandelionbay
