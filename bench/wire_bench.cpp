#include <benchmark/benchmark.h>

#include "dandelionbay/label/selector.hpp"
#include "support.hpp"

namespace dandelionbay::bench {
namespace {

const request_id id{router_host(0), 1'700'000'000'000, 123'456};

demand make_demand(std::int64_t teams) {
    demand out{.pool = pool, .version = 100'000};
    for (std::size_t n = 0; n < static_cast<std::size_t>(teams); ++n) {
        out.teams.push_back({.team = team(n), .queued = 100, .counter = 12'345.5, .charged = 12'000.25});
    }
    return out;
}

grant make_grant(std::int64_t floors) {
    grant out{.pool = pool, .ids = {{id.incarnation, 5'000}}, .lifetime_ms = 3'000};
    for (std::size_t n = 0; n < static_cast<std::size_t>(floors); ++n) {
        out.floors.push_back({.pool = pool, .team = team(n), .charged = 12'000.25});
    }
    return out;
}

submit make_submit(std::int64_t body) {
    return {.id = id,
            .grant = {id.incarnation, 5'000},
            .team = team(1),
            .service = service,
            .model_call = true,
            .fingerprint = 0x1234'5678'9abc'def0,
            .timeout_ms = 120'000,
            .request = {.method = "POST",
                        .path = "/v1/chat/completions",
                        .headers = {{"Content-Type", "application/json"}},
                        .body = std::string(static_cast<std::size_t>(body), 'x')}};
}

chunk make_chunk(std::int64_t data) {
    return {.id = id, .offset = 10'000, .data = std::string(static_cast<std::size_t>(data), 'x'), .output_tokens = 1};
}

ledger_rows make_rows(std::int64_t rows) {
    ledger_rows out;
    for (std::size_t n = 0; n < static_cast<std::size_t>(rows); ++n) {
        out.rows.push_back({pool, team(n), id.router, id.incarnation, 5'000, 12'345.5, 200.5, 100});
    }
    return out;
}

// Both sides' first messages, as known on a link between the router and the agent that the messages above name.
link_context link_of(const message& body) {
    const hello router{.host = id.router, .role = host_role::router, .incarnation = id.incarnation};
    const hello agent{.host = agent_host(0), .role = host_role::agent, .incarnation = id.incarnation};
    const bool from_agent = std::holds_alternative<grant>(body) || std::holds_alternative<chunk>(body);
    return from_agent ? link_context{agent, router} : link_context{router, agent};
}

// Frames on a link that has carried the same names before.
void encode(benchmark::State& state, const message& body) {
    frame_encoder encoder;
    encoder.set_link(link_of(body));
    encoder.encode(body).IgnoreError();
    for (auto _ : state) {
        benchmark::DoNotOptimize(encoder.encode(body));
    }
    state.counters["frame_bytes"] = static_cast<double>(encoder.encode(body)->size());
    state.counters["frame_bytes_full_names"] = static_cast<double>(encode_frame(body, link_of(body))->size());
}

void decode(benchmark::State& state, const message& body) {
    frame_encoder encoder;
    encoder.set_link(link_of(body));
    frame_decoder decoder;
    decoder.set_link(link_of(body));
    decoder.feed(encoder.encode(body).value());
    benchmark::DoNotOptimize(decoder.next());
    const auto frame = encoder.encode(body).value();
    for (auto _ : state) {
        decoder.feed(frame);
        benchmark::DoNotOptimize(decoder.next());
    }
}

void demand_encode(benchmark::State& state) {
    encode(state, make_demand(state.range(0)));
}
void demand_decode(benchmark::State& state) {
    decode(state, make_demand(state.range(0)));
}
void grant_encode(benchmark::State& state) {
    encode(state, make_grant(state.range(0)));
}
void grant_decode(benchmark::State& state) {
    decode(state, make_grant(state.range(0)));
}
void ledger_encode(benchmark::State& state) {
    encode(state, make_rows(state.range(0)));
}
void ledger_size(benchmark::State& state) {
    const message body{make_rows(state.range(0))};
    frame_sizer sizer{link_of(body)};
    for (auto _ : state) {
        benchmark::DoNotOptimize(sizer.add(body));
    }
}
void submit_encode(benchmark::State& state) {
    encode(state, make_submit(state.range(0)));
}
void submit_decode(benchmark::State& state) {
    decode(state, make_submit(state.range(0)));
}
void chunk_encode(benchmark::State& state) {
    encode(state, make_chunk(state.range(0)));
}
void continuation_encode(benchmark::State& state) {
    auto body = make_chunk(state.range(0));
    frame_encoder encoder;
    encoder.set_link(link_of(body));
    // As many answers as an agent runs for one router; see docs/CAPACITY.md.
    for (std::uint64_t n = 1; n < 19; ++n) {
        encoder.encode(chunk{.id = {id.router, id.incarnation, id.sequence + n}}).IgnoreError();
    }
    std::size_t bytes = 0;
    for (auto _ : state) {
        body.offset += body.data.size();
        const auto frame = encoder.encode(body);
        bytes = frame->size();
        benchmark::DoNotOptimize(frame);
    }
    state.counters["frame_bytes"] = static_cast<double>(bytes);
}
void chunk_decode(benchmark::State& state) {
    decode(state, make_chunk(state.range(0)));
}
void heartbeat_encode(benchmark::State& state) {
    encode(state, heartbeat{id.incarnation, 410, 2'000, false, 5, 6, 500});
}
void heartbeat_decode(benchmark::State& state) {
    decode(state, heartbeat{id.incarnation, 410, 2'000, false, 5, 6, 500});
}

BENCHMARK(demand_encode)->Arg(1)->Arg(2)->Arg(4)->Arg(8);
BENCHMARK(demand_decode)->Arg(1)->Arg(2)->Arg(4)->Arg(8);
BENCHMARK(grant_encode)->Arg(0)->Arg(2)->Arg(4)->Arg(8);
BENCHMARK(grant_decode)->Arg(0)->Arg(2)->Arg(4)->Arg(8);
BENCHMARK(ledger_encode)->Arg(1)->Arg(64);
BENCHMARK(ledger_size)->Arg(1)->Arg(64);
BENCHMARK(submit_encode)->Arg(100)->Arg(1'000)->Arg(10'000)->Arg(100'000);
BENCHMARK(submit_decode)->Arg(100)->Arg(1'000)->Arg(10'000)->Arg(100'000);
BENCHMARK(chunk_encode)->Arg(10)->Arg(50)->Arg(200)->Arg(1'000);
BENCHMARK(continuation_encode)->Arg(10)->Arg(50)->Arg(200)->Arg(1'000);
BENCHMARK(chunk_decode)->Arg(10)->Arg(50)->Arg(200)->Arg(1'000);
BENCHMARK(heartbeat_encode);
BENCHMARK(heartbeat_decode);

// Evaluates one selector with three requirements for every endpoint, as after a change of the configuration.
void selector_endpoints(benchmark::State& state) {
    const auto pick = selector::parse("model=liner-llm,tier in (gold,silver),!experimental").value();
    std::vector<label_set> endpoints;
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        endpoints.push_back({{"accelerators", "8"},
                             {"model", n % 2 == 0 ? "liner-llm" : "bay-assist"},
                             {"rack", "r" + std::to_string(n / 20)},
                             {"tier", n % 3 == 0 ? "gold" : "silver"}});
    }
    for (auto _ : state) {
        std::size_t count = 0;
        for (const auto& it : endpoints) {
            count += pick.matches(it) ? 1 : 0;
        }
        benchmark::DoNotOptimize(count);
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(selector_endpoints)->Arg(40)->Arg(160)->Arg(320)->Arg(640);

} // namespace
} // namespace dandelionbay::bench
