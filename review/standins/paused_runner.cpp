// A runner that turns a request away with 503 and Retry-After, and whose entry another writer overwrites in that time.
// BUDGET: at most two requests reach it from the gateway between half a second after that answer and the end of the
// time. paused_runner FOLDER
#include "kit.hpp"

using namespace kit;

namespace {

constexpr double pause_ms = 10'000;
constexpr double left_ms = 500;

std::mutex mutex;
double turned_away_at{};
std::vector<double> in_pause;
std::map<int, int> statuses;

void on_call(runner& at, runner::call& it) {
    const double now = now_ms();
    if (at.id() == "i-02d9e6b0") {
        const std::lock_guard lock{mutex};
        if (turned_away_at == 0 && now > 4000) {
            turned_away_at = now;
            record().line("runner %s turns %s away with Retry-After: 10", at.id().c_str(), it.id.c_str());
            it.keep = send_all(
                it.fd,
                answer(503, "Service Unavailable",
                       {{"Dandelionbay-Request-Id", it.id}, {"Dandelionbay-Not-Executed", "1"}, {"Retry-After", "10"}},
                       ""));
            return;
        }
        if (turned_away_at > 0 && now > turned_away_at + left_ms && now < turned_away_at + pause_ms) {
            in_pause.push_back(now - turned_away_at);
        }
    }
    record().line("runner %s runs %s", at.id().c_str(), it.id.c_str());
    sleep_ms(60);
    it.keep = send_all(it.fd, sound_answer(it.id, "{\"rota\":\"current\"}"));
}

} // namespace

int main(int argc, char** argv) {
    const auto& run = begin(argc, argv);
    store platform;
    platform.open();
    platform.put("op", "config",
                 {{"version", 7},
                  {"routes", json::array({{{"name", "r-lookup"},
                                           {"host", "ficu95.example"},
                                           {"prefix", "/cufi504/"},
                                           {"kind", "safe"},
                                           {"timeout_ms", 3000},
                                           {"target_latency_ms", 400},
                                           {"priority", 1},
                                           {"service", "wuno96b"},
                                           {"max_attempts", 2},
                                           {"public", false},
                                           {"allowed_regions", json::array()}}})},
                  {"services", json::array({{{"name", "wuno96b"},
                                             {"health_path", "/health"},
                                             {"max_conns", 100},
                                             {"cold_start_s", 0.0},
                                             {"cold_per_s", 0.0}}})},
                  {"limits",
                   {{"max_header_bytes", 16384},
                    {"max_body_bytes", 4194304},
                    {"header_timeout_ms", 3000},
                    {"idle_timeout_ms", 15000}}},
                  {"tenants", json::array({{{"name", "hule930"},
                                            {"api_keys", json::array({"asnmgkcuyj8pjbvk9m68"})},
                                            {"priority", 1},
                                            {"allowed_regions", json::array()}}})}});
    std::vector<std::unique_ptr<runner>> runners;
    for (int n = 0; n < 3; ++n) {
        runners.push_back(std::make_unique<runner>(platform, "i-02d9e6b" + std::to_string(n), "wuno96b",
                                                   "parkland-north", 6, on_call));
        runners.back()->start();
        sleep_ms(130);
    }
    gateway node{run.temporary, {}, platform.port()};
    node.start();
    if (!node.wait_ready()) {
        cannot_run("the gateway did not get ready");
    }
    std::atomic<bool> stop{};
    std::vector<std::thread> requesters;
    for (int n = 0; n < 8; ++n) { // 23 requests a second, as on the sheet of pprota-bay.
        requesters.emplace_back([&, n] {
            double next = now_ms() + n * 43.0;
            while (!stop) {
                sleep_until_ms(next);
                next += 8 * 1000.0 / 23;
                const auto id = new_id();
                const auto got =
                    send_request(node.front(),
                                 {.path = "/cufi504/2f", .deadline_ms = 6000, .key = "asnmgkcuyj8pjbvk9m68"}, id, 6500);
                record().line("%s: answer %d", id.c_str(), got.status());
                const std::lock_guard lock{mutex};
                ++statuses[got.complete ? got.status() : 0];
            }
        });
    }
    const auto turned_away = [] {
        const std::lock_guard lock{mutex};
        return turned_away_at;
    };
    while (turned_away() == 0) {
        if (now_ms() > 30'000) {
            cannot_run("no request reached the runner");
        }
        sleep_ms(10);
    }
    sleep_until_ms(turned_away() + 1500);
    if (run.trouble) {
        platform.put_raw("servers", "i-02d9e6b0", "\xff\xfe no entry of a runner");
        record().line("another writer overwrites the entry of i-02d9e6b0; its next heartbeat writes it again");
    }
    sleep_until_ms(turned_away() + pause_ms);
    stop = true;
    const std::lock_guard lock{mutex};
    string all;
    for (const auto& [status, n] : statuses) {
        all += " " + std::to_string(status) + ": " + std::to_string(n);
    }
    record().line("answers by status:%s", all.c_str());
    finish(
        in_pause.size() > 2 ? 1 : 0,
        "BUDGET: " + std::to_string(in_pause.size()) +
            " requests reached the runner between half a second after its 503 with Retry-After and the end of that "
            "time (at most 2 are allowed)" +
            (in_pause.empty() ? "" : "; the first " + std::to_string(static_cast<int>(in_pause[0])) + " ms after it"));
}
