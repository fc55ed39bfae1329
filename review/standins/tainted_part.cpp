// Requests with a prompt part that crashes each runner that begins to write an answer on it. BUDGET: later than
// contact_ms after the fifth crash, at most three of them reach runners.
// tainted_part FOLDER EVENTS RESUMABLE: a runner writes EVENTS events of the answer, and crashes.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr double contact_ms = 4000;
constexpr double back_after_ms = 3000;
constexpr double cold_ms = 3000;
const string tainted_part = "91bd3f06";

std::mutex mutex;
std::vector<double> crashes;
std::map<string, double> sent_at;
struct arrival {
    string id{};
    double sent{};
    double arrived{};
};
std::vector<arrival> tainted;
std::map<string, int> outcomes;
int written_events = 1;
bool crashing = true;
std::atomic<int> incarnation{};

struct machine {
    std::unique_ptr<runner> process{};
    std::atomic<bool> down{};
    std::atomic<bool> crash_now{};
};

string event(int n) {
    return "id: " + std::to_string(n) + "\ndata: piece " + std::to_string(n) + "\n\n";
}

string chunk(const string& text) {
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

void on_call(machine& on, runner& at, runner::call& it) {
    const bool is_tainted = it.request->field("Dandelionbay-Prompt-Prefix").find(tainted_part) != string::npos;
    const double now = now_ms();
    const auto last = it.request->field("Last-Event-Id");
    const int from = last.empty() ? 0 : std::atoi(last.c_str());
    record().line("runner %s runs %s%s%s%s", at.id().c_str(), it.id.c_str(), is_tainted ? " (tainted)" : "",
                  last.empty() ? "" : " after event ", last.c_str());
    if (is_tainted) {
        const std::lock_guard lock{mutex};
        tainted.push_back({it.id, sent_at[it.id], now});
    }
    sleep_ms(60);
    string out = "HTTP/1.1 200 OK\r\nDandelionbay-Request-Id: " + it.id +
                 "\r\nDandelionbay-Response-Seal: " + seal_of(it.id) +
                 "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const bool crashes_here = is_tainted && crashing;
    constexpr int events = 8;
    for (int n = from + 1; n <= events; ++n) {
        if (crashes_here && n > from + written_events) {
            break;
        }
        out += chunk(event(n));
        if (!send_all(it.fd, out)) {
            it.keep = false;
            return;
        }
        out.clear();
        sleep_ms(20);
    }
    if (crashes_here) {
        it.keep = false;
        on.crash_now = true;
        char byte = 0; // The connection ends with the process, after its port.
        while (recv(it.fd, &byte, 1, 0) > 0) {
        }
        return;
    }
    it.keep = send_all(it.fd, out + "0\r\n\r\n");
}

/*! Crashes a runner when it is due, and starts it again after a while, cold and under a new id. */
void tend(machine& on, store& platform, const std::atomic<bool>& stop) {
    while (!stop) {
        if (!on.crash_now) {
            sleep_ms(1);
            continue;
        }
        const auto old = on.process->id();
        on.process->set_writing(false);
        on.process->crash();
        {
            const std::lock_guard lock{mutex};
            crashes.push_back(now_ms());
        }
        record().line("runner %s crashes", old.c_str());
        sleep_ms(back_after_ms);
        char id[32];
        std::snprintf(id, sizeof(id), "i-8a%06x", ++incarnation);
        on.crash_now = false;
        on.process->restart(id);
        on.process->set_cold(cold_ms);
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
    written_events = argc > 2 ? std::atoi(argv[2]) : 1;
    const bool resumable = argc > 3 && string{argv[3]} == "resumable";
    crashing = run.trouble;
    static store platform;
    platform.open();
    platform.put("op", "config",
                 {{"version", 7},
                  {"routes", json::array({{{"name", "r-stream"},
                                           {"host", "ficu95.example"},
                                           {"prefix", "/lohu930/"},
                                           {"kind", "streaming"},
                                           {"timeout_ms", 5000},
                                           {"target_latency_ms", 600},
                                           {"target_gap_ms", 300},
                                           {"priority", 1},
                                           {"service", "huvo11a"},
                                           {"max_attempts", resumable ? 2 : 1},
                                           {"public", false},
                                           {"sticky", true},
                                           {"resumable", resumable},
                                           {"allowed_regions", json::array()}}})},
                  {"services", json::array({{{"name", "huvo11a"},
                                             {"health_path", "/health"},
                                             {"max_conns", 360},
                                             {"cold_start_s", 3.0},
                                             {"cold_per_s", 13.0},
                                             {"engine", {{"slots", 64}, {"kv_capacity", 273387}, {"stride", 4}}}}})},
                  {"limits",
                   {{"max_header_bytes", 16384},
                    {"max_body_bytes", 4194304},
                    {"header_timeout_ms", 3000},
                    {"idle_timeout_ms", 15000},
                    {"tokens_per_s", 240000}}},
                  {"tenants", json::array({{{"name", "hule930"},
                                            {"api_keys", json::array({"asnmgkcuyj8pjbvk9m68"})},
                                            {"priority", 1},
                                            {"allowed_regions", json::array()}}})}});
    std::atomic<bool> stop{};
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<std::thread> threads;
    const std::vector<string> zones{"parkland-north", "parkland-east", "grass-south"};
    for (int n = 0; n < 9; ++n) {
        machines.push_back(std::make_unique<machine>());
        auto& it = *machines.back();
        char id[32];
        std::snprintf(id, sizeof(id), "i-8a%06x", ++incarnation);
        it.process = std::make_unique<runner>(platform, id, "huvo11a", zones[n % 3], 64,
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
    std::atomic<bool> sends_tainted{};
    std::atomic<int> last_part{};
    const auto requester = [&](int n, bool is_tainted, double per_s) {
        double next = now_ms() + n * 50.0;
        while (!stop) {
            sleep_until_ms(next);
            next += 1000 / per_s;
            if (is_tainted && !sends_tainted) {
                continue;
            }
            const auto id = new_id(is_tainted ? "t" : "s");
            char parts[200];
            // The same first part and caller; sound requests have other second parts; the last part is the request's.
            std::snprintf(parts, sizeof(parts), "5c1e07a2:800,%s:410,e44%05x:250",
                          is_tainted ? tainted_part.c_str() : ("91bd3f1" + std::to_string(n % 8)).c_str(), ++last_part);
            {
                const std::lock_guard lock{mutex};
                sent_at[id] = now_ms();
            }
            auto& to = last_part % 2 == 0 ? first : second;
            const auto got = send_request(to.front(),
                                          {.method = "POST",
                                           .path = "/lohu930/2f",
                                           .fields = {{"Dandelionbay-Model", "m"},
                                                      {"Dandelionbay-Token-Count", "1460,32"},
                                                      {"Dandelionbay-Prompt-Prefix", parts}},
                                           .body = "prompt " + id,
                                           .deadline_ms = 5000,
                                           .key = "asnmgkcuyj8pjbvk9m68"},
                                          id, 5500);
            record().line("%s to %s: status %d, %s", id.c_str(), to.name().c_str(), got.status(),
                          got.complete ? "complete" : "cut");
            const std::lock_guard lock{mutex};
            ++outcomes[(is_tainted ? "tainted " : "sound ") + std::to_string(got.status()) +
                       (got.complete ? "" : " cut")];
        }
    };
    for (int n = 0; n < 24; ++n) {
        threads.emplace_back(requester, n, false, 2.0);
    }
    threads.emplace_back(requester, 0, true, 1.5);
    sleep_ms(4000);
    sends_tainted = true;
    sleep_ms(30'000);
    stop = true;
    const std::lock_guard lock{mutex};
    std::size_t late = 0;
    const double fifth = crashes.size() >= 5 ? crashes[4] : 1e12;
    for (const auto& it : tainted) {
        late += it.sent > fifth + contact_ms ? 1 : 0;
    }
    string all;
    for (const auto& [what, n] : outcomes) {
        all += (all.empty() ? "" : ", ") + what + ": " + std::to_string(n);
    }
    record().line("outcomes: %s", all.c_str());
    if (!run.trouble && outcomes["sound 200"] == 0) {
        cannot_run("no request was served");
    }
    finish(late > 3 ? 1 : 0, "BUDGET: " + std::to_string(crashes.size()) + " crashes; " + std::to_string(late) +
                                 " requests with the part reached runners, sent later than contact_ms after the fifth "
                                 "(at most 3 are allowed); " +
                                 all);
}
