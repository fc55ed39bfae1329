#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"

namespace dandelionbay::internal {

/**
 * @brief Ids of admitted requests with the grants they used, so that none is admitted twice.
 *
 * Bounded in time and number. Forgetting an id does not allow a repeated message to run again, because its grant is
 * used up; it only guards against a router that submits one id under two grants.
 */
class admission_history {
public:
    /*! @brief How long an id is remembered: longer than a request may wait at a router and run. */
    static constexpr duration retention = std::chrono::minutes{10};

    /*! @brief Largest number of remembered ids; about 10 MB. */
    static constexpr std::size_t capacity = 65'536;

    /*! @brief Remembers an admission. @param id The request. @param grant The grant it used. @param now Time. */
    void insert(const request_id& id, const grant_id& grant, time_point now);

    /*! @brief Forgets an admission that provably led to no run. @param id The request. */
    void erase(const request_id& id);

    /*! @brief Looks an admission up. @param id The request. @return The grant it used, if it was admitted. */
    [[nodiscard]] std::optional<grant_id> find(const request_id& id) const;

    /*! @brief Tells whether an id was certainly not admitted, or its admission led to no run. @param id The request. */
    [[nodiscard]] bool never_admitted(const request_id& id) const;

private:
    struct entry {
        request_id id{};
        time_point admitted{};
    };

    std::map<request_id, grant_id> grants_{};
    std::deque<entry> order_{};
    std::map<host_id, request_id> forgotten_{}; //!< Highest id of each router that is no longer remembered.
};

} // namespace dandelionbay::internal
