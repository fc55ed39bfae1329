#include "dandelionbay/config/config_adopter.hpp"

#include <algorithm>

namespace dandelionbay {

config_adopter::result config_adopter::adopt(document it) {
    decided_ = true;
    current_ = std::move(it);
    candidate_ = document{};
    metrics_.add("config_adopted_total");
    metrics_.set("config_revision", static_cast<counters::value_type>(current_.revision));
    return current_.config;
}

config_adopter::result config_adopter::consider(std::uint64_t revision, const std::string& text) {
    if (revision == current_.revision || (candidate_.config != nullptr && revision == candidate_.revision)) {
        const auto& known = revision == current_.revision ? current_ : candidate_;
        if (revision != 0 && text != known.text) {
            metrics_.add("protocol_violations_total", "config_text_differs");
        }
        return nullptr;
    }
    if (revision < current_.revision || revision < candidate_.revision) {
        metrics_.add("config_old_revision_total");
        return nullptr;
    }
    auto parsed = parse_fleet_config(text, revision);
    if (!parsed.ok()) {
        metrics_.add("config_unusable_total");
        unusable_ = std::max(unusable_, revision);
        return nullptr;
    }
    candidate_ = document{revision, text, std::make_shared<const fleet_config>(*std::move(parsed))};
    return candidate_.config;
}

config_adopter::config_adopter(counters& metrics) : metrics_{metrics} {}

config_adopter::result config_adopter::from_store(std::uint64_t revision, const std::string& text, time_point now) {
    const auto better = consider(revision, text);
    if (decided_) {
        return better != nullptr ? adopt(std::move(candidate_)) : nullptr;
    }
    store_answered_ = true;
    first_answer_ = first_answer_.value_or(now);
    return tick(now);
}

void config_adopter::store_empty(time_point now) {
    store_answered_ = true;
    first_answer_ = first_answer_.value_or(now);
}

void config_adopter::store_failed(time_point now) {
    first_answer_ = first_answer_.value_or(now);
}

config_adopter::result config_adopter::from_peer(const host_id& from, const config_document& it, time_point now) {
    if (open_.has_value() && open_->peer == from) {
        open_.reset();
    }
    announced(from, it.revision);
    const auto better = consider(it.revision, it.document);
    if (decided_) {
        return better != nullptr ? adopt(std::move(candidate_)) : nullptr;
    }
    return tick(now);
}

void config_adopter::announced(const host_id& peer, std::uint64_t revision) {
    auto& known = announced_[peer];
    known = std::max(known, revision);
    highest_announced_ = std::max(highest_announced_, known);
}

void config_adopter::peer_lost(const host_id& peer) {
    if (announced_.erase(peer) > 0) {
        const auto highest = std::ranges::max_element(announced_, {}, [](const auto& it) { return it.second; });
        highest_announced_ = highest != announced_.end() ? highest->second : 0;
    }
    asked_.erase(peer);
    if (open_.has_value() && open_->peer == peer) {
        open_.reset();
    }
}

std::optional<std::pair<host_id, config_query>> config_adopter::next_query(time_point now) {
    if (open_.has_value() && now - open_->sent >= query_limit) {
        open_.reset();
    }
    const auto have = std::max({current_.revision, candidate_.revision, unusable_});
    const auto wanted = highest_announced_;
    // A running query is replaced only if a still higher revision is announced.
    if (wanted <= have || (open_.has_value() && open_->revision >= wanted)) {
        return std::nullopt;
    }
    const std::map<host_id, std::uint64_t>::value_type* best = nullptr;
    const auto asked = [this](const host_id& peer) {
        const auto it = asked_.find(peer);
        return it != asked_.end() ? it->second : time_point::min();
    };
    // Of the peers that have the highest revision, the one that was asked the longest time ago.
    for (const auto& it : announced_) {
        if (it.second == wanted && (best == nullptr || asked(it.first) < asked(best->first))) {
            best = &it;
        }
    }
    const auto last = asked(best->first);
    if (last != time_point::min() && now - last < query_limit) {
        return std::nullopt;
    }
    asked_[best->first] = now;
    open_ = query{best->first, wanted, now};
    metrics_.add("config_queries_total");
    return std::pair{best->first, config_query{.above_revision = have}};
}

config_adopter::result config_adopter::tick(time_point now) {
    if (highest_announced_ <= current_.revision) {
        behind_since_.reset();
    } else {
        behind_since_ = behind_since_.value_or(now);
    }
    if (decided_ || candidate_.config == nullptr || !first_answer_.has_value()) {
        return nullptr;
    }
    const auto waited = now - *first_answer_;
    if (!store_answered_ && waited < peer_wait) {
        return nullptr;
    }
    // A higher revision is known to exist; it is fetched first, because this host may have had it before.
    if (std::max(candidate_.revision, unusable_) < highest_announced_ && waited < start_limit) {
        return nullptr;
    }
    return adopt(std::move(candidate_));
}

bool config_adopter::behind(time_point now) const {
    return behind_since_.has_value() && now - *behind_since_ >= behind_limit && knows_higher();
}

std::optional<config_document> config_adopter::answer(const config_query& it) const {
    if (current_.config == nullptr || current_.revision <= it.above_revision) {
        return std::nullopt;
    }
    return config_document{.revision = current_.revision, .document = current_.text};
}

} // namespace dandelionbay
