#include "soak/sim_link.hpp"

#include <algorithm>

namespace dandelionbay::soak {

namespace {

using namespace std::chrono_literals;

constexpr duration same_region_delay = 1ms;
constexpr duration cross_region_delay = 20ms;
constexpr int message_fault_percent = 1;

} // namespace

void sim_links::add(const host_id& host, link_user& user, region_id region) {
    users_[host] = &user;
    regions_[host] = std::move(region);
}

void sim_links::join(const host_id& a, const host_id& b) {
    const auto ends = key(a, b);
    links_.emplace(ends, link{});
    connect(ends);
}

void sim_links::deliver(const host_id& to, std::function<void(link_user&)> run) {
    if (const auto until = paused_until(to); until > events_->now()) {
        events_->at(until, [this, to, run = std::move(run)] { deliver(to, run); });
        return;
    }
    run(*users_.at(to));
}

void sim_links::connect(const key_type& ends) {
    const auto delay = duration{std::uniform_int_distribution<duration::rep>{20'000, 200'000}(random_)};
    events_->after(delay, [this, ends] {
        auto& it = links_.at(ends);
        const auto now = events_->now();
        if (it.up) {
            return;
        }
        if (it.blocked || paused_until(ends.first) > now || paused_until(ends.second) > now) {
            connect(ends);
            return;
        }
        it.up = true;
        ++it.epoch;
        it.forward = {now};
        it.backward = {now};
        users_.at(ends.first)->link_up(users_.at(ends.second)->introduce());
        users_.at(ends.second)->link_up(users_.at(ends.first)->introduce());
    });
}

void sim_links::send(const host_id& from, const host_id& to, const message& body) {
    const auto ends = key(from, to);
    const auto it = links_.find(ends);
    if (it == links_.end() || !it->second.up) {
        return;
    }
    auto& way = from == ends.first ? it->second.forward : it->second.backward;
    const auto base = regions_.at(from) == regions_.at(to) ? same_region_delay : cross_region_delay;
    const auto jitter = duration{std::uniform_int_distribution<duration::rep>{0, base.count()}(random_)};
    auto when = std::max(way.last_delivery, events_->now() + base + jitter);
    const auto run = [this, from, to, body, ends, epoch = it->second.epoch] {
        deliver(to, [this, from, body, ends, epoch](link_user& user) {
            if (links_.at(ends).epoch == epoch && links_.at(ends).up) {
                user.receive(from, body);
            }
        });
    };
    if (message_faults_ && std::uniform_int_distribution{0, 99}(random_) < message_fault_percent) {
        switch (std::uniform_int_distribution{0, 2}(random_)) {
        case 0:
            return;
        case 1:
            events_->at(when + base, run);
            break;
        default:
            when += 10 * base;
            events_->at(when, run);
            return;
        }
    }
    way.last_delivery = when;
    events_->at(when, run);
}

void sim_links::break_link(const host_id& a, const host_id& b) {
    const auto ends = key(a, b);
    const auto it = links_.find(ends);
    if (it == links_.end() || !it->second.up) {
        return;
    }
    it->second.up = false;
    for (const auto& [self, peer] : {ends, key_type{ends.second, ends.first}}) {
        deliver(self, [peer](link_user& user) { user.link_down(peer); });
    }
    connect(ends);
}

void sim_links::break_links(const host_id& host) {
    for (const auto& [a, b] : ends()) {
        if (a == host || b == host) {
            break_link(a, b);
        }
    }
}

void sim_links::block(const host_id& a, const host_id& b, bool blocked) {
    if (const auto it = links_.find(key(a, b)); it != links_.end()) {
        it->second.blocked = blocked;
        if (blocked) {
            break_link(a, b);
        }
    }
}

void sim_links::stall(const host_id& from, const host_id& to, time_point until) {
    const auto ends = key(from, to);
    if (const auto it = links_.find(ends); it != links_.end()) {
        auto& way = from == ends.first ? it->second.forward : it->second.backward;
        way.last_delivery = std::max(way.last_delivery, until);
    }
}

void sim_links::pause(const host_id& host, time_point until) {
    paused_[host] = until;
}

time_point sim_links::paused_until(const host_id& host) const {
    const auto it = paused_.find(host);
    return it != paused_.end() ? it->second : time_point{};
}

std::vector<std::pair<host_id, host_id>> sim_links::ends() const {
    std::vector<std::pair<host_id, host_id>> all;
    for (const auto& it : links_) {
        all.push_back(it.first);
    }
    return all;
}

} // namespace dandelionbay::soak
