#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/base/result_code.hpp"
#include "dandelionbay/router/router_action.hpp"
#include "soak/fairness_meter.hpp"

namespace dandelionbay::soak {

/*! @brief What the callers and endpoints of a run see; finds broken promises. */
class checker {
    struct request_state {
        team_id team;
        std::string key;
        std::uint32_t tokens{};
        bool idempotent{true};
        time_point accepted_at{};
        std::string received;
        bool waiting{true};
        bool suspended{}; //!< It waits at a paused router, so nothing can serve it.
        bool ended{};
        bool abandoned{}; //!< The caller left or its router ended without a graceful stop.
        executed state{executed::unknown};
        result_code code{result_code::ok};
    };

    struct crash_start {
        endpoint_id endpoint;
        time_point at;
    };

    void stop_waiting(request_state& state);
    /*! @brief Whether a crash can be known at an endpoint: news does not cross a partition. */
    [[nodiscard]] bool can_know(const endpoint_id& endpoint, const crash_start& it, time_point now) const;
    void trace_step(const std::string& key, const request_id& id, const std::string& step) const;

public:
    using size_type = std::size_t;

    void accepted(const request_id& id, const team_id& team, std::string key, std::uint32_t tokens, bool idempotent,
                  time_point now);
    void abandoned(const request_id& id);
    void data(const request_id& id, const std::string& bytes);
    void ended(const answer_end& end);

    /*! @brief A router gave a request to an agent, so it waits no more. */
    void submitted(const submit& work);

    /*! @brief An endpoint received a request. */
    void engine_started(const submit& work, const endpoint_id& endpoint, time_point now, bool bearable,
                        bool out_too_long);

    /*! @brief A router was paused or goes on. What waits there does not count as backlog meanwhile. */
    void router_paused(const host_id& router, bool paused);

    /*! @brief A partition begins. @param inside Endpoints of one part. @param now Current time. */
    void part(std::set<endpoint_id> inside, time_point now);
    /*! @brief The partition ended. */
    void rejoin(time_point now) { rejoined_at_ = now; }

    /*! @brief An endpoint did work for a team. @param cost Cost units. */
    void served(const team_id& team, double cost) { fairness_.served(team, cost); }
    [[nodiscard]] fairness_meter& fairness() noexcept { return fairness_; }
    void violation(std::string text);

    /*! @brief Prints the steps of the requests with a key on standard error. */
    void trace(std::string key) { trace_ = std::move(key); }

    /*! @brief Checks that every request has ended. */
    void finish();

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
    [[nodiscard]] size_type complete() const;
    [[nodiscard]] size_type with_state(executed state) const;
    [[nodiscard]] size_type starts() const noexcept { return starts_; }
    [[nodiscard]] size_type requests() const noexcept { return requests_.size(); }

private:
    std::map<request_id, request_state> requests_;
    std::map<std::string, std::uint32_t> starts_by_key_;
    std::map<std::string, std::vector<crash_start>> crashes_by_key_;
    std::set<endpoint_id> parted_;
    time_point parted_at_{};
    std::optional<time_point> rejoined_at_;
    std::set<request_id> started_;
    std::vector<std::string> violations_;
    fairness_meter fairness_;
    std::string trace_;
    size_type starts_{};
};

} // namespace dandelionbay::soak
