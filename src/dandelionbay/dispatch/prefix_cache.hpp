#pragma once

#include <cstdint>
#include <list>
#include <span>

#include "absl/container/flat_hash_map.h"
#include "dandelionbay/dispatch/fwd.hpp"
#include "dandelionbay/gateway/call_options.hpp"

namespace dandelionbay {

/**
 * @brief Estimates which prompt parts an engine has cached: the most recently used ones that fit into its memory.
 *
 * The estimate is based on the calls sent to the engine, which are known immediately. What the engine itself reports is
 * late and incomplete.
 */
class prefix_cache {
    struct cached_part {
        std::uint64_t id{};
        std::uint32_t tokens{};
    };
    using lru_list = std::list<cached_part>; // Least recently used first.

    void evict();

public:
    /*! @brief Sets the capacity, in tokens, and evicts the parts beyond it. */
    void set_capacity(std::uint64_t tokens);

    /*! @brief Records that a call with these prompt parts was sent. */
    void record_use(std::span<const prompt_part> parts);

    /*! @brief Records that another router used a prompt part. @param tokens Length of the part. */
    void record_use(std::uint64_t id, std::uint32_t tokens);

    /*! @brief Returns the number of tokens at the start of a prompt that are cached and need no prefill. */
    [[nodiscard]] std::uint32_t cached_tokens(std::span<const prompt_part> parts) const;

    /*! @brief Removes all parts, after a restart of the engine. */
    void clear();

private:
    std::uint64_t capacity_tokens_{};
    std::uint64_t used_tokens_{};
    lru_list lru_{};
    absl::flat_hash_map<std::uint64_t, lru_list::iterator> index_{};
};

} // namespace dandelionbay
