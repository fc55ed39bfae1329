#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fleet.hpp"

namespace dandelionbay::platform {

/*! @brief Endpoints of one service whose processes end when they begin a certain call or prompt, and start again under
 *  new names. */
class crashing_service {
    struct life {
        std::unique_ptr<scripted_endpoint> endpoint{};
        std::shared_ptr<std::atomic<bool>> crashed{std::make_shared<std::atomic<bool>>()};
        std::shared_ptr<std::atomic<int>> long_prompts{std::make_shared<std::atomic<int>>()};
    };

public:
    /*! @brief Part of the path of calls that end their endpoint. */
    static constexpr std::string_view crashing_path = "/crash";
    /*! @brief Part of the path of calls under which their endpoint falls dark after some time. */
    static constexpr std::string_view darkening_path = "/darken";
    static constexpr milliseconds darkening_time{400};
    /*! @brief Part of the path of calls that take some time. */
    static constexpr std::string_view slow_path = "/slow";
    static constexpr milliseconds slow_time{300};
    /*! @brief Beginning of the ids of prompt parts that end their endpoint when the answer to such a prompt begins. */
    static constexpr std::string_view crashing_part = "dead";
    /*! @brief The same for parts that end their endpoint after the first event of the answer. */
    static constexpr std::string_view breaking_part = "fade";
    static constexpr milliseconds time_after_event{20};
    /*! @brief Beginning of the ids of sound parts that take long to process. */
    static constexpr std::string_view long_part = "bead";
    static constexpr milliseconds long_prefill_time{900};
    /*! @brief Time until the answer to a prompt begins. */
    static constexpr milliseconds prefill_time{100};

    /*! @brief Starts the endpoints. @param store Registers them; outlives this. @param name Of the service. @param
     * prefix Of the endpoints' names. */
    crashing_service(standin_store& store, std::string name, std::size_t endpoints, std::string prefix)
        : store_{&store}, name_{std::move(name)}, prefix_{std::move(prefix)} {
        for (std::size_t n = 0; n < endpoints; ++n) {
            lives_.push_back(start());
        }
    }

    /*! @brief Processes that ended so far. */
    [[nodiscard]] int crashes() const { return crashes_; }

    /*! @brief Slow calls that run now. */
    [[nodiscard]] int running() const { return running_; }

    /*! @brief Starts a new process for each that ended. */
    void restart_ended() {
        for (auto& it : lives_) {
            if (*it.crashed) {
                store_->remove("servers", it.endpoint->id());
                ended_.push_back(std::move(it));
                it = start();
            }
        }
    }

    /*! @brief Ends all processes at once, whatever they run. */
    void crash_all() {
        for (auto& it : lives_) {
            *it.crashed = true;
            it.endpoint->crash();
        }
    }

    /*! @brief Endpoints that process a long prompt now. */
    [[nodiscard]] std::ptrdiff_t busy_with_long_prompts() const {
        return std::ranges::count_if(lives_, [](const life& it) { return !*it.crashed && *it.long_prompts > 0; });
    }

    /*! @brief Ends one process that processes a long prompt. */
    void crash_one_with_long_prompt() {
        const auto it =
            std::ranges::find_if(lives_, [](const life& at) { return !*at.crashed && *at.long_prompts > 0; });
        if (it != lives_.end()) {
            *it->crashed = true;
            it->endpoint->crash();
        }
    }

    /*! @brief All hosts fall silent at once. Their processes count as ended, but nobody can tell from outside. */
    void go_dark() {
        for (auto& it : lives_) {
            *it.crashed = true;
            it.endpoint->go_dark();
        }
    }

    /*! @brief Ends all processes for good. */
    void stop() {
        for (auto* const list : {&lives_, &ended_}) {
            for (auto& it : *list) {
                it.endpoint->stop();
            }
        }
    }

private:
    [[nodiscard]] life start() {
        life out;
        out.endpoint = std::make_unique<scripted_endpoint>(concat(prefix_, ++started_));
        auto* const endpoint = out.endpoint.get();
        endpoint->otherwise([this, endpoint, crashed = out.crashed,
                             long_prompts = out.long_prompts](const http_request& request, raw_server::connection& to) {
            const auto prompt = find_field(request.fields, "Dandelionbay-Prompt-Prefix");
            if (prompt.find(long_part) != std::string_view::npos) {
                ++*long_prompts;
                std::this_thread::sleep_for(long_prefill_time);
                --*long_prompts;
            } else if (!prompt.empty()) {
                std::this_thread::sleep_for(prefill_time);
            }
            if (prompt.find(breaking_part) != std::string_view::npos) {
                const auto last = find_field(request.fields, "Last-Event-Id");
                const int next = last.empty() ? 1 : std::stoi(std::string{last}) + 1;
                scripted_endpoint::stream(request, to, next, next, false);
                std::this_thread::sleep_for(time_after_event);
                if (!crashed->exchange(true)) {
                    ++crashes_;
                    endpoint->crash();
                }
                return;
            }
            if (request.path().find(crashing_path) != std::string_view::npos ||
                prompt.find(crashing_part) != std::string_view::npos) {
                if (!crashed->exchange(true)) {
                    ++crashes_;
                    endpoint->crash();
                }
                return;
            }
            if (request.path().find(darkening_path) != std::string_view::npos) {
                std::this_thread::sleep_for(darkening_time);
                if (!crashed->exchange(true)) {
                    ++crashes_;
                    endpoint->go_dark();
                }
                return;
            }
            if (request.path().find(slow_path) != std::string_view::npos) {
                ++running_;
                std::this_thread::sleep_for(slow_time);
                --running_;
            }
            endpoint->serve(request, to);
        });
        store_->put("servers", endpoint->id(), endpoint->entry(name_));
        return out;
    }

    standin_store* store_;
    std::string name_;
    std::string prefix_;
    int started_{};
    std::atomic<int> crashes_{};
    std::atomic<int> running_{};
    std::vector<life> lives_{};
    std::vector<life> ended_{}; // Their threads may still run.
};

} // namespace dandelionbay::platform
