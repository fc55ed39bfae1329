#pragma once

#include <string>
#include <vector>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/wire/codec.hpp"

namespace dandelionbay::internal {

/*! @brief What a field's encoding depends on beside its value. */
struct frame_context {
    const hello& sender;   // NOLINT(cppcoreguidelines-avoid-const-or-ref-data-members)
    const hello& receiver; // NOLINT(cppcoreguidelines-avoid-const-or-ref-data-members)
    name_table* names;     //!< Null if names have no numbers.
};

/*! @brief First message of the sender if it is a router, else of the receiver. */
[[nodiscard]] inline const hello& router_of(const frame_context& link) noexcept {
    return link.sender.role == host_role::router ? link.sender : link.receiver;
}

/*! @brief First message of the sender if it is an agent, else of the receiver. */
[[nodiscard]] inline const hello& agent_of(const frame_context& link) noexcept {
    return link.sender.role == host_role::agent ? link.sender : link.receiver;
}

/*! @brief Tells whether a field is a list. */
template<typename Type>
constexpr bool is_vector = false;
template<typename Item>
constexpr bool is_vector<std::vector<Item>> = true;

/*! @brief Tells whether a field is a named_id, which is packed as its text. */
template<typename Type>
constexpr bool is_name = false;
template<typename Tag>
constexpr bool is_name<named_id<Tag>> = true;

} // namespace dandelionbay::internal
