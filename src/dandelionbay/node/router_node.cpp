#include "dandelionbay/node/router_node.hpp"

#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "dandelionbay/node/node_parts.hpp"

namespace dandelionbay {

namespace {

/*! @brief Background thread of the claims. */
class claims_part final : public service {
public:
    explicit claims_part(claim_service& it) : it_{&it} {}

    [[nodiscard]] absl::Status start(kernel& /*host*/) override {
        it_->start();
        return absl::OkStatus();
    }
    void stop() noexcept override { it_->stop(); }

private:
    claim_service* it_;
};

} // namespace

router_node::router_node(router_node_options options, node_environment environment)
    : options_{std::move(options)},
      environment_{complete(std::move(environment), options_.common)}, counters_{std::make_shared<counters>()} {
    const auto& time = *environment_.time;
    driver_ = std::make_unique<router_driver>(options_, time, *counters_, *environment_.store, *environment_.hosts);
    driver_->set_log(environment_.log);
    claim_settings claims;
    claims.self = {options_.common.host, driver_->life()};
    claims_ =
        std::make_unique<claim_service>(claims, *environment_.store, time, *counters_, [this](const claim_owner& it) {
            return driver_->may_be_alive(it.host, it.incarnation);
        });
    caller_front_options callers;
    callers.listen = options_.caller_listen;
    callers.threads = options_.caller_threads;
    callers_ = std::make_unique<caller_front>(callers, *driver_, claims_.get(), time, *counters_);

    built_ = add_common_parts(kernel_, environment_, counters_);
    built_.Update(kernel_.add("router", std::make_unique<service_handle>(*driver_)));
    built_.Update(kernel_.add("links", std::make_unique<service_handle>(driver_->links())));
    built_.Update(kernel_.add("polling", std::make_unique<polling_service>(*driver_)));
    built_.Update(kernel_.add("claims", std::make_unique<claims_part>(*claims_)));
    built_.Update(kernel_.add("callers", std::make_unique<service_handle>(*callers_)));
    if (!options_.admin_token.empty()) {
        editor_ = std::make_unique<config_editor>(*environment_.store, *counters_,
                                                  absl::StrCat(options_.common.host.value, "-", driver_->life()));
        admin_api_ = std::make_unique<admin_api>(*editor_, *driver_, *counters_);
        admin_ = std::make_unique<admin_front>(admin_front_options{options_.admin_listen, options_.admin_token},
                                               *admin_api_, time, *counters_);
        built_.Update(kernel_.add("admin", std::make_unique<service_handle>(*admin_)));
    }
}

router_node::~router_node() {
    driver_->cut_answers();
    kernel_.stop();
}

absl::Status router_node::start() {
    return built_.ok() ? kernel_.start() : built_;
}

void router_node::stop() noexcept {
    driver_->begin_stop();
    const auto& time = *environment_.time;
    const auto balanced = time.now() + options_.balancer_delay;
    const auto limit = balanced + options_.common.stop_limit;
    const auto busy = [this] { return !driver_->idle() || callers_->active() > 0; };
    while (time.now() < balanced || (busy() && time.now() < limit)) {
        std::this_thread::sleep_for(stop_check_interval);
    }
    callers_->begin_close();
    const auto cut = driver_->cut_answers();
    counters_->add("answers_cut_total", "stop_limit", static_cast<counters::value_type>(cut));
    kernel_.stop();
}

} // namespace dandelionbay
