#pragma once

#include <cstdint>
#include <list>
#include <span>

#include "absl/container/flat_hash_map.h"
#include "dandelionbay/dispatch/fwd.hpp"
#include "dandelionbay/gateway/call_options.hpp"

namespace dandelionbay {

/**
 * @brief Estimates which parts of prompts an engine keeps: the most recently used ones that fit its memory.
 *
 * The engine itself tells late and with gaps, while every call that was sent to it is known at once.
 */
class prefix_cache {
    struct kept {
        std::uint64_t id{};
        std::uint32_t tokens{};
    };
    using order = std::list<kept>; // least recently used first

    void trim();

public:
    /*! @brief Sets the memory for kept parts. @param tokens Tokens. */
    void set_capacity(std::uint64_t tokens);

    /*! @brief A call with these parts was sent. @param parts The prompt. */
    void use(std::span<const prompt_part> parts);

    /*! @brief One part was used by another router. @param id The part. @param tokens Its length. */
    void use(std::uint64_t id, std::uint32_t tokens);

    /*! @brief Tokens at the start of a prompt that need not be read. @param parts The prompt. */
    [[nodiscard]] std::uint32_t cached_tokens(std::span<const prompt_part> parts) const;

    /*! @brief The engine restarted: it keeps nothing. */
    void clear();

private:
    std::uint64_t capacity_{};
    std::uint64_t used_{};
    order order_{};
    absl::flat_hash_map<std::uint64_t, order::iterator> index_{};
};

} // namespace dandelionbay
