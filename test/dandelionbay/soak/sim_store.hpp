#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/store/host_list.hpp"

namespace dandelionbay::soak {

/*! @brief The platform's configuration row and host list, with outages and hosts that are cut off from it. */
class sim_store {
public:
    void list_host(host_entry host) { hosts_.push_back(std::move(host)); }
    void set_down(bool down) { down_ = down; }
    void cut_off(std::set<host_id> hosts) { cut_off_ = std::move(hosts); }
    [[nodiscard]] bool answers(const host_id& host) const { return !down_ && !cut_off_.contains(host); }

    /*! @brief Commits a configuration. @return Its revision. */
    std::uint64_t write(std::string document) {
        document_ = std::move(document);
        return ++revision_;
    }

    /*! @brief An operator was told that a revision is accepted. */
    void accepted(std::uint64_t revision, time_point now) { accepted_.emplace_back(now, revision); }

    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
    [[nodiscard]] const std::string& document() const noexcept { return document_; }
    /*! @brief Hosts that the settings of the nodes name. */
    [[nodiscard]] std::vector<host_entry> settings_hosts() const {
        return in_settings_ ? hosts_ : std::vector<host_entry>{};
    }
    void name_hosts_in_settings(bool on) { in_settings_ = on; }

    [[nodiscard]] const std::vector<host_entry>& hosts() const noexcept { return hosts_; }

    /*! @brief Highest revision that was accepted by a time; zero if none was. */
    [[nodiscard]] std::uint64_t accepted_by(time_point when) const {
        std::uint64_t highest = 0;
        for (const auto& [at, revision] : accepted_) {
            highest = at <= when ? std::max(highest, revision) : highest;
        }
        return highest;
    }

private:
    std::vector<host_entry> hosts_;
    std::string document_;
    std::uint64_t revision_{};
    std::vector<std::pair<time_point, std::uint64_t>> accepted_;
    std::set<host_id> cut_off_;
    bool down_{};
    bool in_settings_{};
};

} // namespace dandelionbay::soak
