#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay::internal {

/*! @brief Crashes of this endpoint and of others by fingerprint, for routers that lost their memory. Bounded. */
class suspicion_memory {
public:
    /*! @brief Crashes after which a request is refused. */
    static constexpr std::uint32_t refusal = 2;

    /*! @brief How long a suspicion is remembered; callers resend a failed request sooner than this. */
    static constexpr duration retention = std::chrono::minutes{10};

    /*! @brief Largest number of remembered fingerprints. */
    static constexpr std::size_t capacity = 1'024;

    /*! @brief Merges what another host knows: by maximum, or cleared. */
    void merge(const suspicion& news, time_point now);

    /*! @brief Crashes known for a fingerprint. @return Their number. */
    [[nodiscard]] std::uint32_t crashes(std::uint64_t fingerprint, time_point now) const;

    /*! @brief All current suspicions. @param now Current time. @return Them, ordered by fingerprint. */
    [[nodiscard]] std::vector<suspicion> all(time_point now) const;

private:
    struct entry {
        std::uint32_t crashes{};
        time_point heard{};
    };

    std::map<std::uint64_t, entry> entries_{};
};

} // namespace dandelionbay::internal
