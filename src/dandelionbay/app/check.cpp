#include <iostream>

#include "absl/flags/declare.h"
#include "absl/flags/flag.h"
#include "dandelionbay/app/command.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/config/fleet_config.hpp"
#include "dandelionbay/settings/process_settings.hpp"

ABSL_FLAG(std::string, settings, "", "settings file of one process");
ABSL_FLAG(std::string, fleet_config, "", "fleet configuration file");

namespace dandelionbay::app {

namespace {

/*! Reports the result for one file. */
[[nodiscard]] bool report(const std::string& path, const absl::Status& status) {
    if (status.ok()) {
        std::cout << path << ": valid\n";
    } else {
        std::cerr << path << ":\n" << status.message() << '\n';
    }
    return status.ok();
}

[[nodiscard]] absl::Status check_fleet_config(const std::string& path) {
    const auto text = read_file(path);
    return text.ok() ? parse_fleet_config(*text, 1).status() : text.status();
}

[[nodiscard]] int run_check(const argument_list& args) {
    const auto settings_path = absl::GetFlag(FLAGS_settings);
    const auto config_path = absl::GetFlag(FLAGS_fleet_config);
    if (!args.empty() || (settings_path.empty() && config_path.empty())) {
        return usage_error("check needs --settings=FILE or --fleet_config=FILE");
    }
    bool valid = true;
    if (!settings_path.empty()) {
        const auto settings = load_settings(settings_path);
        valid = report(settings_path, settings.status());
        if (settings.ok() && !settings->fleet_config.empty()) {
            valid = report(settings->fleet_config, check_fleet_config(settings->fleet_config)) && valid;
        }
    }
    if (!config_path.empty()) {
        valid = report(config_path, check_fleet_config(config_path)) && valid;
    }
    return valid ? exit_ok : exit_usage;
}

} // namespace

command check_command() {
    return {"check",
            "[--settings=FILE] [--fleet_config=FILE]",
            "Checks settings and a fleet configuration, and reports every fault with its JSON path.",
            {"settings", "fleet_config"},
            run_check};
}

} // namespace dandelionbay::app
