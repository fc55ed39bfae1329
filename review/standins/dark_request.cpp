// A request under which each runner that runs it falls dark, as when its machine loses power; it is back after a while.
// BUDGET: at most three retries reach runners later than contact_ms after the third crash.
// dark_request FOLDER
#include "kit.hpp"

using namespace kit;

namespace {

constexpr double contact_ms = 4000;
constexpr double back_after_ms = 2500;
const string deadly_path = "/cufi504/deadly";

std::mutex mutex;
std::vector<double> crashes;
std::vector<double> deadly; // When the request reached runners that work.
std::map<string, int> outcomes;
bool crashing = true;
std::atomic<int> incarnation{};

struct machine {
    std::unique_ptr<runner> process{};
    std::atomic<bool> down{};
    std::atomic<bool> crash_now{};
};

void on_call(machine& on, runner& at, runner::call& it) {
    const bool is_deadly = it.request->target() == deadly_path;
    if (!on.crash_now) {
        record().line("runner %s runs %s%s", at.id().c_str(), it.id.c_str(), is_deadly ? " (deadly)" : "");
        if (is_deadly) {
            const std::lock_guard lock{mutex};
            deadly.push_back(now_ms());
        }
        sleep_ms(60);
    }
    if (is_deadly && crashing) {
        on.crash_now = true;
    }
    if (on.crash_now) { // Nothing is answered any more.
        it.keep = false;
        char byte = 0;
        while (recv(it.fd, &byte, 1, 0) > 0) {
        }
        return;
    }
    it.keep = send_all(it.fd, sound_answer(it.id, "{\"rota\":\"current\"}"));
}

/*! Takes a runner's power when it is due, and gives it back after a while; it then has a new id. */
void tend(machine& on, store& platform, const std::atomic<bool>& stop) {
    while (!stop) {
        if (!on.crash_now) {
            sleep_ms(1);
            continue;
        }
        const auto old = on.process->id();
        on.process->set_writing(false);
        {
            const std::lock_guard lock{mutex};
            crashes.push_back(now_ms());
        }
        record().line("runner %s falls dark", old.c_str());
        on.process->port_server().go_dark();
        sleep_ms(back_after_ms);
        char id[32];
        std::snprintf(id, sizeof(id), "i-8a%06x", ++incarnation);
        on.process->port_server().come_back();
        on.crash_now = false;
        on.process->renew(id);
        on.process->write_entry();
        on.process->set_writing(true);
        record().line("runner %s is back as %s", old.c_str(), id);
        std::thread{[&platform, old] { // After three heartbeats of silence.
            sleep_ms(3 * 1200 - back_after_ms);
            platform.remove("servers", old);
        }}
            .detach();
    }
}

} // namespace

int main(int argc, char** argv) {
    const auto& run = begin(argc, argv);
    crashing = run.trouble;
    static store platform;
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
    std::atomic<bool> stop{};
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<std::thread> threads;
    const std::vector<string> zones{"parkland-north", "parkland-east", "grass-south"};
    for (int n = 0; n < 6; ++n) {
        machines.push_back(std::make_unique<machine>());
        auto& it = *machines.back();
        char id[32];
        std::snprintf(id, sizeof(id), "i-8a%06x", ++incarnation);
        it.process = std::make_unique<runner>(platform, id, "wuno96b", zones[n % 3], 6,
                                              [&it](runner& at, runner::call& call) { on_call(it, at, call); });
        it.process->start();
        threads.emplace_back([&it, &stop] { tend(it, platform, stop); });
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
    sleep_ms(3000);
    std::atomic<bool> sends_deadly{};
    std::atomic<int> count{};
    const auto requester = [&](int n, bool is_deadly, double per_s) {
        double next = now_ms() + n * 50.0;
        while (!stop) {
            sleep_until_ms(next);
            next += 1000 / per_s;
            if (is_deadly && !sends_deadly) {
                continue;
            }
            const auto id = new_id(is_deadly ? "d" : "s");
            const int k = ++count;
            auto& to = k % 2 == 0 ? first : second;
            const auto got = send_request(to.front(),
                                          {.path = is_deadly ? deadly_path : "/cufi504/look" + std::to_string(k),
                                           .deadline_ms = 3000,
                                           .key = "asnmgkcuyj8pjbvk9m68"},
                                          id, 3500);
            record().line("%s to %s: status %d, %s", id.c_str(), to.name().c_str(), got.status(),
                          got.complete ? "complete" : "cut");
            const std::lock_guard lock{mutex};
            ++outcomes[(is_deadly ? "deadly " : "sound ") + std::to_string(got.status()) +
                       (got.complete ? "" : " cut")];
        }
    };
    for (int n = 0; n < 20; ++n) {
        threads.emplace_back(requester, n, false, 1.0);
    }
    for (int n = 0; n < 4; ++n) { // It comes again twice a second.
        threads.emplace_back(requester, n * 10, true, 0.5);
    }
    sleep_ms(3000);
    sends_deadly = true;
    sleep_ms(40'000);
    stop = true;
    const std::lock_guard lock{mutex};
    const double third = crashes.size() >= 3 ? crashes[2] : 1e12;
    const auto late = std::ranges::count_if(deadly, [&](double at) { return at > third + contact_ms; });
    string all;
    for (const auto& [what, n] : outcomes) {
        all += (all.empty() ? "" : ", ") + what + ": " + std::to_string(n);
    }
    if (!run.trouble && outcomes["sound 200"] == 0) {
        cannot_run("no request was served");
    }
    finish(late > 3 ? 1 : 0, "BUDGET: " + std::to_string(crashes.size()) + " crashes; the request reached runners " +
                                 std::to_string(late) +
                                 " times later than contact_ms after the third (at most 3 are allowed); " + all);
}
