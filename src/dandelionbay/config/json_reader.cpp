#include "dandelionbay/config/json_reader.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_join.h"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay::internal {

namespace {

using nlohmann::json;

constexpr std::size_t max_name_length = 100;
constexpr std::size_t max_token_length = 1'000;

/*! @brief Follows the events of the JSON parser to find keys that an object has twice. */
class duplicate_finder {
    struct level {
        bool is_array{};
        std::size_t index{};
        std::string key{};
        std::set<std::string> keys{};
    };

    [[nodiscard]] std::string path() const {
        std::string out = "$";
        for (const auto& it : levels_) {
            if (it.is_array) {
                out += concat("[", it.index, "]");
            } else {
                out += concat(".", it.key);
            }
        }
        return out;
    }

    void end_of_value() {
        if (!levels_.empty() && levels_.back().is_array) {
            ++levels_.back().index;
        }
    }

public:
    explicit duplicate_finder(fault_list& faults) : faults_{&faults} {}

    void event(json::parse_event_t kind, const json& parsed) {
        switch (kind) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            levels_.push_back(level{kind == json::parse_event_t::array_start});
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            levels_.pop_back();
            end_of_value();
            break;
        case json::parse_event_t::key:
            levels_.back().key = parsed.get<std::string>();
            if (!levels_.back().keys.insert(levels_.back().key).second) {
                faults_->push_back(concat(path(), ": the key occurs twice"));
            }
            break;
        case json::parse_event_t::value:
            end_of_value();
            break;
        }
    }

private:
    fault_list* faults_;
    std::vector<level> levels_;
};

/*! Tells it from the text alone: the parsed value would take a hundred times its bytes. */
[[nodiscard]] bool has_too_many_levels(std::string_view text) noexcept {
    std::size_t levels = 0;
    bool quoted = false;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const char c = text[n];
        if (quoted) {
            n += c == '\\' ? 1 : 0; // The next character does not end the string.
            quoted = c != '"';
        } else if (c == '"') {
            quoted = true;
        } else if (c == '[' || c == '{') {
            if (++levels > most_levels) {
                return true;
            }
        } else if (c == ']' || c == '}') {
            levels -= levels > 0 ? 1 : 0;
        }
    }
    return false;
}

[[nodiscard]] bool is_name_character(char c) noexcept {
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
}

} // namespace

json parse_json(std::string_view text) {
    return has_too_many_levels(text) ? json(json::value_t::discarded) : json::parse(text, nullptr, false);
}

json parse_json(std::string_view text, fault_list& faults) {
    if (has_too_many_levels(text)) {
        faults.push_back(concat("$: nested more than ", most_levels, " levels deep"));
        return json(json::value_t::discarded);
    }
    duplicate_finder duplicates{faults};
    const auto callback = [&](int /*depth*/, json::parse_event_t kind, json& parsed) {
        duplicates.event(kind, parsed);
        return true;
    };
    try {
        return json::parse(text, callback);
    } catch (const json::exception& e) {
        faults.push_back(concat("$: ", e.what()));
        return json(json::value_t::discarded);
    }
}

bool valid_name(std::string_view name) noexcept {
    return !name.empty() && name.size() <= max_name_length && std::ranges::all_of(name, is_name_character);
}

bool valid_token(std::string_view token) noexcept {
    return !token.empty() && token.size() <= max_token_length &&
           std::ranges::all_of(token, [](char c) { return absl::ascii_isgraph(static_cast<unsigned char>(c)); });
}

object_reader::object_reader(const json& value, std::string path, fault_list& faults)
    : value_{&value}, path_{std::move(path)}, faults_{&faults} {
    if (!value.is_object()) {
        fault("", concat("expected an object, found ", value.type_name()));
    }
}

void object_reader::fault(std::string_view key, std::string_view what) {
    faults_->push_back(concat(path_of(key), ": ", what));
}

std::string object_reader::path_of(std::string_view key) const {
    return key.empty() ? path_ : concat(path_, ".", key);
}

const json* object_reader::child(std::string_view key, presence need) {
    known_.emplace(key);
    if (!value_->is_object()) {
        return nullptr;
    }
    const auto it = value_->find(std::string{key});
    if (it != value_->end()) {
        return &*it;
    }
    if (need == presence::required) {
        fault(key, "is missing");
    }
    return nullptr;
}

bool object_reader::text(std::string_view key, presence need, std::string& out) {
    const auto* const it = child(key, need);
    if (it == nullptr) {
        return false;
    }
    if (!it->is_string()) {
        fault(key, concat("expected a string, found ", it->type_name()));
        return false;
    }
    out = it->get<std::string>();
    return true;
}

bool object_reader::name(std::string_view key, presence need, std::string& out) {
    if (!text(key, need, out)) {
        return false;
    }
    if (!valid_name(out)) {
        fault(key, R"(expected 1 to 100 of letters, digits, "-", "_", ".")");
        return false;
    }
    return true;
}

bool object_reader::token(std::string_view key, presence need, std::string& out) {
    if (!text(key, need, out)) {
        return false;
    }
    if (!valid_token(out)) {
        fault(key, out.empty() ? "the token is empty" : "expected at most 1,000 visible ASCII characters");
        return false;
    }
    return true;
}

void object_reader::boolean(std::string_view key, presence need, bool& out) {
    const auto* const it = child(key, need);
    if (it == nullptr) {
        return;
    }
    if (!it->is_boolean()) {
        fault(key, concat("expected true or false, found ", it->type_name()));
        return;
    }
    out = it->get<bool>();
}

void object_reader::check_range(std::string_view key, std::int64_t low, std::int64_t high, std::int64_t& out,
                                presence need) {
    const auto* const it = child(key, need);
    if (it == nullptr) {
        return;
    }
    if (!it->is_number_integer()) {
        fault(key, concat("expected an integer, found ", it->is_number() ? "a fraction" : it->type_name()));
        return;
    }
    const bool too_big = it->is_number_unsigned() && it->get<std::uint64_t>() > static_cast<std::uint64_t>(high);
    if (too_big || it->get<std::int64_t>() < low || it->get<std::int64_t>() > high) {
        fault(key, concat("expected ", low, " to ", high, ", found ", it->dump()));
        return;
    }
    out = it->get<std::int64_t>();
}

void object_reader::number(std::string_view key, presence need, double& out, double low, double high) {
    const auto* const it = child(key, need);
    if (it == nullptr) {
        return;
    }
    if (!it->is_number()) {
        fault(key, concat("expected a number, found ", it->type_name()));
        return;
    }
    const auto value = it->get<double>();
    if (value < low || value > high) {
        fault(key, concat("expected ", low, " to ", high, ", found ", it->dump()));
        return;
    }
    out = value;
}

void object_reader::labels(std::string_view key, label_set& out) {
    const auto* const it = child(key, presence::optional);
    if (it == nullptr) {
        return;
    }
    object_reader reader{*it, path_of(key), *faults_};
    if (!it->is_object()) {
        return;
    }
    for (const auto& [label, value] : it->items()) {
        std::string read;
        if (!reader.text(label, presence::required, read)) {
            continue;
        }
        if (!valid_label_key(label) || !valid_label_value(read)) {
            reader.fault(label, R"(expected 1 to 100 of letters, digits, "-", "_", ".", "/" as key and value)");
        } else if (label == "name" || label == "zone" || label == "region") {
            reader.fault(label, "this label is implicit and can't be set");
        } else {
            out.emplace(label, std::move(read));
        }
    }
}

bool object_reader::select(std::string_view key, presence need, selector& out) {
    std::string read;
    if (!text(key, need, read)) {
        return false;
    }
    auto parsed = selector::parse(read);
    if (!parsed.ok()) {
        fault(key, from_absl(parsed.status().message()));
        return false;
    }
    out = *std::move(parsed);
    return true;
}

void object_reader::each(std::string_view key, presence need,
                         const std::function<void(const json&, std::string)>& visit) {
    const auto* const it = child(key, need);
    if (it == nullptr) {
        return;
    }
    if (!it->is_array()) {
        fault(key, concat("expected an array, found ", it->type_name()));
        return;
    }
    for (std::size_t i = 0; i < it->size(); ++i) {
        visit((*it)[i], concat(path_of(key), "[", i, "]"));
    }
}

void object_reader::finish() {
    if (!value_->is_object()) {
        return;
    }
    for (const auto& [key, value] : value_->items()) {
        if (!known_.contains(key)) {
            fault(key, "unknown key");
        }
    }
}

absl::Status read_document(std::string_view text, fault_list& faults, const std::function<void(object_reader&)>& read) {
    const auto value = parse_json(text, faults);
    if (!value.is_discarded()) {
        object_reader root{value, "$", faults};
        read(root);
    }
    return faults.empty() ? absl::OkStatus() : absl::InvalidArgumentError(absl::StrJoin(faults, "\n"));
}

} // namespace dandelionbay::internal
