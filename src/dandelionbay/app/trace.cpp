#include <algorithm>
#include <fstream>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/flags/declare.h"
#include "absl/flags/flag.h"
#include "dandelionbay/app/command.hpp"
#include "dandelionbay/base/text.hpp"

ABSL_FLAG(std::string, request, "", "id of a request as its caller sent it");

namespace dandelionbay::app {

namespace {

/*! A log line with the time by which it is ordered. */
struct log_line {
    std::string time{};
    std::string text{};
};

/*! Adds the lines of a request in one log. Lines that are no JSON, such as "ready", are passed over. */
void collect(std::istream& from, const std::string& request, std::vector<log_line>& out) {
    std::string text;
    while (std::getline(from, text)) {
        if (text.find(request) == std::string::npos) {
            continue;
        }
        const auto line = nlohmann::json::parse(text, nullptr, false);
        if (!line.is_object() || !line.contains("context_map") || !line["context_map"].is_object()) {
            continue;
        }
        if (line["context_map"].value("request", "") == request) {
            out.push_back(log_line{line.value("timestamp", ""), text});
        }
    }
}

[[nodiscard]] int run_trace(const argument_list& args) {
    const auto request = absl::GetFlag(FLAGS_request);
    if (args.empty() || request.empty()) {
        return usage_error("trace needs --request=ID and the log files of the hosts");
    }
    std::vector<log_line> lines;
    for (const auto& path : args) {
        std::ifstream file{path};
        if (!file) {
            return failure(concat(path, ": can't be read"));
        }
        collect(file, request, lines);
    }
    std::ranges::stable_sort(lines, {}, &log_line::time);
    for (const auto& it : lines) {
        std::cout << it.text << '\n';
    }
    return lines.empty() ? failure(concat("no line of request ", request)) : exit_ok;
}

} // namespace

command trace_command() {
    return {"trace",
            "--request=ID FILE…",
            "Prints the log lines of one request from the logs of several hosts, in order of time.",
            {"request"},
            run_trace};
}

} // namespace dandelionbay::app
