#include "dandelionbay/node/node_parts.hpp"

#include <utility>

#include "dandelionbay/store/http_table_store.hpp"

namespace dandelionbay {

node_environment complete(node_environment environment, const node_options& options) {
    if (environment.time == nullptr) {
        environment.time = std::make_shared<monotonic_clock>();
    }
    if (environment.store == nullptr) {
        environment.store = std::make_shared<http_table_store>(options.store);
    }
    if (environment.hosts == nullptr) {
        environment.hosts = std::make_shared<http_host_list>(options.store);
    }
    return environment;
}

absl::Status add_common_parts(kernel& to, const node_environment& environment,
                              const std::shared_ptr<counters>& metrics) {
    auto status = to.add("clock", std::make_unique<shared_part<const clock>>(environment.time));
    status.Update(to.add("counters", std::make_unique<shared_part<counters>>(metrics)));
    status.Update(to.add("store", std::make_unique<shared_part<table_store>>(environment.store)));
    return status;
}

} // namespace dandelionbay
