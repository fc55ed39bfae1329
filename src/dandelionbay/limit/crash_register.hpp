#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/limit/fwd.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/**
 * @brief Requests that were running when an endpoint crashed, by fingerprint.
 *
 * The number of crashes only grows and is merged by maximum. A clearance names the number it covers, so a late message
 * from before the clearance does not bring the suspicion back.
 */
class crash_register {
    struct record {
        std::uint32_t crashes{};
        std::uint32_t cleared{}; // crashes that do not count any more
        time_point changed{};
    };

    bool raise(std::uint64_t fingerprint, std::uint32_t crashes, std::uint32_t cleared, time_point now);

public:
    using size_type = std::size_t;

    /*! @brief Time after the last change at which a record is forgotten. */
    static constexpr duration kept = std::chrono::minutes{10};

    /*! @brief Crashes from which on a request is refused. */
    static constexpr std::uint32_t refused_at = 2;

    /*! @brief Counts a crash. @param fingerprint Request that was running. @return Message for the other hosts. */
    [[nodiscard]] suspicion crashed(std::uint64_t fingerprint, time_point now);

    /*! @brief Merges a message. @return True if it changed the register and is worth passing on. */
    bool merge(const suspicion& in, time_point now);

    /*! @brief The request finished normally. @return Messages for the other hosts; none if it was no suspect. */
    [[nodiscard]] std::vector<suspicion> finished(std::uint64_t fingerprint, time_point now);

    /*! @brief Crashes that count against a request. */
    [[nodiscard]] std::uint32_t crashes(std::uint64_t fingerprint) const;

    /*! @brief Tells whether a request is refused. */
    [[nodiscard]] bool refused(std::uint64_t fingerprint) const { return crashes(fingerprint) >= refused_at; }

    /*! @brief Forgets old records; to be called from time to time. */
    void expire(time_point now);

    /*! @brief Messages that tell a new peer everything. */
    [[nodiscard]] std::vector<suspicion> all() const;

    /*! @brief Number of records. */
    [[nodiscard]] size_type size() const noexcept { return records_.size(); }

private:
    std::map<std::uint64_t, record> records_;
};

} // namespace dandelionbay
