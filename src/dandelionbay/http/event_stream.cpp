#include "dandelionbay/http/event_stream.hpp"

#include <algorithm>

namespace dandelionbay {

namespace {

using nlohmann::json;

// Nesting in an event of an engine; deeper ones are not taken apart.
constexpr int max_depth = 64;

json parse_bounded(std::string_view text) {
    return json::parse(
        text, [](int depth, json::parse_event_t /*event*/, json& /*value*/) { return depth <= max_depth; }, false);
}

std::uint32_t number(const json& object, const char* name) {
    const auto it = object.find(name);
    return it != object.end() && it->is_number_unsigned() ? it->get<std::uint32_t>() : 0;
}

bool has_text(const json& choice) {
    const auto delta = choice.find("delta");
    if (delta == choice.end() || !delta->is_object()) {
        return false;
    }
    const auto content = delta->find("content");
    return delta->contains("tool_calls") ||
           (content != delta->end() && content->is_string() && !content->get_ref<const std::string&>().empty());
}

void append_text(json& to, const json& from, const char* name) {
    const auto it = from.find(name);
    if (it != from.end() && it->is_string()) {
        const auto before = to.contains(name) && to[name].is_string() ? to[name].get<std::string>() : std::string{};
        to[name] = before + it->get<std::string>();
    }
}

} // namespace

void event_splitter::feed(std::string_view data, const std::function<void(std::string_view)>& take) {
    rest_.append(data);
    std::size_t begin = 0;
    std::size_t line = searched_;
    for (auto end = rest_.find('\n', line); end != std::string::npos; end = rest_.find('\n', line)) {
        const auto length = end - line;
        const bool blank = length == 0 || (length == 1 && rest_[line] == '\r');
        line = end + 1;
        if (blank) {
            take(std::string_view{rest_}.substr(begin, line - begin));
            begin = line;
        }
    }
    rest_.erase(0, begin);
    searched_ = line - begin;
}

std::string event_data(std::string_view event) {
    std::string data;
    bool first = true;
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (!line.starts_with("data:")) {
            continue;
        }
        line.remove_prefix(line.starts_with("data: ") ? 6 : 5);
        data.append(first ? "" : "\n").append(line);
        first = false;
    }
    return data;
}

std::uint32_t token_count::add(std::string_view data) {
    if (data.empty() || data == end_of_stream) {
        return 0;
    }
    const auto event = parse_bounded(data);
    if (!event.is_object()) {
        return 0;
    }
    std::uint32_t added = 0;
    const auto choices = event.find("choices");
    if (choices != event.end() && choices->is_array() && std::ranges::any_of(*choices, has_text)) {
        added = 1;
    }
    const auto usage = event.find("usage");
    if (usage != event.end() && usage->is_object()) {
        input_ = std::max(input_, number(*usage, "prompt_tokens"));
        // Tokens that were counted before are not taken back.
        added = std::max(output_ + added, number(*usage, "completion_tokens")) - output_;
    }
    output_ += added;
    return added;
}

void completion_builder::add_choice(const json& part) {
    auto& to = choices_[number(part, "index")];
    if (const auto reason = part.find("finish_reason"); reason != part.end() && !reason->is_null()) {
        to.finish_reason = *reason;
    }
    const auto delta = part.find("delta");
    if (delta == part.end() || !delta->is_object()) {
        return;
    }
    if (const auto role = delta->find("role"); role != delta->end() && role->is_string()) {
        to.role = role->get<std::string>();
    }
    if (const auto content = delta->find("content"); content != delta->end() && content->is_string()) {
        to.content += content->get_ref<const std::string&>();
        to.has_content = true;
    }
    const auto calls = delta->find("tool_calls");
    if (calls == delta->end() || !calls->is_array()) {
        return;
    }
    for (const auto& it : *calls) {
        if (!it.is_object()) {
            continue;
        }
        auto& call = to.tool_calls[number(it, "index")];
        for (const auto* name : {"id", "type"}) {
            if (const auto value = it.find(name); value != it.end()) {
                call[name] = *value;
            }
        }
        if (const auto function = it.find("function"); function != it.end() && function->is_object()) {
            append_text(call["function"], *function, "name");
            append_text(call["function"], *function, "arguments");
        }
    }
}

bool completion_builder::add(std::string_view data) {
    if (data.empty() || data == end_of_stream) {
        return true;
    }
    const auto event = parse_bounded(data);
    const auto choices = event.is_object() ? event.find("choices") : event.end();
    if (!event.is_object() || choices == event.end() || !choices->is_array()) {
        return false;
    }
    for (const auto* name : {"id", "created", "model", "system_fingerprint"}) {
        if (const auto value = event.find(name); value != event.end()) {
            base_[name] = *value;
        }
    }
    if (const auto usage = event.find("usage"); usage != event.end() && usage->is_object()) {
        usage_ = *usage;
    }
    for (const auto& it : *choices) {
        if (it.is_object()) {
            add_choice(it);
        }
    }
    return true;
}

std::string completion_builder::text() const {
    auto answer = base_;
    answer["object"] = "chat.completion";
    answer["choices"] = json::array();
    for (const auto& [index, it] : choices_) {
        json reply{{"role", it.role}, {"content", it.has_content ? json(it.content) : json{}}};
        for (const auto& [n, call] : it.tool_calls) {
            reply["tool_calls"].push_back(call);
        }
        answer["choices"].push_back({{"index", index}, {"message", reply}, {"finish_reason", it.finish_reason}});
    }
    if (!usage_.is_null()) {
        answer["usage"] = usage_;
    }
    return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace dandelionbay
