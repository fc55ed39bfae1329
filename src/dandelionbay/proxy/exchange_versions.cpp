// How an exchange finds the service and the software version that can continue a stream, and records where one began.
#include "dandelionbay/proxy/exchange.hpp"

#include <algorithm>

#include "dandelionbay/proxy/proxy.hpp"

namespace dandelionbay {

service_id exchange::pick_service(time_point now) {
    if (is_resuming()) {
        const auto known = owner_->stream_versions().find_service(terms_.resumed_stream, now);
        if (known && std::ranges::find(route_->services, *known, &service_share::service) != route_->services.end()) {
            return *known;
        }
    }
    return owner_->pick_service(*route_);
}

bool exchange::is_resuming() const noexcept {
    return terms_.resume_after && route_->kind == call_kind::streaming;
}

bool exchange::find_stream_version(time_point now) {
    if (!is_resuming()) {
        return true; // Any version may begin it.
    }
    const auto& env = owner_->environment();
    auto& versions = owner_->stream_versions();
    stream_version_ = versions.find_version(terms_.resumed_stream, service_, now);
    has_begun_before_ = versions.find_service(terms_.resumed_stream, now) == service_;
    const bool is_served = stream_version_ && owner_->dispatch().has_endpoint(make_work_item(), now);
    const std::string_view outcome = !stream_version_ ? "unknown" : is_served ? "resumed" : "gone";
    env.metrics->add("streams_resumed_total", outcome);
    env.log->write_call(log_level::info, "stream_resumed", [&] {
        return event_log::fields{{"request", terms_.id},
                                 {"stream", terms_.resumed_stream},
                                 {"service", service_.value},
                                 {"version", stream_version_.value_or(version_id{}).value},
                                 {"versions", std::to_string(versions.recent_versions(service_, now).size())},
                                 {"outcome", std::string{outcome}}};
    });
    if (!is_served) {
        refuse(503, stream_version_ ? result_code::stream_version_gone : result_code::stream_version_unknown,
               default_retry_after);
    }
    return is_served;
}

void exchange::note_stream_version(const attempt& it, time_point now) {
    const auto& stream = terms_.resume_after ? terms_.resumed_stream : terms_.id;
    stream_version_ = it.choice.version;
    if (!stream.empty()) {
        owner_->stream_versions().record_stream(stream, {service_, it.choice.version}, now);
    }
}

} // namespace dandelionbay
