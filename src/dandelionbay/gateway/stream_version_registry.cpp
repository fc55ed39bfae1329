#include "dandelionbay/gateway/stream_version_registry.hpp"

#include <algorithm>
#include <utility>

#include "dandelionbay/base/name_hash.hpp"

namespace dandelionbay {

duration stream_version_registry::retention() const {
    if (const auto& config = view_->config(); config != config_) {
        config_ = config;
        longest_stream_ = {};
        for (const auto& it : config_->routes) {
            if (it.kind == call_kind::streaming) {
                longest_stream_ = std::max(longest_stream_, it.time_limit);
            }
        }
    }
    return longest_stream_ + retention_margin;
}

void stream_version_registry::update_versions(time_point now) {
    for (const auto& it : std::exchange(registered_, {})) {
        last_seen_[it] = now;
    }
    for (const auto& [id, it] : view_->endpoints()) {
        const service_version version{it.entry.service, it.entry.version};
        registered_.insert(version);
        first_seen_.try_emplace(version, now);
    }
    std::erase_if(last_seen_, [&](const auto& it) { return now - it.second >= retention(); });
    std::erase_if(first_seen_,
                  [&](const auto& it) { return !registered_.contains(it.first) && !last_seen_.contains(it.first); });
}

void stream_version_registry::note_version(const service_version& it, time_point at, time_point now) {
    auto& seen = last_seen_[it];
    seen = std::max(seen, std::min(at, now));
    first_seen_.try_emplace(it, now);
}

std::map<service_version, time_point> stream_version_registry::holds(time_point now) const {
    std::map<service_version, time_point> out;
    for (const auto& it : registered_) {
        const auto end = first_seen_.at(it) + use_delay;
        if (now < end && is_mixed(it.service, now)) {
            out.emplace(it, end);
        }
    }
    return out;
}

std::set<version_id> stream_version_registry::versions_in_use(const service_id& service, time_point now) const {
    auto out = recent_versions(service, now);
    if (out.size() > 1) {
        std::erase_if(out, [&](const auto& it) { return now < first_seen_.at({service, it}) + max_evidence_age; });
    }
    return out;
}

std::set<version_id> stream_version_registry::recent_versions(const service_id& service, time_point now) const {
    std::set<version_id> out;
    for (auto it = registered_.lower_bound({service, {}}); it != registered_.end() && it->service == service; ++it) {
        out.insert(it->version);
    }
    for (auto it = last_seen_.lower_bound({service, {}}); it != last_seen_.end() && it->first.service == service;
         ++it) {
        if (now - it->second < retention()) {
            out.insert(it->first.version);
        }
    }
    return out;
}

void stream_version_registry::expire(time_point now) {
    while (!all_.empty() && (now - all_.front().at >= retention() || all_.size() > max_streams)) {
        // A stream that was recorded again has a later record.
        if (const auto it = streams_.find(all_.front().stream);
            it != streams_.end() && it->second.at <= all_.front().at) {
            streams_.erase(it);
        }
        all_.pop_front();
    }
    while (!own_.empty() && (now - own_.front().at >= retention() || own_.size() > max_streams)) {
        own_.pop_front();
        ++first_own_;
    }
}

void stream_version_registry::record_stream(std::string_view stream, const service_version& origin, time_point now) {
    expire(now);
    const auto hash = name_hash(stream);
    streams_.insert_or_assign(hash, known_stream{origin, now});
    all_.push_back({hash, now});
    own_.push_back({hash, now});
}

std::optional<service_id> stream_version_registry::find_service(std::string_view stream, time_point now) {
    expire(now);
    const auto it = streams_.find(name_hash(stream));
    return stream.empty() || it == streams_.end() ? std::nullopt : std::optional{it->second.origin.service};
}

std::optional<version_id> stream_version_registry::find_version(std::string_view stream, const service_id& service,
                                                                time_point now) {
    expire(now);
    const auto it = streams_.find(name_hash(stream));
    if (!stream.empty() && it != streams_.end() && it->second.origin.service == service) {
        return it->second.origin.version;
    }
    const auto recent = recent_versions(service, now);
    return recent.size() == 1 && is_up_to_date(now) ? std::optional{*recent.begin()} : std::nullopt;
}

bool stream_version_registry::is_up_to_date(time_point now) const {
    const auto list_age = view_->endpoints_age(now);
    return is_complete_ &&
           ((list_age && *list_age <= max_evidence_age) || (peers_as_of_ && now - *peers_as_of_ <= max_evidence_age));
}

version_report stream_version_registry::make_report(sequence_type& told, time_point now) {
    expire(now);
    version_report out;
    out.is_complete = is_complete_;
    std::map<service_id, int> versions;
    const auto add = [&](const service_version& it, duration age) {
        out.recent.push_back(recent_version{it, age});
        ++versions[it.service];
    };
    for (const auto& it : registered_) {
        add(it, {});
    }
    for (const auto& [it, at] : last_seen_) {
        if (!registered_.contains(it) && now - at < retention()) {
            add(it, now - at);
        }
    }
    const auto is_mixed = [](const auto& it) { return it.second > 1; };
    if (std::ranges::none_of(versions, is_mixed)) {
        return out; // Once a second version serves, the streams of the retention time are still told.
    }
    told = std::max(told, first_own_);
    for (; told < first_own_ + own_.size(); ++told) {
        const auto stream = own_[static_cast<std::size_t>(told - first_own_)].stream;
        if (const auto it = streams_.find(stream); it != streams_.end() && versions[it->second.origin.service] > 1) {
            out.streams.push_back(stream_origin{stream, it->second.origin});
        }
    }
    return out;
}

void stream_version_registry::merge(const version_report& report, time_point sent_at,
                                    const std::optional<time_point>& as_of, time_point now) {
    expire(now);
    for (const auto& it : report.recent) {
        note_version(it.origin, sent_at - it.age, now);
    }
    is_complete_ = is_complete_ || report.is_complete;
    if (report.is_complete && as_of) { // A peer of an earlier release reports nothing.
        peers_as_of_ = std::max(peers_as_of_.value_or(*as_of), std::min(*as_of, now));
    }
    for (const auto& it : report.streams) {
        streams_.insert_or_assign(it.stream, known_stream{it.origin, now});
        all_.push_back({it.stream, now});
    }
}

} // namespace dandelionbay
