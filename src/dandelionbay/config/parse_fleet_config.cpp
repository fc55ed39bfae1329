#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>
#include <utility>

#include "absl/strings/numbers.h"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/config/fleet_config.hpp"
#include "dandelionbay/config/json_reader.hpp"

namespace dandelionbay {

namespace {

using internal::object_reader;
using internal::presence;
using nlohmann::json;

/*! The document travels in one frame of at most 8 MiB. */
constexpr std::size_t max_document_bytes = 4U << 20U;
/*! A body travels with its header fields in one frame of at most 8 MiB. */
constexpr std::int64_t max_body_bytes = 7 << 20;
constexpr std::int64_t max_timeout_ms = 3'600'000;
constexpr std::int64_t max_count = 1'000'000;
constexpr std::int64_t max_slots = 100'000;
constexpr double max_weight = 1'000.0;

template<typename Object>
void sort_by_name(std::vector<Object>& objects) {
    std::ranges::sort(objects, std::less<>{}, [](const Object& it) -> const std::string& { return it.id.value; });
}

/*! @brief Reads one document; the result is of use only if no fault was found. */
class document_reader {
    using origin_map = std::map<std::string, std::string>;

    /*! Reports a value that must be unique and was seen before. */
    void check_unique(origin_map& seen, const std::string& value, object_reader& reader, std::string_view key) {
        const auto [it, added] = seen.emplace(value, reader.path_of(key));
        if (!added) {
            reader.fault(key, concat("duplicate of ", it->second));
        }
    }

    template<typename Object>
    void read_collection(object_reader& root, std::string_view key, std::vector<Object>& out,
                         const std::function<void(object_reader&, Object&)>& read_rest) {
        origin_map names;
        root.each(key, presence::optional, [&](const json& value, std::string path) {
            object_reader reader{value, std::move(path), faults_};
            auto& it = out.emplace_back();
            if (reader.name("name", presence::required, it.id.value)) {
                check_unique(names, it.id.value, reader, "name");
            }
            reader.labels("labels", it.labels);
            read_rest(reader, it);
            reader.finish();
        });
    }

    /*! Reads the name of another object, which must exist. */
    template<typename Object, typename Id>
    void reference(object_reader& reader, std::string_view key, const std::vector<Object>& objects, Id& out) {
        if (reader.name(key, presence::required, out.value) &&
            std::ranges::find(objects, out, &Object::id) == objects.end()) {
            reader.fault(key, concat("no ", key, " is named \"", out.value, "\""));
        }
    }

    void read_team(object_reader& reader, team_config& out) {
        if (reader.token("token", presence::required, out.token)) {
            check_unique(tokens_, out.token, reader, "token");
        }
        const auto weight = out.labels.find("weight");
        if (weight == out.labels.end()) {
            return;
        }
        // The negated form also rejects values that are not a number.
        if (!absl::SimpleAtod(weight->second, &out.weight) || !(out.weight > 0.0 && out.weight <= max_weight)) {
            reader.fault("labels.weight", "expected a number over 0 and at most 1000");
        }
    }

    void read_rules(object_reader& reader, service_config& out) {
        reader.each("not_repeatable", presence::optional, [&](const json& value, std::string path) {
            object_reader rule{value, std::move(path), faults_};
            auto& it = out.not_repeatable.emplace_back();
            if (rule.text("method", presence::required, it.method) && it.method != "*" &&
                !std::ranges::all_of(it.method, [](char c) { return c >= 'A' && c <= 'Z'; })) {
                rule.fault("method", R"(expected "*" or a method in capital letters)");
            } else if (it.method.empty()) {
                rule.fault("method", "the method is empty");
            }
            if (rule.text("path_prefix", presence::required, it.path_prefix) && !it.path_prefix.starts_with('/')) {
                rule.fault("path_prefix", R"(expected a path that begins with "/")");
            }
            rule.finish();
        });
    }

    void read_service(object_reader& reader, service_config& out) {
        std::string kind;
        if (reader.text("kind", presence::required, kind)) {
            if (kind != "model" && kind != "plain") {
                reader.fault("kind", R"(expected "model" or "plain")");
            }
            out.kind = kind == "plain" ? service_kind::plain : service_kind::model;
        }
        const auto need = kind == "model" ? presence::required : presence::optional;
        if (reader.text("model", need, out.model)) {
            if (kind == "plain") {
                reader.fault("model", "a plain service has no model");
            } else if (out.model.empty()) {
                reader.fault("model", "the model name is empty");
            } else {
                check_unique(models_, out.model, reader, "model");
            }
        }
        reference(reader, "pool", config_.pools, out.pool);
        read_rules(reader, out);
        reader.integer("queue_timeout_ms", presence::optional, out.queue_timeout_ms, 1, max_timeout_ms);
        reader.integer("run_timeout_ms", presence::optional, out.run_timeout_ms, 1, max_timeout_ms);
        reader.integer("max_queued_per_team", presence::optional, out.max_queued_per_team, 1, max_count);
        reader.integer("max_queued", presence::optional, out.max_queued, 1, max_count);
        reader.integer("max_body_bytes", presence::optional, out.max_body_bytes, 1, max_body_bytes);
    }

    void read_endpoint(object_reader& reader, endpoint_config& out) {
        reference(reader, "zone", config_.zones, out.zone);
        reader.integer("slots", presence::optional, out.slots, 1, max_slots);
        reader.integer("cold_slots", presence::optional, out.cold_slots, 1, max_slots);
        reader.integer("expected_first_token_ms", presence::optional, out.expected_first_token_ms, 1, max_timeout_ms);
        if (out.cold_slots > out.slots) {
            reader.fault("cold_slots", concat("expected at most the slots, ", out.slots));
        }
    }

    /*! Reads a selector of objects to take out of service; an empty text would take out all of them unnoticed. */
    void read_exclusion(object_reader& root, std::string_view key, selector& out) {
        if (root.select(key, presence::optional, out) && out == selector{}) {
            root.fault(key, R"(an empty selector selects everything; use "!*" for none or "name" for all)");
        }
    }

    void read_root(object_reader& root) {
        read_collection<zone_config>(root, "zones", config_.zones, [&](object_reader& reader, zone_config& out) {
            reader.name("region", presence::required, out.region.value);
        });
        read_collection<endpoint_config>(root, "endpoints", config_.endpoints,
                                         [&](object_reader& reader, auto& out) { read_endpoint(reader, out); });
        read_collection<pool_config>(root, "pools", config_.pools, [](object_reader& reader, pool_config& out) {
            reader.select("endpoints", presence::required, out.endpoints);
        });
        read_collection<service_config>(root, "services", config_.services,
                                        [&](object_reader& reader, auto& out) { read_service(reader, out); });
        read_collection<team_config>(root, "teams", config_.teams,
                                     [&](object_reader& reader, auto& out) { read_team(reader, out); });
        root.each("access", presence::optional, [&](const json& value, std::string path) {
            object_reader reader{value, std::move(path), faults_};
            auto& it = config_.access.emplace_back();
            reader.select("teams", presence::required, it.teams);
            reader.select("endpoints", presence::required, it.endpoints);
            reader.finish();
        });
        read_exclusion(root, "zones_out", config_.zones_out);
        read_exclusion(root, "endpoints_leaving", config_.endpoints_leaving);
        root.finish();
    }

    void build_lookups() {
        sort_by_name(config_.teams);
        sort_by_name(config_.services);
        sort_by_name(config_.pools);
        sort_by_name(config_.endpoints);
        sort_by_name(config_.zones);
        config_.ordered = true;
        config_.token_order.resize(config_.teams.size());
        std::iota(config_.token_order.begin(), config_.token_order.end(), 0U);
        std::ranges::sort(config_.token_order, std::less<>{},
                          [&](std::uint32_t position) -> const std::string& { return config_.teams[position].token; });
    }

public:
    [[nodiscard]] absl::StatusOr<fleet_config> run(std::string_view document, std::uint64_t revision) {
        if (document.size() > max_document_bytes) {
            return absl::InvalidArgumentError(concat("$: longer than ", max_document_bytes, " bytes"));
        }
        auto status = internal::read_document(document, faults_, [this](object_reader& root) { read_root(root); });
        if (!status.ok()) {
            return status;
        }
        config_.revision = revision;
        build_lookups();
        return std::move(config_);
    }

private:
    fleet_config config_;
    internal::fault_list faults_;
    origin_map tokens_;
    origin_map models_;
};

} // namespace

absl::StatusOr<fleet_config> parse_fleet_config(std::string_view document, std::uint64_t revision) {
    return document_reader{}.run(document, revision);
}

} // namespace dandelionbay
