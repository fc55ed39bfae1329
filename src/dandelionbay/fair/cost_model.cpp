#include "dandelionbay/fair/cost_model.hpp"

#include <algorithm>
#include <utility>

namespace dandelionbay {

double cost_model::expected_output(const team_key& key, std::uint32_t max_output) const {
    const auto it = averages_.find(key);
    const double expected = it != averages_.end() ? it->second.output_tokens : initial_output_tokens;
    return max_output > 0 ? std::min(expected, static_cast<double>(max_output)) : expected;
}

void cost_model::observe_output(const team_key& key, std::uint32_t tokens) {
    auto& it = averages_[key];
    const auto value = static_cast<double>(tokens);
    it.output_tokens = it.has_history ? it.output_tokens + sample_weight * (value - it.output_tokens) : value;
    it.has_history = true;
}

void cost_model::add_refund(const team_key& key, double cost) {
    averages_[key].refund += cost;
}

double cost_model::apply_refund(const team_key& key, double cost) {
    const auto it = averages_.find(key);
    if (it == averages_.end()) {
        return cost;
    }
    const double part = std::min(cost, it->second.refund);
    it->second.refund -= part;
    return cost - part;
}

double cost_model::token_cost(double input, double output) const noexcept {
    return weights_.input_token * input + weights_.output_token * output;
}

double cost_model::plain_call_cost(std::uint64_t body_bytes) const noexcept {
    constexpr double kib = 1024.0;
    return weights_.plain_call + weights_.plain_kib * static_cast<double>(body_bytes) / kib;
}

cost_account::cost_account(team_key key, double weight, double input, double output, ledger& target, time_point now)
    : key_{std::move(key)}, weight_{weight}, input_{input}, reserved_{input + output} {
    target.reserve(key_, reserved_ / weight_, now);
}

void cost_account::release(double cost, ledger& target, time_point now) {
    const double part = std::min(cost, reserved_);
    if (part > 0.0) {
        reserved_ -= part;
        target.reserve(key_, -part / weight_, now);
    }
}

void cost_account::charge(double cost, ledger& target, time_point now) {
    if (cost > 0.0) {
        charged_ += cost;
        // Charges before releasing, so that the counter with reservations doesn't drop in between.
        target.charge(key_, cost / weight_, now);
        release(cost, target, now);
    }
}

void cost_account::charge_input(ledger& target, time_point now) {
    if (!std::exchange(started_, true)) {
        charge(input_, target, now);
    }
}

void cost_account::charge_output(double cost, ledger& target, time_point now) {
    charge_input(target, now);
    charge(cost, target, now);
}

double cost_account::settle(double exact, ledger& target, time_point now) {
    if (exact > charged_) {
        started_ = true;
        charge(exact - charged_, target, now);
    }
    release(reserved_, target, now);
    return started_ ? std::max(0.0, charged_ - exact) : 0.0;
}

} // namespace dandelionbay
