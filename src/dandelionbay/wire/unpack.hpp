#pragma once

#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>

#include <msgpack.hpp>

#include "dandelionbay/wire/field_traits.hpp"
#include "dandelionbay/wire/fields.hpp"

namespace dandelionbay::internal {

/*! @brief Thrown when a frame does not have the form of a message; caught by frame_decoder. */
struct malformed {
    const char* reason;
};

inline void check_enum(host_role value) {
    if (value > host_role::agent) {
        throw malformed{"unknown host role"};
    }
}

inline void check_enum(executed value) {
    if (value > executed::unknown) {
        throw malformed{"unknown execution state"};
    }
}

inline void check_enum(result_code value) {
    if (describe(value).code != value) {
        throw malformed{"unknown result code"};
    }
}

// Every access to the library's union follows a check of its tag.
// NOLINTBEGIN(cppcoreguidelines-pro-type-union-access)

inline std::span<const msgpack::object> elements(const msgpack::object& from) {
    if (from.type != msgpack::type::ARRAY) {
        throw malformed{"array expected"};
    }
    return {from.via.array.ptr, from.via.array.size};
}

template<std::integral Type>
Type integer(const msgpack::object& from) {
    if (from.type == msgpack::type::POSITIVE_INTEGER && std::in_range<Type>(from.via.u64)) {
        return static_cast<Type>(from.via.u64);
    }
    if (from.type == msgpack::type::NEGATIVE_INTEGER && std::in_range<Type>(from.via.i64)) {
        return static_cast<Type>(from.via.i64);
    }
    throw malformed{"integer in range expected"};
}

inline double real(const msgpack::object& from) {
    // The library packs whole numbers as integers.
    if (from.type == msgpack::type::POSITIVE_INTEGER) {
        return static_cast<double>(from.via.u64);
    }
    if (from.type == msgpack::type::NEGATIVE_INTEGER) {
        return static_cast<double>(from.via.i64);
    }
    if ((from.type == msgpack::type::FLOAT64 || from.type == msgpack::type::FLOAT32) && std::isfinite(from.via.f64)) {
        return from.via.f64;
    }
    throw malformed{"finite number expected"};
}

/*! @brief Reads a field, strictly. @param from It. @param value Receives it. @param link What the hellos said. Throws
 *  malformed. */
template<typename Type>
void unpack(const msgpack::object& from, Type& value, const frame_context& link);

template<typename Members>
void unpack_each(std::span<const msgpack::object> items, Members& members, const frame_context& link) {
    if (items.size() != std::tuple_size_v<Members>) {
        throw malformed{"wrong number of fields"};
    }
    std::size_t n = 0;
    std::apply([&](auto&... it) { (unpack(items[n++], it, link), ...); }, members);
}

template<typename Type>
void unpack_members(std::span<const msgpack::object> items, Type& value, const frame_context& link) {
    auto members = fields(value);
    unpack_each(items, members, link);
}

inline void unpack_members(std::span<const msgpack::object> items, heartbeat& value, const frame_context& link) {
    if (items.size() != std::tuple_size_v<decltype(fields(value))>) {
        throw malformed{"wrong number of fields"};
    }
    value.incarnation =
        items[0].type == msgpack::type::NIL ? link.sender.incarnation : integer<incarnation_type>(items[0]);
    value.config_revision = link.sender.config_revision + static_cast<std::uint64_t>(integer<std::int64_t>(items[1]));
    const auto age = integer<std::uint32_t>(items[2]);
    const auto number = integer<std::uint32_t>(items[3]);
    unpack(items[4], value.echo, link);
    const auto held = integer<std::uint32_t>(items[5]);
    if (age > no_evidence_units || number >= 2U * heartbeat_numbers || value.echo > no_echo ||
        held > most_echo_held_ms / heartbeat_age_unit_ms) {
        throw malformed{"heartbeat's numbers out of range"};
    }
    value.evidence_age_ms =
        age == no_evidence_units ? std::numeric_limits<std::uint32_t>::max() : age * heartbeat_age_unit_ms;
    value.number = static_cast<std::uint8_t>(number / 2);
    value.leaving = number % 2 != 0;
    value.echo_held_ms = held * heartbeat_age_unit_ms;
}

inline void unpack_name(const msgpack::object& from, std::string& name, const frame_context& link) {
    if (link.names != nullptr && from.type == msgpack::type::POSITIVE_INTEGER) {
        const auto known = link.names->at(from.via.u64);
        if (!known.has_value()) {
            throw malformed{"undefined number of a name"};
        }
        name = *known;
    } else if (link.names != nullptr && from.type == msgpack::type::BIN) {
        name.assign(from.via.bin.ptr, from.via.bin.size);
        if (!link.names->add(name)) {
            throw malformed{"name that can't be defined: known, empty or too long, or too many"};
        }
    } else {
        unpack(from, name, link);
    }
}

template<typename Type>
void unpack(const msgpack::object& from, Type& value, const frame_context& link) {
    if constexpr (std::is_same_v<Type, bool>) {
        if (from.type != msgpack::type::BOOLEAN) {
            throw malformed{"boolean expected"};
        }
        value = from.via.boolean;
    } else if constexpr (std::is_integral_v<Type>) {
        value = integer<Type>(from);
    } else if constexpr (std::is_floating_point_v<Type>) {
        value = real(from);
    } else if constexpr (std::is_enum_v<Type>) {
        value = static_cast<Type>(integer<std::underlying_type_t<Type>>(from));
        check_enum(value);
    } else if constexpr (std::is_same_v<Type, std::string>) {
        if (from.type != msgpack::type::STR) {
            throw malformed{"text expected"};
        }
        value.assign(from.via.str.ptr, from.via.str.size);
    } else if constexpr (is_name<Type>) {
        unpack_name(from, value.value, link);
    } else if constexpr (is_vector<Type>) {
        const auto items = elements(from);
        value.resize(items.size());
        for (std::size_t n = 0; n < items.size(); ++n) {
            unpack(items[n], value[n], link);
        }
    } else {
        if constexpr (std::is_same_v<Type, request_id>) {
            if (from.type != msgpack::type::ARRAY) {
                const auto& router = router_of(link);
                value = {router.host, router.incarnation, integer<std::uint64_t>(from)};
                return;
            }
        } else if constexpr (std::is_same_v<Type, grant_id>) {
            if (from.type != msgpack::type::ARRAY) {
                value = {agent_of(link).incarnation, integer<std::uint64_t>(from)};
                return;
            }
        } else if constexpr (std::is_same_v<Type, ledger_row>) {
            auto members = own_row_fields(value);
            if (const auto items = elements(from); items.size() == std::tuple_size_v<decltype(members)>) {
                value.router = link.sender.host;
                value.incarnation = link.sender.incarnation;
                unpack_each(items, members, link);
                return;
            }
        }
        unpack_members(elements(from), value, link);
    }
}

// NOLINTEND(cppcoreguidelines-pro-type-union-access)

} // namespace dandelionbay::internal
