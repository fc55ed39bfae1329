#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"

namespace dandelionbay::internal {

/**
 * @brief Ids of the admitted requests and the grants they used; prevents a request from being admitted twice.
 *
 * Limited by age and by number of entries. Once an id has been evicted, a repeated message still cannot run again,
 * because its grant is used up. The history only guards against a router that submits one id under two grants.
 */
class admission_history {
public:
    /*! @brief How long an id is kept; longer than a request may wait at a router and run. */
    static constexpr duration retention = std::chrono::minutes{10};

    /*! @brief Maximum number of ids; about 10 MB. */
    static constexpr std::size_t capacity = 65'536;

    /*! @brief Records an admission. @param id The request. @param grant The grant it used. @param now Current time. */
    void insert(const request_id& id, const grant_id& grant, time_point now);

    /*! @brief Removes an admission that provably led to no run. @param id The request. */
    void erase(const request_id& id);

    /*! @brief Returns the grant of an admitted request, or nullopt if the id is unknown. @param id The request. */
    [[nodiscard]] std::optional<grant_id> find(const request_id& id) const;

    /**
     * @brief Checks whether a request was certainly not admitted, or its admission led to no run.
     * @param id The request.
     * @return False also if the id may have been evicted.
     */
    [[nodiscard]] bool never_admitted(const request_id& id) const;

private:
    struct entry {
        request_id id{};
        time_point admitted{};
    };

    std::map<request_id, grant_id> grants_{};
    std::deque<entry> insertion_order_{};
    std::map<host_id, request_id> highest_evicted_{}; //!< Highest id of each router that was evicted.
};

} // namespace dandelionbay::internal
