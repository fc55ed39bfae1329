#include "dandelionbay/http/admin_api.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/config/document_edit.hpp"
#include "dandelionbay/config/fleet_config.hpp"
#include "dandelionbay/config/json_reader.hpp"
#include "dandelionbay/http/error_body.hpp"

namespace dandelionbay {

namespace {

using nlohmann::json;

// Within this time a majority that still reaches this router has the change. Without the wait a change could be
// accepted in the first seconds of a partition, before this router notices that it lost the majority, which would then
// never learn of it.
constexpr std::chrono::seconds confirm_limit{5};

[[nodiscard]] bool is_collection(std::string_view name) {
    return std::ranges::find(collection_names, name) != collection_names.end();
}

[[nodiscard]] bool is_member(std::string_view name) {
    return std::ranges::find(member_names, name) != member_names.end();
}

[[nodiscard]] std::string etag_of(std::uint64_t revision) {
    return concat("\"", revision, "\"");
}

/*! Revision in an If-Match field; nothing for "*", lists and other texts, which would allow to overwrite unseen
 * changes. */
[[nodiscard]] std::optional<std::uint64_t> revision_of(std::string_view field) {
    std::uint64_t revision = 0;
    const bool quoted = field.size() > 2 && field.starts_with('"') && field.ends_with('"');
    if (!quoted || !absl::SimpleAtoi(to_absl(field.substr(1, field.size() - 2)), &revision)) {
        return std::nullopt;
    }
    return revision;
}

[[nodiscard]] json state_json(const node_state& it) {
    return json{{"host", it.host.value},
                {"role", it.role == host_role::router ? "router" : "agent"},
                {"zone", it.zone.value},
                {"state", it.state},
                {"config_revision", it.config_revision}};
}

} // namespace

admin_api::admin_api(config_editor& editor, fleet_view& view, counters& metrics)
    : editor_{&editor}, view_{&view}, metrics_{&metrics} {}

admin_answer admin_api::refuse(result_code code, executed state, std::string_view text) const {
    const auto& row = describe(code);
    metrics_->add("admin_refused_total", row.name);
    return admin_answer{row.http_status, error_body(code, state, text), "", row.http_status == 503 ? 1U : 0U};
}

admin_answer admin_api::refuse(const absl::Status& status, executed state) const {
    const auto text = from_absl(status.message());
    switch (status.code()) {
    case absl::StatusCode::kNotFound:
        return refuse(result_code::object_not_found, state, text);
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kFailedPrecondition:
        return refuse(result_code::invalid_configuration, state, text);
    case absl::StatusCode::kAborted:
        return refuse(result_code::revision_mismatch, state);
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kDeadlineExceeded:
        return state == executed::unknown ? refuse(result_code::outcome_unknown, state, text)
                                          : refuse(result_code::store_unavailable, state, text);
    default:
        return refuse(result_code::internal_error, state, text);
    }
}

admin_answer admin_api::status() const {
    json nodes = json::array();
    for (const auto& it : view_->nodes()) {
        nodes.push_back(state_json(it));
    }
    return admin_answer{200, json{{"nodes", std::move(nodes)}, {"majority", view_->hears_majority()}}.dump()};
}

absl::StatusOr<stored_config> admin_api::stored() {
    auto out = editor_->read();
    return absl::IsNotFound(out.status()) ? stored_config{0, "{}"} : std::move(out);
}

admin_answer admin_api::read(const std::vector<std::string>& path) {
    const auto current = stored();
    if (!current.ok()) {
        return refuse(current.status(), executed::no);
    }
    const auto document = json::parse(current->document);
    const auto etag = etag_of(current->revision);
    if (path.size() == 1) {
        return admin_answer{200, (path[0] == "config" ? document : member_of(document, path[0])).dump(), etag};
    }
    const auto object = object_of(document, path[0], path[1]);
    if (!object.ok()) {
        return refuse(object.status(), executed::no);
    }
    return admin_answer{200, (path.size() == 2 ? *object : object->value("labels", json::object())).dump(), etag};
}

admin_answer admin_api::change(std::uint64_t expected, const edit& apply) {
    if (!view_->hears_majority()) {
        return refuse(result_code::no_majority, executed::no);
    }
    const auto current = stored();
    if (!current.ok()) {
        return refuse(current.status(), executed::no);
    }
    if (current->revision != expected) {
        return refuse(result_code::revision_mismatch, executed::no);
    }
    auto document = json::parse(current->document);
    if (auto status = apply(document); !status.ok()) {
        return refuse(status, executed::no);
    }
    const auto text = document.dump();
    if (const auto config = parse_fleet_config(text, expected + 1); !config.ok()) {
        return refuse(config.status(), executed::no);
    }
    const auto revision = editor_->replace(text, expected);
    if (!revision.ok()) {
        // A refused replacement did not take effect; one without an answer may have.
        return refuse(revision.status(), absl::IsAborted(revision.status()) ? executed::no : executed::unknown);
    }
    view_->adopt(*revision, text);
    if (!view_->wait_for_majority(*revision, confirm_limit)) {
        return refuse(result_code::not_confirmed, executed::yes, concat("it is revision ", *revision));
    }
    metrics_->add("admin_changes_total");
    return admin_answer{200, json{{"revision", *revision}}.dump(), etag_of(*revision)};
}

admin_answer admin_api::write(const admin_request& request, const std::vector<std::string>& path) {
    const auto expected = revision_of(request.if_match);
    if (!expected) {
        return refuse(result_code::precondition_missing, executed::no,
                      request.if_match.empty() ? "" : "If-Match must be the ETag of the revision that was read");
    }
    if (request.method == "DELETE") {
        return change(*expected, [&](json& document) { return erase_object(document, path[0], path[1]); });
    }
    internal::fault_list faults;
    const auto value = internal::parse_json(request.body, faults);
    if (!faults.empty()) {
        return refuse(result_code::invalid_configuration, executed::no, absl::StrJoin(faults, "\n"));
    }
    return change(*expected, [&](json& document) {
        if (path.size() == 3) {
            return patch_labels(document, path[0], path[1], value);
        }
        if (path.size() == 2) {
            return put_object(document, path[0], path[1], value);
        }
        (path[0] == "config" ? document : document[path[0]]) = value;
        return absl::OkStatus();
    });
}

admin_answer admin_api::handle(const admin_request& request) {
    const std::vector<std::string> path = absl::StrSplit(request.path, '/');
    const bool reads = request.method == "GET";
    const bool whole = path.size() == 1 && (path[0] == "config" || is_member(path[0]));
    const bool collection = path.size() == 1 && is_collection(path[0]);
    const bool object = path.size() == 2 && is_collection(path[0]);
    const bool labels = path.size() == 3 && is_collection(path[0]) && path[2] == "labels";
    const bool status_page = path.size() == 1 && path[0] == "status";
    if (!whole && !collection && !object && !labels && !status_page) {
        return refuse(result_code::object_not_found, executed::no);
    }
    if (status_page && reads) {
        return status(); // Without the lock: the status must also be seen while the store does not answer.
    }
    const std::lock_guard lock{mutex_};
    if (reads) {
        return read(path);
    }
    if ((request.method == "PUT" && (whole || object)) || (request.method == "DELETE" && object) ||
        (request.method == "PATCH" && labels)) {
        return write(request, path);
    }
    return refuse(result_code::malformed_request, executed::no,
                  concat("the method ", request.method, " is not allowed here"));
}

} // namespace dandelionbay
