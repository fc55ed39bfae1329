#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "dandelionbay/base/fwd.hpp"

namespace dandelionbay {

/**
 * @brief Name of one kind of object; names of different kinds do not mix.
 * @tparam Tag Type that tells the kinds apart.
 */
template<typename Tag>
struct named_id {
    using value_type = std::string;

    named_id() = default;

    /*! @brief Wraps a name. @param name The name, unique within its kind. */
    explicit named_id(value_type name) : value{std::move(name)} {}

    /*! @brief Tells whether the name is empty. @return True for an empty name. */
    [[nodiscard]] bool empty() const noexcept { return value.empty(); }

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
    friend auto operator<=>(const named_id&, const named_id&) = default;
    friend bool operator==(const named_id&, const named_id&) = default;

    value_type value{};
};

namespace internal {
struct host_tag;
struct region_tag;
struct zone_tag;
struct team_tag;
struct endpoint_tag;
struct pool_tag;
struct service_tag;
struct version_tag;
} // namespace internal

using host_id = named_id<internal::host_tag>;
using region_id = named_id<internal::region_tag>;
using zone_id = named_id<internal::zone_tag>;
using team_id = named_id<internal::team_tag>;
using endpoint_id = named_id<internal::endpoint_tag>;
using pool_id = named_id<internal::pool_tag>;
using service_id = named_id<internal::service_tag>;
using version_id = named_id<internal::version_tag>;

/*! @brief Number of one life of a process; a later life of the same host has a higher number. */
using incarnation_type = std::uint64_t;

/*! @brief One crash of an endpoint; see make_crash_id. */
using crash_id = std::uint64_t;

/*! @brief Identifies a request across the fleet; never reused, also after a restart of the router. */
struct request_id {
    host_id router{};
    incarnation_type incarnation{};
    std::uint64_t sequence{};

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
    friend auto operator<=>(const request_id&, const request_id&) = default;
    friend bool operator==(const request_id&, const request_id&) = default;
};

/*! @brief Identifies a grant of one agent; never reused, also after a restart of the agent. */
struct grant_id {
    incarnation_type incarnation{};
    std::uint64_t sequence{};

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
    friend auto operator<=>(const grant_id&, const grant_id&) = default;
    friend bool operator==(const grant_id&, const grant_id&) = default;
};

} // namespace dandelionbay

template<typename Tag>
struct std::hash<dandelionbay::named_id<Tag>> {
    [[nodiscard]] std::size_t operator()(const dandelionbay::named_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.value);
    }
};
