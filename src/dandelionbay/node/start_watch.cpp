#include "dandelionbay/node/start_watch.hpp"

#include "dandelionbay/config/config_adopter.hpp"
#include "dandelionbay/store/http_table_store.hpp"

namespace dandelionbay {

static_assert(start_watch::limit > store_time_limit + config_adopter::start_limit);

std::string_view to_string(start_state state) noexcept {
    switch (state) {
    case start_state::waiting:
        return "waiting";
    case start_state::in_force:
        return "in_force";
    case start_state::store_empty:
        return "store_empty";
    case start_state::store_unanswered:
        return "store_unanswered";
    case start_state::config_unusable:
        return "config_unusable";
    }
    return "unknown";
}

start_state start_watch::state(time_point now) const {
    if (metrics_->get("config_revision") > 0) {
        return start_state::in_force;
    }
    if (metrics_->get("store_reads_total", "not_found") > 0) {
        return start_state::store_empty;
    }
    if (now - started_ < limit) {
        return start_state::waiting;
    }
    const auto answered = metrics_->get("store_reads_total", "ok") + metrics_->get("store_reads_total", "malformed");
    return answered > 0 ? start_state::config_unusable : start_state::store_unanswered;
}

start_state start_watch::check(time_point now) {
    const auto out = state(now);
    if (out != start_state::waiting && out != start_state::in_force) {
        metrics_->add("started_without_config_total", to_string(out));
    }
    return out;
}

} // namespace dandelionbay
