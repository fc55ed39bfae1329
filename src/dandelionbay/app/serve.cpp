#include <iostream>

#include "absl/flags/declare.h"
#include "absl/flags/flag.h"
#include "dandelionbay/app/command.hpp"
#include "dandelionbay/app/stop_signal.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/node/agent_node.hpp"
#include "dandelionbay/node/router_node.hpp"
#include "dandelionbay/settings/process_settings.hpp"

ABSL_DECLARE_FLAG(std::string, settings);

namespace dandelionbay::app {

namespace {

template<typename Node>
[[nodiscard]] int serve_until_stopped(Node& node, const stop_signal& signal) {
    if (const auto status = node.start(); !status.ok()) {
        return failure(from_absl(status.message()));
    }
    std::cout << "ready" << std::endl; // Flushed, because a script waits for this line.
    signal.wait();
    node.stop();
    return exit_ok;
}

[[nodiscard]] int run_serve(const argument_list& args) {
    const auto path = absl::GetFlag(FLAGS_settings);
    if (!args.empty() || path.empty()) {
        return usage_error("serve needs --settings=FILE and no other arguments");
    }
    const stop_signal signal;
    const auto settings = load_settings(path);
    if (!settings.ok()) {
        return usage_error(concat(path, ":\n", from_absl(settings.status().message())));
    }
    if (settings->role == process_role::router) {
        router_node router{settings->router};
        return serve_until_stopped(router, signal);
    }
    if (settings->role == process_role::agent) {
        agent_node agent{settings->agent};
        return serve_until_stopped(agent, signal);
    }
    return usage_error(concat(path, ": the role ", to_string(settings->role), " is a stand-in; see standin --help"));
}

} // namespace

command serve_command() {
    return {"serve",
            "--settings=FILE",
            "Serves as an entry router or an endpoint agent until SIGTERM; prints \"ready\" when it serves.",
            {"settings"},
            run_serve};
}

} // namespace dandelionbay::app
