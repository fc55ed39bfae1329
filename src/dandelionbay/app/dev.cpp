#include <cstdint>
#include <iostream>
#include <limits>

#include "absl/flags/flag.h"
#include "dandelionbay/app/command.hpp"
#include "dandelionbay/app/dev_fleet.hpp"
#include "dandelionbay/app/stop_signal.hpp"
#include "dandelionbay/base/text.hpp"

ABSL_FLAG(std::uint32_t, port, 0, "port for callers of the first router");
ABSL_FLAG(std::uint32_t, admin_port, 0, "port for operators of the first router");

namespace dandelionbay::app {

namespace {

[[nodiscard]] bool valid_port(std::uint32_t port) noexcept {
    return port > 0 && port <= std::numeric_limits<std::uint16_t>::max();
}

[[nodiscard]] int run_dev(const argument_list& args) {
    const auto port = absl::GetFlag(FLAGS_port);
    const auto admin_port = absl::GetFlag(FLAGS_admin_port);
    if (!args.empty() || !valid_port(port) || !valid_port(admin_port) || port == admin_port) {
        return usage_error("dev needs --port=P and --admin_port=Q, two ports from 1 to 65535");
    }
    const stop_signal signal;
    dev_fleet fleet{dev_options{static_cast<std::uint16_t>(port), static_cast<std::uint16_t>(admin_port)}};
    if (const auto status = fleet.start(); !status.ok()) {
        return failure(from_absl(status.message()));
    }
    std::cout << "ready" << std::endl; // Flushed, because a script waits for this line.
    signal.wait();
    fleet.stop();
    return exit_ok;
}

} // namespace

command dev_command() {
    return {
        "dev",
        "--port=P --admin_port=Q",
        "Runs a whole fleet in one process until SIGTERM: 2 routers, 6 agents, 3 zones in 2 regions, with stand-ins\n"
        "for the endpoints and the platform. Prints \"ready\" when it serves. Tokens: dev-team-1 to dev-team-4 for\n"
        "callers, dev-admin for operators. Model: dev-model. Plain service: orders.",
        {"port", "admin_port"},
        run_dev};
}

} // namespace dandelionbay::app
