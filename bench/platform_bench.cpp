#include <cstdint>
#include <memory>
#include <string>

#include <benchmark/benchmark.h>

#include "absl/strings/escaping.h"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/gateway/registry_view.hpp"
#include "platform/documents.hpp"
#include "platform/rows.hpp"

namespace dandelionbay::bench {
namespace {

/*! @brief The registry's answer with a configuration of some routes. */
[[nodiscard]] std::string config_answer(std::int64_t routes) {
    std::string text = R"({"version": 2, "services": [{"name": "m"}], "tenants": [], "routes": [)";
    for (std::int64_t n = 0; n < routes; ++n) {
        text += concat(n == 0 ? "" : ",", R"({"name": "route-)", n, R"(", "host": "a.example", "prefix": "/calls/)", n,
                       R"(/", "kind": "streaming", "service": "m", "timeout_ms": 4000, "target_latency_ms": 600,)",
                       R"( "max_attempts": 2, "resumable": true})");
    }
    text += R"(], "limits": {"idle_timeout_ms": 15000}})";
    return concat(R"({"ver": 9, "rows": [{"key": "config", "ver": 9, "value": ")", absl::Base64Escape(text), R"("}]})");
}

/*! @brief What a change of the configuration keeps the event loop of a gateway from. */
void config_change(benchmark::State& state) {
    const auto answer = config_answer(state.range(0));
    for (auto _ : state) {
        registry_view view{{}};
        const auto rows = platform::read_rows(answer);
        auto config = platform::read_config(rows->rows.front().value);
        if (!config.ok() || !view.adopt(std::make_shared<const route_config>(*std::move(config)))) {
            state.SkipWithError("the configuration is not taken");
            break;
        }
    }
    state.counters["bytes"] = static_cast<double>(answer.size());
}
BENCHMARK(config_change)->Arg(10)->Arg(100)->Arg(500)->Arg(2'500)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace dandelionbay::bench
