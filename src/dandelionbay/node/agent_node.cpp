#include "dandelionbay/node/agent_node.hpp"

#include <thread>
#include <utility>

#include "dandelionbay/node/http_endpoint_client.hpp"
#include "dandelionbay/node/node_parts.hpp"

namespace dandelionbay {

agent_node::agent_node(agent_node_options options, node_environment environment)
    : options_{std::move(options)},
      environment_{complete(std::move(environment), options_.common)}, counters_{std::make_shared<counters>()} {
    const auto& time = *environment_.time;
    if (environment_.endpoint == nullptr) {
        environment_.endpoint = std::make_shared<http_endpoint_client>(options_.endpoint_address, time, *counters_);
    }
    driver_ = std::make_unique<agent_driver>(options_, *environment_.endpoint, time, *counters_, *environment_.store,
                                             *environment_.hosts);
    driver_->set_log(environment_.log);
    built_ = add_common_parts(kernel_, environment_, counters_);
    built_.Update(kernel_.add("agent", std::make_unique<service_handle>(*driver_)));
    built_.Update(kernel_.add("links", std::make_unique<service_handle>(driver_->links())));
    built_.Update(kernel_.add("polling", std::make_unique<polling_service>(*driver_)));
}

agent_node::~agent_node() {
    kernel_.stop();
}

absl::Status agent_node::start() {
    return built_.ok() ? kernel_.start() : built_;
}

void agent_node::stop() noexcept {
    const auto& time = *environment_.time;
    const auto limit = time.now() + options_.common.stop_limit;
    driver_->begin_stop();
    // The first checks give the driver time to see the stop and to hear submissions that are on their way.
    const auto earliest = time.now() + std::chrono::seconds{1};
    while (time.now() < earliest || (!driver_->idle() && time.now() < limit)) {
        std::this_thread::sleep_for(stop_check_interval);
    }
    kernel_.stop();
}

} // namespace dandelionbay
