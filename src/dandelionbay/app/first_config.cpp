#include "dandelionbay/app/first_config.hpp"

#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/config/config_editor.hpp"
#include "dandelionbay/config/fleet_config.hpp"
#include "dandelionbay/store/memory_table_store.hpp"

namespace dandelionbay::app {

absl::Status store_first_config(const std::shared_ptr<table_map>& rows, std::string_view document) {
    if (const auto config = parse_fleet_config(document, 1); !config.ok()) {
        return config.status();
    }
    memory_table_store store{rows};
    counters metrics;
    return config_editor{store, metrics, "platform"}.replace(document, 0).status();
}

} // namespace dandelionbay::app
