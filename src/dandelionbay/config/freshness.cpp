#include "dandelionbay/config/freshness.hpp"

#include <algorithm>

namespace dandelionbay {

void freshness::renew(time_point at) {
    evidence_ = std::max(evidence_.value_or(at), at);
}

freshness::freshness(isolated_policy policy, counters& metrics) : policy_{policy}, metrics_{metrics} {}

void freshness::store_read(time_point started) {
    renew(started);
}

void freshness::peer_evidence(std::uint32_t age_ms, time_point sent) {
    // Ages over the limit are of no use; dropping them also keeps the subtraction in range.
    const auto age = std::chrono::milliseconds{age_ms};
    if (age_ms != no_evidence && age < limit) {
        renew(sent - age);
    }
}

void freshness::majority_heard(std::optional<time_point> since) {
    if (since.has_value()) {
        renew(*since);
    }
}

std::uint32_t freshness::evidence_age_ms(time_point now) const noexcept {
    if (!evidence_.has_value()) {
        return no_evidence;
    }
    // Rounded up, so that an age does not shrink from hop to hop.
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(std::max(duration{}, now - *evidence_)).count();
    return age >= no_evidence ? no_evidence : static_cast<std::uint32_t>(age);
}

bool freshness::has_evidence(time_point now) const noexcept {
    return evidence_.has_value() && now - *evidence_ < limit;
}

bool freshness::fresh(time_point now) {
    const bool evident = has_evidence(now);
    if (evident == isolated_) {
        isolated_ = !evident;
        metrics_.add("isolation_changes_total", isolated_ ? "isolated" : "rejoined");
    }
    return evident || policy_ == isolated_policy::serve;
}

std::optional<time_point> freshness::expires() const noexcept {
    return evidence_.has_value() ? std::optional{*evidence_ + limit} : std::nullopt;
}

} // namespace dandelionbay
