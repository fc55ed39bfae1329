#include "dandelionbay/claim/claim_service.hpp"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <chrono>
#include <deque>
#include <iterator>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"

namespace dandelionbay {

namespace {

// Interval at which the background thread looks for due settlements.
constexpr auto poll_interval = std::chrono::milliseconds{50};

// Bounds the pause between tries to 64 times the first one.
constexpr std::uint32_t most_doublings = 6;

std::int64_t system_unix_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

struct pending_settlement {
    std::string key{};
    settlement_machine machine;
    std::uint32_t tries{};
    time_point due{};
};

} // namespace

class claim_service::core {
    // Performs the store calls of a machine until it gives a result of type Result.
    template<typename Result, typename Machine>
    Result run(const std::string& key, Machine& machine) {
        auto step = machine.start();
        for (;;) {
            if (auto* const result = std::get_if<Result>(&step)) {
                return std::move(*result);
            }
            if (const auto* const write = std::get_if<write_claim>(&step)) {
                step = machine.on_write(store_->put(claims_table, key, write->value, write->expected_version));
            } else {
                step = machine.on_read(store_->get(claims_table, key));
            }
        }
    }

    void count(settlement result) {
        metrics_->add("claim_settlements_total", result == settlement::settled ? "settled" : "superseded");
    }

    // Makes one try. True if nothing is left to do.
    bool try_once(pending_settlement& item) {
        const auto result = run<settlement>(item.key, item.machine);
        if (result != settlement::again) {
            count(result);
            return true;
        }
        if (++item.tries >= settings.settle_attempts) {
            metrics_->add("claim_settlements_total", "given_up");
            return true;
        }
        metrics_->add("claim_settlements_total", "retried");
        const auto doublings = std::min(item.tries - 1, most_doublings);
        item.due = time_->now() + settings.settle_backoff * (std::int64_t{1} << doublings);
        return false;
    }

    void keep(pending_settlement item) {
        const std::lock_guard lock{mutex_};
        // While the store is down, refused calls leave releases behind; half of the room stays for answers.
        const bool release = item.machine.target().state == claim_state::released;
        if (pending_.size() >= (release ? settings.most_unsettled / 2 : settings.most_unsettled)) {
            metrics_->add("claim_settlements_total", "given_up");
            return;
        }
        pending_.push_back(std::move(item));
    }

public:
    core(claim_settings limits, table_store& store, const clock& time, counters& metrics, router_alive_function alive,
         wall_clock_function wall)
        : settings{std::move(limits)}, store_{&store}, time_{&time}, metrics_{&metrics}, alive_{std::move(alive)},
          wall_{wall ? std::move(wall) : system_unix_ms} {}

    claim_row new_row(const claim_request& request) {
        claim_row row;
        row.owner = settings.self;
        row.change_id = absl::StrCat(row.owner.host.value, "/", row.owner.incarnation, "/", sequence_.fetch_add(1) + 1);
        row.fingerprint = request.fingerprint;
        row.started_unix_ms = wall_();
        row.limit_ms =
            (request.timeout_ms > 0 ? request.timeout_ms : settings.default_limit_ms) + settings.limit_slack_ms;
        return row;
    }

    claim_verdict claim(const std::string& key, const claim_row& row) {
        claim_machine machine{row, alive_};
        return run<claim_verdict>(key, machine);
    }

    // Makes one try at once; further ones follow in the background.
    void settle(std::string key, settlement_machine machine) {
        pending_settlement item{std::move(key), std::move(machine), 0, {}};
        if (!try_once(item)) {
            keep(std::move(item));
        }
    }

    // Makes the first try in the background, so that the refusal is not held up.
    void settle_later(std::string key, settlement_machine machine) {
        keep({std::move(key), std::move(machine), 0, time_->now()});
    }

    // One try for each pending settlement that is due; for all of them if this is the last call.
    void settle_due(bool last) {
        const std::lock_guard turn{turn_};
        std::deque<pending_settlement> due;
        {
            const std::lock_guard lock{mutex_};
            const auto now = time_->now();
            const auto first = std::stable_partition(pending_.begin(), pending_.end(),
                                                     [&](const auto& it) { return !last && it.due > now; });
            due.assign(std::move_iterator{first}, std::move_iterator{pending_.end()});
            pending_.erase(first, pending_.end());
        }
        // After a try without an answer the others wait for the next call: each would take the store's time limit.
        bool answered = true;
        for (auto& it : due) {
            answered = answered && try_once(it);
            if (!answered) {
                const std::lock_guard lock{mutex_};
                pending_.push_back(std::move(it));
            }
        }
    }

    [[nodiscard]] std::size_t unsettled() const {
        const std::lock_guard lock{mutex_};
        return pending_.size();
    }

    void count(std::string_view decision) { metrics_->add("claims_total", decision); }

    const claim_settings settings;

private:
    table_store* store_;
    const clock* time_;
    counters* metrics_;
    router_alive_function alive_;
    wall_clock_function wall_;
    std::atomic<std::uint64_t> sequence_{0};
    std::mutex turn_; // Held while settlements are tried, so that one is never tried twice at once.
    mutable std::mutex mutex_;
    std::deque<pending_settlement> pending_;
};

class claim_service::handle final : public claim_handle {
    void settle(claim_state state) {
        assert(!ended_ && "a claim ends once");
        if (ended_) {
            return;
        }
        ended_ = true;
        row_.state = state;
        core_->settle(std::move(key_), settlement_machine{std::move(row_), version_});
    }

public:
    handle(std::shared_ptr<core> owner, std::string key, claim_row row, std::uint64_t version)
        : core_{std::move(owner)}, key_{std::move(key)}, row_{std::move(row)}, version_{version} {}

    void finish(const stored_answer& answer) override {
        row_.answer_kept = answer.body.size() <= largest_kept_body;
        if (row_.answer_kept) {
            row_.answer = answer;
        }
        settle(claim_state::finished);
    }

    void abandon() override { settle(claim_state::lost); }

    void release() override { settle(claim_state::released); }

private:
    std::shared_ptr<core> core_;
    std::string key_;
    claim_row row_;
    std::uint64_t version_;
    bool ended_{false};
};

claim_service::claim_service(claim_settings settings, table_store& store, const clock& time, counters& metrics,
                             router_alive_function alive, wall_clock_function wall)
    : core_{std::make_shared<core>(std::move(settings), store, time, metrics, std::move(alive), std::move(wall))} {}

claim_service::~claim_service() {
    stop();
}

void claim_service::work(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
        core_->settle_due(false);
        std::this_thread::sleep_for(poll_interval);
    }
    core_->settle_due(true);
}

void claim_service::start() {
    worker_ = std::jthread{[this](const std::stop_token& stop) { work(stop); }};
}

void claim_service::stop() noexcept {
    if (worker_.joinable()) {
        worker_.request_stop();
        worker_.join();
    }
}

claim_decision claim_service::begin(const claim_request& request) {
    claim_decision decision;
    if (request.key.empty() || request.key.size() > longest_key) {
        decision.code = request.key.empty() ? result_code::idempotency_key_missing : result_code::malformed_request;
        core_->count(describe(decision.code).name);
        return decision;
    }
    auto key = claim_key(request);
    auto row = core_->new_row(request);
    auto verdict = core_->claim(key, row);
    decision.action = verdict.action;
    switch (verdict.action) {
    case claim_decision::kind::proceed:
        core_->count("proceed");
        decision.handle = std::make_unique<handle>(core_, std::move(key), std::move(row), verdict.version);
        break;
    case claim_decision::kind::replay:
        core_->count("replay");
        decision.answer = std::move(verdict.answer);
        break;
    case claim_decision::kind::refuse:
        core_->count(describe(verdict.code).name);
        decision.code = verdict.code;
        decision.state = verdict.state;
        if (verdict.code == result_code::request_in_progress || verdict.code == result_code::store_unavailable) {
            decision.retry_after = core_->settings.retry_after;
        }
        if (verdict.maybe_written) {
            row.state = claim_state::released;
            core_->settle_later(std::move(key),
                                settlement_machine::release_unconfirmed(std::move(row), verdict.attempted_version));
        }
        break;
    }
    return decision;
}

void claim_service::settle_due() {
    core_->settle_due(false);
}

std::size_t claim_service::unsettled() const {
    return core_->unsettled();
}

} // namespace dandelionbay
