#include <iostream>
#include <memory>

#include "absl/flags/declare.h"
#include "absl/flags/flag.h"
#include "dandelionbay/app/command.hpp"
#include "dandelionbay/app/stop_signal.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/config/config_editor.hpp"
#include "dandelionbay/config/fleet_config.hpp"
#include "dandelionbay/settings/process_settings.hpp"
#include "dandelionbay/store/memory_table_store.hpp"

ABSL_DECLARE_FLAG(std::string, settings);

namespace dandelionbay::app {

namespace {

template<typename Standin>
[[nodiscard]] int serve_until_stopped(Standin& standin, const stop_signal& signal) {
    if (const auto status = standin.start(); !status.ok()) {
        return failure(from_absl(status.message()));
    }
    std::cout << "ready" << std::endl; // Flushed, because a script waits for this line.
    signal.wait();
    standin.stop();
    return exit_ok;
}

[[nodiscard]] int run_platform(const process_settings& settings, const stop_signal& signal) {
    const auto rows = std::make_shared<table_map>();
    standin_platform platform{settings.platform, rows};
    if (!settings.fleet_config.empty()) {
        const auto text = read_file(settings.fleet_config);
        if (!text.ok()) {
            return usage_error(from_absl(text.status().message()));
        }
        if (const auto config = parse_fleet_config(*text, 1); !config.ok()) {
            return usage_error(concat(settings.fleet_config, ":\n", from_absl(config.status().message())));
        }
        memory_table_store store{rows};
        counters metrics;
        if (const auto stored = config_editor{store, metrics, "platform"}.replace(*text, 0); !stored.ok()) {
            return failure(from_absl(stored.status().message()));
        }
    }
    return serve_until_stopped(platform, signal);
}

[[nodiscard]] int run_standin(const argument_list& args) {
    const auto path = absl::GetFlag(FLAGS_settings);
    if (args.size() != 1 || path.empty()) {
        return usage_error("standin needs one of platform, engine, service, and --settings=FILE");
    }
    const stop_signal signal;
    const auto settings = load_settings(path);
    if (!settings.ok()) {
        return usage_error(concat(path, ":\n", from_absl(settings.status().message())));
    }
    if (args.front() != to_string(settings->role)) {
        return usage_error(concat(path, ": the role is ", to_string(settings->role), ", not ", args.front()));
    }
    switch (settings->role) {
    case process_role::platform:
        return run_platform(*settings, signal);
    case process_role::engine: {
        standin_engine engine{settings->engine};
        return serve_until_stopped(engine, signal);
    }
    case process_role::service: {
        standin_service service{settings->service};
        return serve_until_stopped(service, signal);
    }
    default:
        return usage_error(concat(path, ": the role ", to_string(settings->role), " is not a stand-in"));
    }
}

} // namespace

command standin_command() {
    return {"standin",
            "platform|engine|service --settings=FILE",
            "Serves as a stand-in for a system of the platform until SIGTERM; prints \"ready\" when it serves.",
            {"settings"},
            run_standin};
}

} // namespace dandelionbay::app
