#pragma once

#include <cstdint>
#include <tuple>
#include <type_traits>

#include "dandelionbay/fair/ledger_row.hpp"
#include "dandelionbay/wire/message.hpp"

/*! @brief Members of the messages in the order in which they are on the wire. */
namespace dandelionbay::internal {

template<typename Type>
inline constexpr bool always_false = false;

/*! @brief Units of evidence age in a heartbeat that say that there is none. */
inline constexpr std::uint32_t no_evidence_units = 127;

/**
 * @brief Lists the members of a value.
 * @param it The value, const or not.
 * @return References to its members in wire order.
 */
template<typename Type>
[[nodiscard]] auto fields(Type& it) noexcept {
    using value = std::remove_const_t<Type>;
    if constexpr (std::is_same_v<value, request_id>) {
        return std::tie(it.router, it.incarnation, it.sequence);
    } else if constexpr (std::is_same_v<value, grant_id>) {
        return std::tie(it.incarnation, it.sequence);
    } else if constexpr (std::is_same_v<value, hello>) {
        return std::tie(it.host, it.role, it.region, it.zone, it.incarnation, it.endpoint, it.config_revision);
    } else if constexpr (std::is_same_v<value, heartbeat>) {
        // The leaving flag is packed together with the number.
        return std::tie(it.incarnation, it.config_revision, it.evidence_age_ms, it.number, it.echo, it.echo_held_ms);
    } else if constexpr (std::is_same_v<value, team_demand>) {
        return std::tie(it.team, it.queued, it.counter, it.charged, it.suspects_only);
    } else if constexpr (std::is_same_v<value, demand>) {
        return std::tie(it.pool, it.version, it.teams, it.gap);
    } else if constexpr (std::is_same_v<value, team_floor>) {
        return std::tie(it.pool, it.team, it.charged);
    } else if constexpr (std::is_same_v<value, grant>) {
        return std::tie(it.pool, it.ids, it.lifetime_ms, it.spare, it.floors);
    } else if constexpr (std::is_same_v<value, recall> || std::is_same_v<value, returned>) {
        return std::tie(it.ids);
    } else if constexpr (std::is_same_v<value, header_field>) {
        return std::tie(it.name, it.value);
    } else if constexpr (std::is_same_v<value, call>) {
        return std::tie(it.method, it.path, it.headers, it.body);
    } else if constexpr (std::is_same_v<value, submit>) {
        return std::tie(it.id, it.grant, it.team, it.service, it.model_call, it.idempotent, it.fingerprint,
                        it.suspicion, it.timeout_ms, it.request, it.crashes);
    } else if constexpr (std::is_same_v<value, rejected>) {
        return std::tie(it.id, it.grant, it.code);
    } else if constexpr (std::is_same_v<value, head>) {
        return std::tie(it.id, it.status, it.headers);
    } else if constexpr (std::is_same_v<value, chunk>) {
        return std::tie(it.id, it.offset, it.data, it.output_tokens);
    } else if constexpr (std::is_same_v<value, finish>) {
        return std::tie(it.id, it.code, it.state, it.total_bytes, it.input_tokens, it.output_tokens);
    } else if constexpr (std::is_same_v<value, cancel>) {
        return std::tie(it.id);
    } else if constexpr (std::is_same_v<value, resume>) {
        return std::tie(it.id, it.offset, it.need_head);
    } else if constexpr (std::is_same_v<value, suspicion>) {
        return std::tie(it.fingerprint, it.crashes, it.cleared);
    } else if constexpr (std::is_same_v<value, ledger_row>) {
        return std::tie(it.pool, it.team, it.router, it.incarnation, it.version, it.charged, it.reserved, it.queued);
    } else if constexpr (std::is_same_v<value, lift_row>) {
        return std::tie(it.pool, it.team, it.lift);
    } else if constexpr (std::is_same_v<value, ledger_rows>) {
        return std::tie(it.rows, it.lifts);
    } else if constexpr (std::is_same_v<value, config_query>) {
        return std::tie(it.above_revision);
    } else if constexpr (std::is_same_v<value, config_document>) {
        return std::tie(it.revision, it.document);
    } else {
        static_assert(always_false<Type>, "type has no wire format");
    }
}

/**
 * @brief Lists the members of a row that its own router sends; the link's first message names the router.
 * @param it The row, const or not.
 * @return References to its members in wire order.
 */
template<typename Row>
[[nodiscard]] auto own_row_fields(Row& it) noexcept {
    return std::tie(it.pool, it.team, it.version, it.charged, it.reserved, it.queued);
}

} // namespace dandelionbay::internal
