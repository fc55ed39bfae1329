#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/gateway/fwd.hpp"
#include "dandelionbay/limit/lost_run_registry.hpp"

namespace dandelionbay {

/*! @brief A write of one row of the registry. */
struct row_write {
    std::function<std::string()> make_value{}; //!< Null to remove the row.
    std::function<bool()> is_needed{};         //!< Whether the row is still needed; null to remove it.
};

/*! @brief Writes of rows by key: those that the registry has yet to accept, and those that it accepted of late, which a
 *  restore from a backup may lose. */
class retained_rows {
    struct accepted_write {
        row_write value{};
        time_point at{};
    };

public:
    using size_type = std::size_t;
    using batch = std::map<std::string, row_write>;

    /*! @brief Time for which accepted writes are kept: as long as what they hold counts. */
    static constexpr duration retention_window = lost_run_registry::retention_window;

    /*! @brief Adds a write in place of an earlier one of the row. */
    void add(const std::string& key, row_write it) { pending_[key] = std::move(it); }

    /*! @brief Tells whether no write is pending. */
    [[nodiscard]] bool empty() const noexcept { return pending_.empty(); }

    /*! @brief Takes pending writes. @param most Largest number of them. */
    [[nodiscard]] batch take(size_type most);

    /*! @brief Returns writes that were not accepted; writes that were added meanwhile are newer. */
    void put_back(batch&& failed) { pending_.merge(failed); }

    /*! @brief Records that the registry accepted writes. @param now Current time. */
    void record_accepted(const batch& accepted, time_point now);

    /**
     * @brief Adds the accepted writes that the registry has lost and that still matter.
     * @param present Keys of the rows that the registry has.
     * @return Number of writes added.
     */
    size_type add_lost(const std::set<std::string>& present);

private:
    batch pending_{};
    std::map<std::string, accepted_write> accepted_{};
};

} // namespace dandelionbay
