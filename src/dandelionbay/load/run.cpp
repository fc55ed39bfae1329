#include "dandelionbay/load/run.hpp"

#include <atomic>
#include <memory>
#include <ostream>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/load/caller.hpp"
#include "dandelionbay/load/plan.hpp"
#include "dandelionbay/load/tally.hpp"

namespace dandelionbay::load {

namespace {

using nlohmann::json;

/*! Time for all threads to start before the first call is due. */
constexpr std::chrono::milliseconds lead{500};
constexpr std::uint32_t highest_port = 65'535;

[[nodiscard]] time_point now() noexcept {
    return monotonic_clock{}.now();
}

[[nodiscard]] std::vector<std::string> names_of(const load_profile& profile) {
    std::vector<std::string> out;
    for (const auto& it : profile.teams) {
        out.push_back(it.name);
    }
    return out;
}

/*! Ids must be new in each run: the fleet answers a known Idempotency-Key with the stored response. */
[[nodiscard]] std::string run_id() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return concat("load-", std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

/*! @brief Calls of one kind of one team, and the threads that send them. */
class lane {
    void work() {
        for (auto n = next_++; n < plan_.calls.size(); n = next_++) {
            const auto& it = plan_.calls[n];
            const auto planned = start_ + it.at;
            // Idle threads hold the next calls; a call that is taken after its planned time found none idle.
            if (now() > planned) {
                results_->found_no_thread(plan_.team);
            }
            std::this_thread::sleep_until(planned);
            if (now() > limit_) {
                results_->fail(plan_.team, bench::ending::unsent);
            } else {
                caller_.send(it, concat(id_, "-", n), planned);
            }
        }
    }

public:
    lane(lane_plan plan, std::string id, const load_options& options, time_point start, tally& results)
        : plan_{std::move(plan)}, id_{std::move(id)}, start_{start}, limit_{start + options.length +
                                                                            options.drain_limit},
          results_{&results}, caller_{options.profile.teams.at(plan_.team), plan_.team, options.target, results} {
        results.offer(plan_.team, plan_.calls.size());
    }
    lane(const lane&) = delete;
    lane(lane&&) = delete;
    lane& operator=(const lane&) = delete;
    lane& operator=(lane&&) = delete;
    ~lane() { finish(); }

    void start() {
        for (std::uint32_t i = 0; i < plan_.connections; ++i) {
            threads_.emplace_back([this] { work(); });
        }
    }

    /*! Sends no further calls. */
    void cancel() noexcept { next_ = plan_.calls.size(); }

    void finish() {
        for (auto& it : threads_) {
            it.join();
        }
        threads_.clear();
    }

private:
    lane_plan plan_;
    std::string id_;
    time_point start_;
    time_point limit_;
    tally* results_;
    caller caller_;
    std::atomic<std::size_t> next_{0};
    std::vector<std::thread> threads_;
};

void print_progress(const load_options& options, time_point start, const tally& results, std::ostream& progress) {
    for (std::size_t n = 0; std::cmp_less(n, options.length.count()); ++n) {
        std::this_thread::sleep_until(start + std::chrono::seconds{n + 1});
        const auto it = results.second(n);
        progress << concat("second ", n + 1, ": ", it.complete, " complete, ", it.tokens, " tokens")
                 << std::endl; // Flushed, because people watch it.
    }
}

} // namespace

absl::StatusOr<load_target> parse_target(std::string_view url) {
    constexpr std::string_view scheme = "http://";
    const auto fault = absl::InvalidArgumentError("expected http://HOST or http://HOST:PORT");
    if (!url.starts_with(scheme)) {
        return fault;
    }
    auto rest = url.substr(scheme.size());
    rest.remove_suffix(rest.ends_with('/') ? 1 : 0);
    load_target out;
    const auto bracket = rest.starts_with('[') ? rest.find(']') : 0;
    const auto colon = bracket == std::string_view::npos ? bracket : rest.find(':', bracket);
    if (colon != std::string_view::npos) {
        std::uint32_t port = 0;
        if (!absl::SimpleAtoi(to_absl(rest.substr(colon + 1)), &port) || port == 0 || port > highest_port) {
            return fault;
        }
        out.port = static_cast<std::uint16_t>(port);
        rest = rest.substr(0, colon);
    }
    if (rest.starts_with('[') && rest.ends_with(']')) {
        rest = rest.substr(1, rest.size() - 2);
    }
    if (rest.empty() || rest.find_first_of("/?#@[] \t") != std::string_view::npos) {
        return fault;
    }
    out.host = std::string{rest};
    return out;
}

absl::StatusOr<json> run_load(const load_options& options, std::ostream& progress) {
    auto plan = plan_calls(options.profile, options.length, options.seed);
    const auto id = run_id();
    const auto start = now() + lead;
    tally results{names_of(options.profile), start, static_cast<std::size_t>(options.length.count())};
    std::vector<std::unique_ptr<lane>> lanes;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        lanes.push_back(std::make_unique<lane>(std::move(plan[i]), concat(id, "-", i), options, start, results));
    }
    try {
        for (auto& it : lanes) {
            it->start();
        }
    } catch (const std::system_error& e) {
        for (auto& it : lanes) {
            it->cancel();
        }
        return absl::UnavailableError(concat("starting the threads failed: ", e.what()));
    }
    print_progress(options, start, results, progress);
    for (auto& it : lanes) {
        it->finish();
    }
    auto out = results.report();
    out["seconds"] = options.length.count();
    out["seed"] = options.seed;
    return out;
}

} // namespace dandelionbay::load
