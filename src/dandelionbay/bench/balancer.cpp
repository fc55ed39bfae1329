#include "dandelionbay/bench/balancer.hpp"

#include <chrono>

#include <httplib.h>

namespace dandelionbay::bench {

namespace {

/*! A development router goes on serving new connections for 200 ms after it answers that it stops. */
constexpr std::chrono::milliseconds check_interval{50};
constexpr std::chrono::milliseconds answer_limit{500};

[[nodiscard]] bool healthy(std::uint16_t port) {
    httplib::Client client{"127.0.0.1", port};
    client.set_connection_timeout(answer_limit);
    client.set_read_timeout(answer_limit);
    const auto answer = client.Get("/healthz");
    return answer && answer->status == 200;
}

} // namespace

balancer::balancer(const port_list& ports) noexcept : ports_{ports} {}

balancer::~balancer() {
    stopped_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
}

void balancer::check_all() {
    for (std::size_t i = 0; i < router_count; ++i) {
        unhealthy_.at(i) = !healthy(ports_.at(i));
    }
}

void balancer::run() {
    while (!stopped_) {
        check_all();
        std::this_thread::sleep_for(check_interval);
    }
}

void balancer::start() {
    thread_ = std::thread{[this] { run(); }};
}

std::uint16_t balancer::port_for(std::size_t router) const {
    for (std::size_t n = 0; n < router_count; ++n) {
        const auto i = (router + n) % router_count;
        if (!unhealthy_.at(i)) {
            return ports_.at(i);
        }
    }
    return ports_.at(router);
}

} // namespace dandelionbay::bench
