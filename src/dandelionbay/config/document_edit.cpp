#include "dandelionbay/config/document_edit.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

using nlohmann::json;

[[nodiscard]] bool has_name(const json& object, std::string_view name) {
    return object.is_object() && object.contains("name") && object.at("name") == std::string{name};
}

/*! Position of an object in its collection; the size of the collection if there is none. */
[[nodiscard]] std::size_t position_of(const json& document, std::string_view collection, std::string_view name) {
    const auto objects = document.find(std::string{collection});
    if (objects == document.end() || !objects->is_array()) {
        return 0;
    }
    const auto it = std::find_if(objects->begin(), objects->end(), [&](const json& o) { return has_name(o, name); });
    return static_cast<std::size_t>(it - objects->begin());
}

[[nodiscard]] bool exists(const json& document, std::string_view collection, std::string_view name) {
    const auto objects = document.find(std::string{collection});
    return objects != document.end() && position_of(document, collection, name) < objects->size();
}

[[nodiscard]] absl::Status missing(std::string_view collection, std::string_view name) {
    return absl::NotFoundError(concat(collection, " has no object named \"", name, "\""));
}

/*! Sets or removes the label of a selector "key=value" and puts the selector in force. */
[[nodiscard]] absl::Status set_selected(json& document, std::string_view collection, std::string_view name,
                                        std::string_view member, std::string_view condition, bool selected) {
    const auto current = member_of(document, member);
    if (current != "!*" && current != std::string{condition}) {
        return absl::FailedPreconditionError(
            concat(member, " is ", current.dump(), "; this command needs it to be \"", condition, "\" or \"!*\""));
    }
    const auto equals = condition.find('=');
    json patch;
    patch[std::string{condition.substr(0, equals)}] =
        selected ? json(std::string{condition.substr(equals + 1)}) : json(nullptr);
    auto status = patch_labels(document, collection, name, patch);
    if (status.ok()) {
        document[std::string{member}] = condition;
    }
    return status;
}

} // namespace

json member_of(const json& document, std::string_view key) {
    const auto it = document.find(std::string{key});
    if (it != document.end()) {
        return *it;
    }
    return key == "zones_out" || key == "endpoints_leaving" ? json("!*") : json::array();
}

absl::StatusOr<json> object_of(const json& document, std::string_view collection, std::string_view name) {
    if (!exists(document, collection, name)) {
        return missing(collection, name);
    }
    return document.at(std::string{collection}).at(position_of(document, collection, name));
}

absl::Status put_object(json& document, std::string_view collection, std::string_view name, json object) {
    if (!object.is_object()) {
        return absl::InvalidArgumentError(concat("$: expected an object, found ", object.type_name()));
    }
    if (object.contains("name") && !has_name(object, name)) {
        return absl::InvalidArgumentError(concat("$.name: differs from the name in the path, \"", name, "\""));
    }
    object["name"] = name;
    auto& objects = document[std::string{collection}];
    if (exists(document, collection, name)) {
        objects.at(position_of(document, collection, name)) = std::move(object);
    } else {
        objects.push_back(std::move(object));
    }
    return absl::OkStatus();
}

absl::Status erase_object(json& document, std::string_view collection, std::string_view name) {
    if (!exists(document, collection, name)) {
        return missing(collection, name);
    }
    document.at(std::string{collection}).erase(position_of(document, collection, name));
    return absl::OkStatus();
}

absl::Status patch_labels(json& document, std::string_view collection, std::string_view name, const json& patch) {
    if (!patch.is_object()) {
        return absl::InvalidArgumentError(concat("$: expected an object of labels, found ", patch.type_name()));
    }
    if (!exists(document, collection, name)) {
        return missing(collection, name);
    }
    auto& object = document.at(std::string{collection}).at(position_of(document, collection, name));
    if (!object.contains("labels")) {
        object["labels"] = json::object();
    }
    object["labels"].merge_patch(patch);
    return absl::OkStatus();
}

absl::Status set_zone_out(json& document, std::string_view name, bool out) {
    return set_selected(document, "zones", name, "zones_out", zone_out_selector, out);
}

absl::Status set_leaving(json& document, std::string_view name, bool leaving) {
    return set_selected(document, "endpoints", name, "endpoints_leaving", leaving_selector, leaving);
}

} // namespace dandelionbay
