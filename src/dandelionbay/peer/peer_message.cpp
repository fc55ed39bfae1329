#include "dandelionbay/peer/peer_message.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

#include <msgpack.hpp>

#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

using address_row = std::tuple<std::string, std::uint16_t>;
using zone_row = std::tuple<std::string, std::uint64_t>;
using load_row = std::tuple<std::string, double, std::uint32_t, double>;
using use_row = std::tuple<std::uint32_t, std::uint64_t, std::uint32_t>; // Index of the endpoint's name, part, tokens.
using queue_row = std::tuple<std::string, double>;
using leaving_row = std::tuple<std::string, std::uint64_t>;
using lost_run_row = std::tuple<std::string, std::uint64_t, std::int64_t, std::int64_t>;
using losses_row = std::tuple<std::uint64_t, std::vector<lost_run_row>, std::vector<std::int64_t>>;
using slice_row = std::tuple<std::uint32_t, std::uint32_t>; // Rounded costs, which take a third of the bytes.
using team_row = std::tuple<std::string, double, double, std::uint32_t, double, std::vector<slice_row>>;
using endpoint_row = std::tuple<std::string, std::string, std::string, address_row, std::uint32_t, bool, std::int64_t,
                                std::uint64_t, std::uint64_t, std::string>;
using clock_row = std::tuple<std::int64_t, std::int64_t, std::int64_t>;
/*! Versions are numbers of the epoch that comes last. */
using operators_row = std::tuple<std::uint64_t, std::uint64_t, std::vector<zone_row>, std::int64_t, std::uint64_t>;
using list_row = std::tuple<std::uint64_t, std::int64_t, bool, std::vector<endpoint_row>, std::uint64_t>;
using uses_row = std::tuple<std::vector<std::string>, std::vector<use_row>>;
using request_row = std::tuple<bool, bool, bool>;
using part_row = std::tuple<std::uint64_t, std::uint64_t>;
using optional_time_row = std::vector<std::int64_t>; // Empty or one time.
using unproven_run_row = std::tuple<std::uint64_t, std::vector<part_row>, optional_time_row>;
using process_loss_row = std::tuple<std::string, std::uint64_t, std::int64_t, std::vector<unproven_run_row>>;
using part_status_row = std::tuple<part_row, optional_time_row, optional_time_row>;
using part_evidence_row = std::tuple<std::vector<process_loss_row>, std::vector<part_status_row>>;
using delay_row = std::tuple<std::string, double, double, std::int64_t>;
using version_row = std::tuple<std::string, std::string, std::int64_t>;
using stream_row = std::tuple<std::uint32_t, std::uint64_t>; // Index among the versions, stream.
using versions_row = std::tuple<std::vector<version_row>, bool, std::vector<stream_row>>;
/*! New fields are added at the end: routers of an earlier version neither write nor read them. */
using message_row = std::tuple<std::uint32_t, std::string, std::uint64_t, address_row, bool, clock_row, operators_row,
                               list_row, std::vector<load_row>, uses_row, std::vector<team_row>, std::vector<queue_row>,
                               std::vector<address_row>, std::string, std::vector<leaving_row>, std::vector<losses_row>,
                               std::string, request_row, part_evidence_row, std::vector<delay_row>, versions_row>;

/*! Must match between sender and receiver; appended fields keep it, so that routers of a fleet can be upgraded one by
 *  one. */
constexpr std::uint32_t format_version = 1;

[[nodiscard]] address_row row_of(const socket_address& it) {
    return {it.ip, it.port};
}

[[nodiscard]] socket_address address_of(const address_row& row) {
    return {std::get<0>(row), std::get<1>(row)};
}

[[nodiscard]] endpoint_row row_of(const endpoint_entry& it) {
    return {it.id.value, it.service.value,    it.zone.value, row_of(it.address),    it.slots,
            it.leaving,  it.cold_for.count(), it.started,    it.row_version.number, it.version.value};
}

[[nodiscard]] endpoint_entry entry_of(const endpoint_row& row, std::uint64_t epoch) {
    const auto& [id, service, zone, address, slots, leaving, cold_us, started, row_version, version] = row;
    return {endpoint_id{id},
            service_id{service},
            zone_id{zone},
            address_of(address),
            slots,
            leaving,
            duration{cold_us},
            started,
            registry_version{epoch, row_version},
            version_id{version}};
}

[[nodiscard]] uses_row rows_of(const std::vector<part_use>& uses) {
    uses_row out;
    auto& [names, rows] = out;
    std::map<endpoint_id, std::uint32_t> positions;
    for (const auto& it : uses) {
        const auto [position, added] = positions.try_emplace(it.endpoint, static_cast<std::uint32_t>(names.size()));
        if (added) {
            names.push_back(it.endpoint.value);
        }
        rows.emplace_back(position->second, it.part.id, it.part.tokens);
    }
    return out;
}

[[nodiscard]] std::vector<part_use> uses_of(const uses_row& row) {
    const auto& [names, rows] = row;
    std::vector<part_use> out;
    for (const auto& [position, id, tokens] : rows) {
        if (position < names.size()) {
            out.push_back(part_use{endpoint_id{names[position]}, prompt_part{id, tokens}});
        }
    }
    return out;
}

[[nodiscard]] operators_row row_of(const operator_state& it, std::int64_t age_us) {
    std::vector<zone_row> zones;
    for (const auto& zone : it.zones_out) {
        zones.emplace_back(zone.zone.value, zone.row_version.number);
    }
    return {it.as_of.number, it.config_version, zones, age_us, it.as_of.epoch};
}

[[nodiscard]] list_row list_of(const peer_message& it) {
    list_row out{it.list_as_of.number, it.list_age_us, it.list.has_value(), {}, it.list_as_of.epoch};
    if (it.list) {
        for (const auto& entry : it.list->entries) {
            std::get<3>(out).push_back(row_of(entry));
        }
    }
    return out;
}

[[nodiscard]] losses_row row_of(const call_losses& it) {
    losses_row out{it.call, {}, {}};
    for (const auto& run : it.runs) {
        std::get<1>(out).emplace_back(run.process.id.value, run.process.started, run.started.time_since_epoch().count(),
                                      run.ended.time_since_epoch().count());
    }
    if (it.answered) {
        std::get<2>(out).push_back(it.answered->time_since_epoch().count());
    }
    return out;
}

[[nodiscard]] call_losses losses_of(const losses_row& row) {
    const auto& [call, runs, answered] = row;
    call_losses out{call, {}, std::nullopt};
    for (const auto& [endpoint, started, began, ended] : runs) {
        out.runs.push_back(lost_run{endpoint_process{endpoint_id{endpoint}, started}, time_point{duration{began}},
                                    time_point{duration{ended}}});
    }
    if (!answered.empty()) {
        out.answered = time_point{duration{answered.front()}};
    }
    return out;
}

[[nodiscard]] optional_time_row row_of(const std::optional<time_point>& it) {
    return it ? optional_time_row{it->time_since_epoch().count()} : optional_time_row{};
}

[[nodiscard]] std::optional<time_point> time_of(const optional_time_row& row) {
    return row.empty() ? std::nullopt : std::optional{time_point{duration{row.front()}}};
}

[[nodiscard]] part_row row_of(const service_part& it) {
    return {it.service, it.id};
}

[[nodiscard]] service_part part_of(const part_row& row) {
    return {std::get<0>(row), std::get<1>(row)};
}

[[nodiscard]] part_evidence_row row_of(const part_evidence& it) {
    part_evidence_row out;
    for (const auto& lost : it.losses) {
        std::vector<unproven_run_row> runs;
        for (const auto& run : lost.runs) {
            auto& row = runs.emplace_back(run.call, std::vector<part_row>{}, row_of(run.sent));
            for (const auto& part : run.parts) {
                std::get<1>(row).push_back(row_of(part));
            }
        }
        std::get<0>(out).emplace_back(lost.process.id.value, lost.process.started,
                                      lost.ended.time_since_epoch().count(), std::move(runs));
    }
    for (const auto& status : it.parts) {
        std::get<1>(out).emplace_back(row_of(status.part), row_of(status.cleared), row_of(status.blocked));
    }
    return out;
}

[[nodiscard]] part_evidence evidence_of(const part_evidence_row& row) {
    part_evidence out;
    for (const auto& [endpoint, started, ended, runs] : std::get<0>(row)) {
        process_loss lost{endpoint_process{endpoint_id{endpoint}, started}, time_point{duration{ended}}, {}};
        for (const auto& [call, parts, sent] : runs) {
            auto& run = lost.runs.emplace_back(unproven_run{call, {}, time_of(sent)});
            for (const auto& part : parts) {
                run.parts.push_back(part_of(part));
            }
        }
        out.losses.push_back(std::move(lost));
    }
    for (const auto& [part, cleared, blocked] : std::get<1>(row)) {
        out.parts.push_back(part_status{part_of(part), time_of(cleared), time_of(blocked)});
    }
    return out;
}

[[nodiscard]] versions_row row_of(const version_report& it) {
    versions_row out{std::vector<version_row>{}, it.is_complete, std::vector<stream_row>{}};
    auto& [versions, is_complete, streams] = out;
    std::map<service_version, std::uint32_t> positions;
    for (const auto& [origin, age] : it.recent) {
        positions.try_emplace(origin, static_cast<std::uint32_t>(versions.size()));
        versions.emplace_back(origin.service.value, origin.version.value, age.count());
    }
    for (const auto& [stream, origin] : it.streams) {
        if (const auto position = positions.find(origin); position != positions.end()) {
            streams.emplace_back(position->second, stream);
        }
    }
    return out;
}

[[nodiscard]] version_report report_of(const versions_row& row) {
    const auto& [versions, is_complete, streams] = row;
    version_report out;
    out.is_complete = is_complete;
    for (const auto& [service, version, age_us] : versions) {
        out.recent.push_back(
            recent_version{service_version{service_id{service}, version_id{version}}, duration{age_us}});
    }
    for (const auto& [position, stream] : streams) {
        if (position < out.recent.size()) {
            out.streams.push_back(stream_origin{stream, out.recent[position].origin});
        }
    }
    return out;
}

[[nodiscard]] peer_message state_of(const message_row& row) {
    const auto& [version, host, incarnation, address, leaving, clocks, operators, list, loads, uses, teams, queues,
                 peers, text, endpoints_leaving, losses, region, request, part_crashes, delays, versions] = row;
    peer_message out;
    out.host = host_id{host};
    out.incarnation = incarnation;
    out.address = address_of(address);
    out.is_leaving = leaving;
    std::tie(out.sent_us, out.echo_us, out.echo_delay_us) = clocks;
    const auto operators_epoch = std::get<4>(operators);
    out.operators.as_of = registry_version{operators_epoch, std::get<0>(operators)};
    out.operators.config_version = std::get<1>(operators);
    for (const auto& [zone, row_version] : std::get<2>(operators)) {
        out.operators.zones_out.push_back(zone_out{zone_id{zone}, registry_version{operators_epoch, row_version}});
    }
    out.operators_age_us = std::get<3>(operators);
    const auto list_epoch = std::get<4>(list);
    out.list_as_of = registry_version{list_epoch, std::get<0>(list)};
    out.list_age_us = std::get<1>(list);
    if (std::get<2>(list)) {
        out.list.emplace();
        out.list->as_of = out.list_as_of;
        for (const auto& entry : std::get<3>(list)) {
            out.list->entries.push_back(entry_of(entry, list_epoch));
        }
    }
    for (const auto& [endpoint, unread, calls, memory] : loads) {
        out.loads.push_back(endpoint_work_entry{endpoint_id{endpoint}, endpoint_work{unread, calls, memory}});
    }
    out.part_uses = uses_of(uses);
    for (const auto& [team, cost, denied, denied_calls, turned_away, slices] : teams) {
        auto& entry = out.teams.emplace_back(team_usage_entry{team_id{team}, cost, denied, denied_calls, turned_away});
        for (const auto& [used, requested] : slices) {
            entry.slices.push_back(usage_slice{static_cast<double>(used), static_cast<double>(requested)});
        }
    }
    for (const auto& [service, ms] : queues) {
        out.queues.push_back(service_queue{service_id{service}, ms});
    }
    for (const auto& peer : peers) {
        out.peers.push_back(address_of(peer));
    }
    out.config_text = text;
    for (const auto& [endpoint, started] : endpoints_leaving) {
        out.endpoints_leaving.push_back(endpoint_process{endpoint_id{endpoint}, started});
    }
    for (const auto& it : losses) {
        out.losses.push_back(losses_of(it));
    }
    out.region = region_id{region};
    std::tie(out.request.operators, out.request.config, out.request.list) = request;
    out.part_crashes = evidence_of(part_crashes);
    for (const auto& [service, ms, samples, age_us] : delays) {
        out.delays.push_back(service_delay{service_id{service}, ms, samples, duration{age_us}});
    }
    out.versions = report_of(versions);
    return out;
}

[[nodiscard]] std::vector<load_row> rows_of(const std::vector<endpoint_work_entry>& loads) {
    std::vector<load_row> out;
    out.reserve(loads.size());
    for (const auto& it : loads) {
        out.emplace_back(it.endpoint.value, it.work.unread_tokens, it.work.calls, it.work.memory_tokens);
    }
    return out;
}

[[nodiscard]] std::uint32_t rounded(double cost) {
    constexpr double most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(std::round(cost), 0.0, most));
}

[[nodiscard]] std::vector<team_row> rows_of(const std::vector<team_usage_entry>& teams) {
    std::vector<team_row> out;
    out.reserve(teams.size());
    for (const auto& it : teams) {
        std::vector<slice_row> slices;
        slices.reserve(it.slices.size());
        for (const auto& slice : it.slices) {
            slices.emplace_back(rounded(slice.used), rounded(slice.requested));
        }
        out.emplace_back(it.team.value, it.cost, it.refused_cost, it.refused_calls, it.turned_away_cost,
                         std::move(slices));
    }
    return out;
}

[[nodiscard]] std::vector<queue_row> rows_of(const std::vector<service_queue>& queues) {
    std::vector<queue_row> out;
    out.reserve(queues.size());
    for (const auto& it : queues) {
        out.emplace_back(it.service.value, it.prefill_ms);
    }
    return out;
}

[[nodiscard]] std::vector<delay_row> rows_of(const std::vector<service_delay>& delays) {
    std::vector<delay_row> out;
    out.reserve(delays.size());
    for (const auto& it : delays) {
        out.emplace_back(it.service.value, it.delay_ms, it.samples, it.age.count());
    }
    return out;
}

[[nodiscard]] std::vector<leaving_row> rows_of(const std::vector<endpoint_process>& endpoints) {
    std::vector<leaving_row> out;
    out.reserve(endpoints.size());
    for (const auto& it : endpoints) {
        out.emplace_back(it.id.value, it.started);
    }
    return out;
}

/*! Appends a list, encoding it only if it differs from the cached one. */
template<typename Value>
void append(msgpack::sbuffer& out, peer_encoder::cached_list<Value>& last, const std::vector<Value>& values) {
    if (last.bytes.empty() || last.values != values) {
        msgpack::sbuffer buf;
        msgpack::pack(buf, rows_of(values));
        last.values = values;
        last.bytes.assign(buf.data(), buf.size());
    }
    out.write(last.bytes.data(), last.bytes.size());
}

} // namespace

std::string encode(const peer_message& it) {
    return peer_encoder{}.encode(it);
}

std::string peer_encoder::encode(const peer_message& it) {
    std::vector<address_row> peers;
    for (const auto& peer : it.peers) {
        peers.push_back(row_of(peer));
    }
    std::vector<losses_row> losses;
    for (const auto& lost : it.losses) {
        losses.push_back(row_of(lost));
    }
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> out{buf};
    out.pack_array(std::tuple_size_v<message_row>); // The fields of message_row, in order.
    out.pack(format_version);
    out.pack(it.host.value);
    out.pack(it.incarnation);
    out.pack(row_of(it.address));
    out.pack(it.is_leaving);
    out.pack(clock_row{it.sent_us, it.echo_us, it.echo_delay_us});
    out.pack(row_of(it.operators, it.operators_age_us));
    out.pack(list_of(it));
    append(buf, loads_, it.loads);
    append(buf, part_uses_, it.part_uses);
    append(buf, teams_, it.teams);
    append(buf, queues_, it.queues);
    out.pack(peers);
    out.pack(it.config_text);
    append(buf, endpoints_leaving_, it.endpoints_leaving);
    out.pack(losses);
    out.pack(it.region.value);
    out.pack(request_row{it.request.operators, it.request.config, it.request.list});
    out.pack(row_of(it.part_crashes));
    out.pack(rows_of(it.delays));
    out.pack(row_of(it.versions));
    return {buf.data(), buf.size()};
}

absl::StatusOr<peer_message> decode_peer_message(std::string_view bytes) {
    try {
        const auto object = msgpack::unpack(bytes.data(), bytes.size());
        const auto row = object.get().as<message_row>();
        if (std::get<0>(row) != format_version) {
            return absl::InvalidArgumentError(concat("format version ", std::get<0>(row)));
        }
        return state_of(row);
    } catch (const msgpack::unpack_error& error) {
        return absl::InvalidArgumentError(error.what());
    } catch (const msgpack::type_error& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace dandelionbay
