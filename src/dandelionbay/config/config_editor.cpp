#include "dandelionbay/config/config_editor.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace dandelionbay {

namespace {

using nlohmann::json;

constexpr std::size_t kept_changes = 16;

// Rounds of write and read after which an unanswered change is left open; each may take twice the store's time limit.
constexpr int most_rounds = 2;

// Ids of the last changes, newest first; empty for a malformed row.
std::vector<std::string> changes_of(const table_row& row) {
    const auto value = json::parse(row.value, nullptr, false);
    std::vector<std::string> ids;
    if (!value.is_object()) {
        return ids;
    }
    if (const auto it = value.find("change_id"); it != value.end() && it->is_string()) {
        ids.push_back(it->get<std::string>());
    }
    if (const auto earlier = value.find("earlier"); earlier != value.end() && earlier->is_array()) {
        for (const auto& it : *earlier) {
            if (it.is_string()) {
                ids.push_back(it.get<std::string>());
            }
        }
    }
    return ids;
}

std::string encode(const std::string& change_id, std::vector<std::string> earlier, const json& document) {
    earlier.resize(std::min(earlier.size(), kept_changes - 1));
    return json{{"change_id", change_id}, {"earlier", std::move(earlier)}, {"document", document}}.dump();
}

// What the row says about a change: its revision, Aborted if it lost the race, NotFound if it has not been written,
// Unavailable if too many changes came on top to tell.
absl::StatusOr<std::uint64_t> find_change(const table_row& row, const std::string& change_id,
                                          std::uint64_t expected_revision) {
    if (row.version <= expected_revision) {
        return absl::NotFoundError("the change has not been written");
    }
    const auto ids = changes_of(row);
    if (std::find(ids.begin(), ids.end(), change_id) != ids.end()) {
        return expected_revision + 1; // Each change raises the revision by one.
    }
    return row.version - expected_revision <= kept_changes
               ? absl::AbortedError("another change came first")
               : absl::UnavailableError("too many later changes to tell whether this one was written");
}

bool unanswered(const absl::Status& status) {
    return !status.ok() && !absl::IsAborted(status) && !absl::IsNotFound(status);
}

} // namespace

absl::StatusOr<stored_config> decode_stored_config(const table_row& row) {
    const auto value = json::parse(row.value, nullptr, false);
    if (!value.is_object() || !value.contains("document") || !value["document"].is_object()) {
        return absl::DataLossError("the row of the configuration is malformed");
    }
    return stored_config{row.version, value["document"].dump()};
}

config_editor::config_editor(table_store& store, counters& metrics, std::string id_prefix)
    : store_{&store}, metrics_{&metrics}, id_prefix_{std::move(id_prefix)} {}

absl::StatusOr<stored_config> config_editor::read() {
    const auto row = store_->get(config_table, config_key);
    return row.ok() ? decode_stored_config(*row) : absl::StatusOr<stored_config>{row.status()};
}

absl::StatusOr<std::uint64_t> config_editor::replace(std::string_view document, std::uint64_t expected_revision) {
    const auto parsed = json::parse(document, nullptr, false);
    if (!parsed.is_object()) {
        return absl::InvalidArgumentError("$: not a JSON object");
    }
    const auto finish = [&](absl::StatusOr<std::uint64_t> result) {
        metrics_->add("config_changes_total", result.ok()                        ? "accepted"
                                              : absl::IsAborted(result.status()) ? "conflict"
                                                                                 : "unanswered");
        return result;
    };
    std::vector<std::string> earlier;
    if (expected_revision > 0) {
        const auto row = store_->get(config_table, config_key);
        if (unanswered(row.status())) {
            return finish(row.status());
        }
        if (!row.ok() || row->version != expected_revision) {
            return finish(absl::AbortedError("another change came first"));
        }
        earlier = changes_of(*row);
    }
    const auto change_id = absl::StrCat(id_prefix_, "/", ++changes_);
    const auto value = encode(change_id, std::move(earlier), parsed);
    absl::Status last;
    for (int round = 0; round < most_rounds; ++round) {
        auto version = store_->put(config_table, config_key, value, expected_revision);
        if (version.ok() || (absl::IsAborted(version.status()) && round == 0)) {
            return finish(std::move(version));
        }
        last = version.status();
        // An earlier round may have been written, so Aborted does not tell whose change is in force.
        const auto row = store_->get(config_table, config_key);
        if (unanswered(row.status())) {
            return finish(row.status());
        }
        auto found =
            row.ok() ? find_change(*row, change_id, expected_revision) : absl::StatusOr<std::uint64_t>{row.status()};
        if (!absl::IsNotFound(found.status())) {
            return finish(std::move(found));
        }
    }
    return finish(last);
}

} // namespace dandelionbay
