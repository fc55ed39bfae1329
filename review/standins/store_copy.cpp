// The store comes back from a copy some seconds old. Modes: "cold" (FAILBACK) and "evacuate" (EVAC).
// store_copy FOLDER MODE COPY_AGE_MS
#include "kit.hpp"

using namespace kit;

namespace {

constexpr double cold_per_s = 13.0;
constexpr double cold_bound = cold_per_s * 1.5 + 5; // cold_excess 1.5, cold_slack 5
constexpr double cold_ms = 3000;
constexpr double evacuate_ms = 5000;
constexpr double contact_ms = 4000;
constexpr double away_ms = 1000;
constexpr int calls_per_s = 160; // The pprota-bay sheet has 163.

struct arrival {
    double sent{};
    double arrived{};
};

std::mutex mutex;
std::map<string, double> sent_at;                // By request.
std::map<string, std::vector<arrival>> arrivals; // By runner, requests that ran.
std::map<int, int> statuses;

void on_call(runner& at, runner::call& it) {
    const double now = now_ms();
    {
        const std::lock_guard lock{mutex};
        const auto sent = sent_at.find(it.id);
        arrivals[at.id()].push_back({sent == sent_at.end() ? now : sent->second, now});
    }
    record().line("runner %s runs %s", at.id().c_str(), it.id.c_str());
    sleep_ms(20);
    it.keep = send_all(it.fd, sound_answer(it.id, "{\"rota\":\"current\"}"));
}

json manifest() {
    return {{"version", 7},
            {"routes", json::array({{{"name", "r-lookup"},
                                     {"host", "ficu95.example"},
                                     {"prefix", "/lohu930/"},
                                     {"kind", "safe"},
                                     {"timeout_ms", 3000},
                                     {"target_latency_ms", 400},
                                     {"priority", 1},
                                     {"service", "huvo11a"},
                                     {"max_attempts", 2},
                                     {"public", true},
                                     {"allowed_regions", json::array()}}})},
            {"services", json::array({{{"name", "huvo11a"},
                                       {"health_path", "/health"},
                                       {"max_conns", 360},
                                       {"cold_start_s", 3.0},
                                       {"cold_per_s", cold_per_s}}})},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

/*! The most requests that arrived at a runner in one second, sent and arrived inside it, from a time on. */
std::size_t most_in_a_second(const std::vector<arrival>& all, double from, double to) {
    std::size_t most = 0;
    for (const auto& first : all) {
        if (first.sent < from || first.arrived > to) {
            continue;
        }
        const auto n = std::ranges::count_if(all, [&](const arrival& it) {
            return it.sent >= first.sent && it.arrived < first.sent + 1000 && it.arrived <= to;
        });
        most = std::max(most, static_cast<std::size_t>(n));
    }
    return most;
}

} // namespace

int main(int argc, char** argv) {
    const auto& run = begin(argc, argv);
    const string mode = argc > 2 ? argv[2] : "cold";
    const double copy_age = argc > 3 ? std::atof(argv[3]) : 6000;

    store platform;
    platform.open();
    platform.put("op", "config", manifest());
    const std::vector<string> zones{"parkland-north", "parkland-east", "grass-south"};
    std::vector<std::unique_ptr<runner>> runners;
    for (int n = 0; n < 6; ++n) { // Two runners in each zone.
        char id[16];
        std::snprintf(id, sizeof(id), "i-7f3a91c%d", n);
        runners.push_back(std::make_unique<runner>(platform, id, "huvo11a", zones[n % 3], 64, on_call));
        runners.back()->start();
        sleep_ms(37); // Their heartbeats come at different moments.
    }
    gateway first{run.temporary, {"front-parkland-north-1", "parkland-north"}, platform.port()};
    gateway second{run.temporary, {"front-parkland-east-1", "parkland-east"}, platform.port()};
    first.set_seeds({first.control(), second.control()});
    second.set_seeds({first.control(), second.control()});
    first.start();
    second.start();
    if (!first.wait_ready() || !second.wait_ready()) {
        cannot_run("a gateway did not get ready");
    }

    std::atomic<bool> stop{};
    const int calls = mode == "cold" ? calls_per_s : 30;
    std::vector<std::thread> requesters;
    constexpr int threads = 30;
    for (int n = 0; n < threads; ++n) {
        requesters.emplace_back([&, n] {
            double next = now_ms() + n * 1000.0 / calls;
            while (!stop) {
                sleep_until_ms(next);
                next += threads * 1000.0 / calls;
                const auto id = new_id();
                const double sent = now_ms();
                {
                    const std::lock_guard lock{mutex};
                    sent_at[id] = sent;
                }
                auto& to = n % 2 == 0 ? first : second;
                const auto got = send_request(to.front(), {.path = "/lohu930/2f"}, id, 6500);
                record().line("%s to %s sent at %.1f: answer %d", id.c_str(), to.name().c_str(), sent, got.status());
                const std::lock_guard lock{mutex};
                ++statuses[got.complete ? got.status() : 0];
            }
        });
    }

    sleep_ms(6000);
    if (run.trouble) {
        platform.keep_copy();
        record().line("the store is copied at version %llu", static_cast<unsigned long long>(platform.version()));
    }
    sleep_ms(copy_age);
    if (run.trouble) {
        record().line("the store goes away at version %llu", static_cast<unsigned long long>(platform.version()));
        platform.go_away();
        sleep_ms(away_ms);
        platform.come_back(true);
        record().line("the store is back from the copy at version %llu",
                      static_cast<unsigned long long>(platform.version()));
    }
    const double back = now_ms();
    if (run.trouble) { // What the operator wrote is written again; the runners' next heartbeats do the same.
        platform.put("op", "config", manifest());
    }
    int code = 0;
    string seen;
    if (mode == "cold") {
        sleep_until_ms(back + 500);
        auto& it = *runners[0];
        it.set_cold(cold_ms);
        const auto version = it.write_entry();
        const double from = now_ms();
        record().line("runner %s is cold for %.0f ms; the store accepted its entry as version %llu", it.id().c_str(),
                      cold_ms, static_cast<unsigned long long>(version));
        sleep_until_ms(from + cold_ms + 1000);
        const std::lock_guard lock{mutex};
        const auto most = most_in_a_second(arrivals[it.id()], from, from + cold_ms);
        code = static_cast<double>(most) > cold_bound ? 1 : 0;
        seen = "FAILBACK: a cold runner got " + std::to_string(most) + " requests in one second; the bound is " +
               std::to_string(cold_bound);
    } else {
        sleep_until_ms(back + contact_ms + 100); // The store has been without disruption for contact_ms.
        const auto version = platform.put("op", "evacuate/parkland-east", json::object());
        const double acked = now_ms();
        record().line("the store accepted the evacuation of parkland-east as version %llu",
                      static_cast<unsigned long long>(version));
        sleep_until_ms(acked + evacuate_ms + 3000);
        const std::lock_guard lock{mutex};
        std::size_t late = 0;
        double last = 0;
        for (std::size_t n = 1; n < runners.size(); n += 3) {
            for (const auto& it : arrivals[runners[n]->id()]) {
                last = std::max(last, it.arrived);
                late += it.arrived > acked + evacuate_ms ? 1 : 0;
            }
        }
        code = late > 0 ? 1 : 0;
        seen = "EVAC: " + std::to_string(late) +
               " requests reached runners of parkland-east later than evacuate_ms after " +
               "the ack of its evacuation; the last one " + std::to_string(static_cast<int>(last - acked)) +
               " ms after it";
    }
    stop = true;
    string all;
    {
        const std::lock_guard lock{mutex};
        for (const auto& [status, n] : statuses) {
            all += " " + std::to_string(status) + ": " + std::to_string(n);
        }
    }
    record().line("answers by status:%s", all.c_str());
    finish(code, seen);
}
