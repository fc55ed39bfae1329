// How a gateway keeps the software versions of endpoints: which are held back, and which the registry names.
#include "dandelionbay/node/gateway_node.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "dandelionbay/base/name_hash.hpp"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

/*! Routers that write a change of a service's versions: one may be about to end. */
constexpr std::size_t version_writers = 2;
/*! Shortest interval between looks at versions that are about to come into use. */
constexpr duration least_versions_interval = std::chrono::milliseconds{20};

} // namespace

void gateway_node::on_versions(const std::map<service_id, std::set<version_id>>& retained) {
    const auto now = clock_.now();
    auto& known = proxy_.stream_versions();
    for (const auto& [service, versions] : retained) {
        for (const auto& it : versions) { // Those that are not registered may have left just now.
            known.note_version({service, it}, now, now);
            known.note_in_use({service, it});
        }
    }
    if (!known.is_complete()) { // Without a row no router has held back a version.
        for (const auto& [id, it] : view_.endpoints()) {
            if (!retained.contains(it.entry.service)) {
                known.note_in_use({it.entry.service, it.entry.version});
            }
        }
    }
    retained_versions_ = retained;
    known.set_complete();
    update_versions(now);
}

void gateway_node::update_versions(time_point now) {
    auto& versions = proxy_.stream_versions();
    versions.update_versions(now);
    auto holds = versions.holds(now);
    if (!holds.empty()) {
        const auto first = std::ranges::min_element(holds, {}, [](const auto& it) { return it.second; })->second;
        update_versions_at(first - stream_version_registry::use_delay + stream_version_registry::max_evidence_age);
    }
    proxy_.dispatch().set_version_holds(std::move(holds));
    if (!versions.is_complete() || view_.config() == nullptr) {
        return;
    }
    for (const auto& service : view_.config()->services) {
        auto in_use = versions.versions_in_use(service.id, now);
        auto& retained = retained_versions_[service.id];
        if (in_use == retained) {
            continue;
        }
        std::string names;
        for (const auto& it : in_use) {
            names += concat(names.empty() ? "" : ",", it.value);
        }
        const bool writes = proxy_.dispatch().rank_for(name_hash(service.id.value)) < version_writers;
        log_.write(log_level::info, "versions_changed",
                   {{"service", service.id.value}, {"versions", names}, {"written", writes ? "yes" : "no"}});
        retained = std::move(in_use);
        if (writes) {
            registry_->retain_versions(service.id, retained);
        }
    }
}

void gateway_node::update_versions_at(time_point at) {
    versions_timer_.expires_after(std::max(least_versions_interval, at - clock_.now()));
    versions_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            update_versions(clock_.now());
        }
    });
}

} // namespace dandelionbay
