#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <tuple>
#include <type_traits>

#include <msgpack.hpp>

#include "dandelionbay/wire/field_traits.hpp"
#include "dandelionbay/wire/fields.hpp"

namespace dandelionbay::internal {

/*! @brief Buffer that counts what a msgpack packer writes, and keeps nothing. */
struct byte_counter {
    /*! @brief Counts bytes. @param n Number of bytes. */
    void write(const char* /*data*/, std::size_t n) noexcept { size += n; }

    std::size_t size{};
};

template<typename Packer>
void pack_real(Packer& out, double value) {
    // The library packs whole numbers as integers, which are never longer than a float.
    if (std::abs(value) <= std::numeric_limits<float>::max() && value != std::trunc(value) &&
        static_cast<double>(static_cast<float>(value)) == value) {
        out.pack_float(static_cast<float>(value));
    } else {
        out.pack_double(value);
    }
}

/*! @brief Appends a field. @param out Buffer. @param value The field. @param link What the hellos said. */
template<typename Packer, typename Type>
void pack(Packer& out, const Type& value, const frame_context& link);

/*! @brief Appends all fields of a message or a part of one, without an array header. */
template<typename Packer, typename Type>
void pack_members(Packer& out, const Type& value, const frame_context& link) {
    std::apply([&](const auto&... it) { (pack(out, it, link), ...); }, fields(value));
}

// Each member but the revision takes one byte on a link: the sender's incarnation is nil, ages are rounded to the safe
// side, up for evidence and down for the echo, and the leaving flag is the number's lowest bit. The highest age is
// none. The revision is the difference to the one in the sender's first message.
template<typename Packer>
void pack_members(Packer& out, const heartbeat& value, const frame_context& link) {
    if (value.incarnation == link.sender.incarnation) {
        out.pack_nil();
    } else {
        out.pack(value.incarnation);
    }
    out.pack(static_cast<std::int64_t>(value.config_revision - link.sender.config_revision));
    out.pack(value.evidence_age_ms / heartbeat_age_unit_ms >= no_evidence_units
                 ? no_evidence_units
                 : (value.evidence_age_ms + heartbeat_age_unit_ms - 1) / heartbeat_age_unit_ms);
    out.pack(static_cast<std::uint32_t>(value.number) * 2 + (value.leaving ? 1 : 0));
    out.pack(value.echo);
    out.pack(std::min(value.echo_held_ms, most_echo_held_ms) / heartbeat_age_unit_ms);
}

// A name is its number, or binary data if this frame defines its number, or text without a number.
template<typename Packer>
void pack_name(Packer& out, const std::string& name, const frame_context& link) {
    if (link.names != nullptr) {
        if (const auto number = link.names->find(name); number.has_value()) {
            out.pack(static_cast<std::uint32_t>(*number));
            return;
        }
        if (link.names->add(name)) {
            out.pack_bin(static_cast<std::uint32_t>(name.size()));
            out.pack_bin_body(name.data(), static_cast<std::uint32_t>(name.size()));
            return;
        }
    }
    pack(out, name, link);
}

template<typename Packer, typename Type>
void pack(Packer& out, const Type& value, const frame_context& link) {
    if constexpr (std::is_same_v<Type, double>) {
        pack_real(out, value);
    } else if constexpr (std::is_same_v<Type, bool> || std::is_arithmetic_v<Type>) {
        out.pack(value);
    } else if constexpr (std::is_enum_v<Type>) {
        out.pack(static_cast<std::underlying_type_t<Type>>(value));
    } else if constexpr (std::is_same_v<Type, std::string>) {
        // A length over 32 bits is cut here; the check of the frame's size refuses it afterwards.
        out.pack_str(static_cast<std::uint32_t>(value.size()));
        out.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
    } else if constexpr (is_name<Type>) {
        pack_name(out, value.value, link);
    } else if constexpr (is_vector<Type>) {
        out.pack_array(static_cast<std::uint32_t>(value.size()));
        for (const auto& it : value) {
            pack(out, it, link);
        }
    } else {
        if constexpr (std::is_same_v<Type, request_id>) {
            const auto& router = router_of(link);
            if (value.router == router.host && value.incarnation == router.incarnation) {
                out.pack(value.sequence);
                return;
            }
        } else if constexpr (std::is_same_v<Type, grant_id>) {
            if (value.incarnation == agent_of(link).incarnation) {
                out.pack(value.sequence);
                return;
            }
        } else if constexpr (std::is_same_v<Type, ledger_row>) {
            if (value.router == link.sender.host && value.incarnation == link.sender.incarnation) {
                const auto members = own_row_fields(value);
                out.pack_array(std::tuple_size_v<decltype(members)>);
                std::apply([&](const auto&... it) { (pack(out, it, link), ...); }, members);
                return;
            }
        }
        out.pack_array(std::tuple_size_v<decltype(fields(value))>);
        pack_members(out, value, link);
    }
}

} // namespace dandelionbay::internal
