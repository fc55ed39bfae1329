#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/claim/claim_guard.hpp"
#include "dandelionbay/claim/fwd.hpp"

namespace dandelionbay {

/*! @brief Table that holds the claims. */
inline constexpr std::string_view claims_table = "claims";

/*! @brief Longest body of an answer that is kept with a claim, in bytes. */
inline constexpr std::size_t largest_kept_body = 64U << 10U;

/*! @brief Longest Idempotency-Key, in bytes; a row key must fit into the platform's limit for paths. */
inline constexpr std::size_t longest_key = 255;

/*! @brief State of a claim in the store. */
enum class claim_state : std::uint8_t {
    started,  //!< The call may be queued, running or finished.
    finished, //!< The call ran and its answer was read.
    lost,     //!< The call may have run; nobody has its answer.
    released, //!< The call provably did not run; the key may be claimed again.
};

/*! @brief One life of a router process. */
struct claim_owner {
    host_id host{};
    incarnation_type incarnation{};

    friend auto operator<=>(const claim_owner&, const claim_owner&) = default;
    friend bool operator==(const claim_owner&, const claim_owner&) = default;
};

/*! @brief Row of a claim. */
struct claim_row {
    claim_state state{claim_state::started};
    std::string change_id{}; //!< Identifies the attempt that claimed the key.
    claim_owner owner{};
    std::uint64_t fingerprint{};
    std::int64_t started_unix_ms{};
    std::uint32_t limit_ms{}; //!< Longest time from the start to the end of the run.
    bool answer_kept{};       //!< False if the answer was too large; finished only.
    stored_answer answer{};   //!< Finished only.

    friend bool operator==(const claim_row&, const claim_row&) = default;
};

/*! @brief Key of a call's row. @param request The call. @return Escaped team, service and key. */
[[nodiscard]] std::string claim_key(const claim_request& request);

/*! @brief Serialises a row. @param row The row. @return msgpack bytes. */
[[nodiscard]] std::string encode_claim(const claim_row& row);

/*! @brief Reads a row. @param value msgpack bytes. @return The row; none if the bytes are malformed. */
[[nodiscard]] std::optional<claim_row> decode_claim(std::string_view value);

} // namespace dandelionbay
