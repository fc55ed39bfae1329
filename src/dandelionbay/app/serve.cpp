#include <csignal>
#include <iostream>
#include <memory>

#include "absl/flags/declare.h"
#include "absl/flags/flag.h"
#include "dandelionbay/app/command.hpp"
#include "dandelionbay/app/stop_signal.hpp"
#include "dandelionbay/base/event_log.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/node/agent_node.hpp"
#include "dandelionbay/node/gateway_node.hpp"
#include "dandelionbay/node/router_node.hpp"
#include "dandelionbay/node/start_watch.hpp"
#include "dandelionbay/settings/process_settings.hpp"
#include "platform/binding.hpp"

ABSL_DECLARE_FLAG(std::string, settings);

namespace dandelionbay::app {

namespace {

[[nodiscard]] event_log_options log_options(const process_settings& settings, const host_id& host,
                                            const zone_id& zone) {
    auto level = log_level::info;
    if (settings.log.level == "debug") {
        level = log_level::debug;
    } else if (settings.log.level == "warn") {
        level = log_level::warn;
    } else if (settings.log.level == "error") {
        level = log_level::error;
    }
    return event_log_options{level, settings.log.output, host, zone};
}

/*! Waits until a node is ready. Returns start_state::waiting if a signal to stop came first. */
[[nodiscard]] start_state wait_until_ready(counters& metrics, const stop_signal& signal) {
    constexpr std::chrono::milliseconds interval{20};
    const monotonic_clock time;
    start_watch watch{metrics, time.now()};
    auto state = watch.check(time.now());
    while (state == start_state::waiting && !signal.wait_for(interval)) {
        state = watch.check(time.now());
    }
    return state;
}

template<typename Node>
[[nodiscard]] int serve_until_stopped(Node& node, const stop_signal& signal, event_log& log) {
    if (const auto status = node.start(); !status.ok()) {
        log.write(log_level::error, "start_failed", {{"reason", std::string{status.message()}}});
        return failure(from_absl(status.message()));
    }
    log.write(log_level::info, "started");
    if (const auto state = wait_until_ready(node.metrics(), signal); state != start_state::waiting) {
        if (state != start_state::in_force) {
            log.write(log_level::warn, "started_without_config", {{"reason", std::string{to_string(state)}}});
        }
        std::cout << "ready" << std::endl; // Flushed, because a script waits for this line.
        signal.wait();
    }
    log.write(log_level::info, "stopping");
    node.stop();
    log.write(log_level::info, "stopped");
    return exit_ok;
}

[[nodiscard]] int serve_gateway(const process_settings& settings, const std::string& path) {
    struct sigaction ignore {};
    ignore.sa_handler = SIG_IGN; // NOLINT(cppcoreguidelines-pro-type-union-access): the system's own structure.
    sigaction(SIGPIPE, &ignore, nullptr);
    const auto& place = settings.gateway.place;
    gateway_node node{settings.gateway, platform::make_binding(),
                      std::make_shared<event_log>(log_options(settings, place.host, place.zone)),
                      [path]() -> absl::StatusOr<gateway_options> {
                          auto next = load_settings(path);
                          if (!next.ok()) {
                              return next.status();
                          }
                          return std::move(next->gateway);
                      }};
    const auto status = node.run([] { std::cout << "ready" << std::endl; }); // Flushed: scripts wait for this line.
    return status.ok() ? exit_ok : failure(from_absl(status.message()));
}

[[nodiscard]] int run_serve(const argument_list& args) {
    const auto path = absl::GetFlag(FLAGS_settings);
    if (!args.empty() || path.empty()) {
        return usage_error("serve needs --settings=FILE and no other arguments");
    }
    const auto settings = load_settings(path);
    if (!settings.ok()) {
        return usage_error(concat(path, ":\n", from_absl(settings.status().message())));
    }
    if (settings->role == process_role::gateway) {
        return serve_gateway(*settings, path);
    }
    const stop_signal signal;
    if (settings->role == process_role::router) {
        node_environment environment;
        environment.log = std::make_shared<event_log>(
            log_options(*settings, settings->router.common.host, settings->router.common.zone));
        router_node router{settings->router, environment};
        return serve_until_stopped(router, signal, *environment.log);
    }
    if (settings->role == process_role::agent) {
        node_environment environment;
        environment.log = std::make_shared<event_log>(
            log_options(*settings, settings->agent.common.host, settings->agent.common.zone));
        agent_node agent{settings->agent, environment};
        return serve_until_stopped(agent, signal, *environment.log);
    }
    return usage_error(concat(path, ": the role ", to_string(settings->role), " is a stand-in; see standin --help"));
}

} // namespace

command serve_command() {
    return {"serve",
            "--settings=FILE",
            "Serves as a gateway, an entry router or an endpoint agent until SIGTERM; prints \"ready\" when it serves.",
            {"settings"},
            run_serve};
}

} // namespace dandelionbay::app
