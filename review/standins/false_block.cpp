// Two runners crash one after the other while the first requests with a new shared prompt part are read there. The part
// is sound. DENIED: at most 5 + one in 500 of all requests are ended with a 4xx of the gateways' own.
// false_block FOLDER GAP_MS: the second crash comes GAP_MS after the first.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr double back_after_ms = 2000;
constexpr double hot_ms = 5500;
constexpr double cold_ms = 3000;
/*! A prompt of 35,000 tokens that nobody has read before, at 51.1 tokens a ms (the largest ones are longer). */
constexpr double reading_ms = 680;
/*! The same where the document is kept: the rest, 23,000 tokens. */
constexpr double reading_kept_ms = 450;
const string new_part = "91bd3f06";

std::mutex mutex;
std::map<string, int> outcomes;
int requests{};
int denied{};
int crashes{};
std::atomic<int> incarnation{};

struct machine {
    std::unique_ptr<runner> process{};
    std::atomic<bool> down{};
    std::atomic<bool> crash_now{};
    std::atomic<bool> keeps_part{};
    std::set<string> reading{}; //!< Requests with the new part whose answer has not begun.
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
    const bool is_new = it.request->field("Dandelionbay-Prompt-Prefix").find(new_part) != string::npos;
    const auto last = it.request->field("Last-Event-Id");
    record().line("runner %s runs %s%s%s%s", at.id().c_str(), it.id.c_str(), is_new ? " (new part)" : "",
                  last.empty() ? "" : " after event ", last.c_str());
    if (is_new) {
        {
            const std::lock_guard lock{mutex};
            on.reading.insert(it.id);
        }
        const double until = now_ms() + (on.keeps_part ? reading_kept_ms : reading_ms);
        while (now_ms() < until && !on.crash_now) {
            sleep_ms(2);
        }
        on.keeps_part = !on.crash_now;
        const std::lock_guard lock{mutex};
        on.reading.erase(it.id);
    } else {
        sleep_ms(60);
    }
    string out = "HTTP/1.1 200 OK\r\nDandelionbay-Request-Id: " + it.id +
                 "\r\nDandelionbay-Response-Seal: " + seal_of(it.id) +
                 "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    constexpr int events = 8;
    for (int n = (last.empty() ? 0 : std::atoi(last.c_str())) + 1; n <= events; ++n) {
        if (on.crash_now) {
            it.keep = false;
            char byte = 0; // The connection ends with the process, after its port.
            while (recv(it.fd, &byte, 1, 0) > 0) {
            }
            return;
        }
        out += chunk(event(n));
        if (!send_all(it.fd, out)) {
            it.keep = false;
            return;
        }
        out.clear();
        sleep_ms(20);
    }
    it.keep = send_all(it.fd, "0\r\n\r\n");
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
            ++crashes;
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
    const double gap_ms = argc > 2 ? std::atof(argv[2]) : 400;
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
                                           {"max_attempts", 2},
                                           {"public", false},
                                           {"sticky", true},
                                           {"resumable", true},
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
    std::atomic<bool> sends_new{};
    std::atomic<int> last_part{};
    const auto requester = [&](int n, bool is_new, double per_s) {
        double next = now_ms() + n * 50.0;
        while (!stop) {
            sleep_until_ms(next);
            next += 1000 / per_s;
            if (is_new && !sends_new) {
                continue;
            }
            const auto id = new_id(is_new ? "n" : "s");
            char parts[200];
            // The same first part and caller; the second part is a document; the last part is the request's own.
            std::snprintf(parts, sizeof(parts), "5c1e07a2:800,%s,e44%05x:%d",
                          is_new ? (new_part + ":11300").c_str() : ("91bd3f1" + std::to_string(n % 8) + ":410").c_str(),
                          ++last_part, is_new ? 22900 : 250);
            auto& to = last_part % 2 == 0 ? first : second;
            const auto got = send_request(to.front(),
                                          {.method = "POST",
                                           .path = "/lohu930/2f",
                                           .fields = {{"Dandelionbay-Model", "m"},
                                                      {"Dandelionbay-Token-Count", is_new ? "35000,32" : "1460,32"},
                                                      {"Dandelionbay-Prompt-Prefix", parts}},
                                           .body = "prompt " + id,
                                           .deadline_ms = 5000,
                                           .key = "asnmgkcuyj8pjbvk9m68"},
                                          id, 5500);
            record().line("%s to %s: status %d, %s", id.c_str(), to.name().c_str(), got.status(),
                          got.complete ? "complete" : "cut");
            const std::lock_guard lock{mutex};
            ++requests;
            const auto status = got.status();
            denied +=
                status / 100 == 3 || (status / 100 == 4 && status != 408 && status != 421 && status != 429) ? 1 : 0;
            ++outcomes[(is_new ? "new part " : "others ") + std::to_string(status) + (got.complete ? "" : " cut")];
        }
    };
    for (int n = 0; n < 24; ++n) {
        threads.emplace_back(requester, n, false, 2.0);
    }
    for (int n = 0; n < 13; ++n) { // One key gets much of the traffic: 13 requests a second.
        threads.emplace_back(requester, n, true, 1.0);
    }
    sleep_ms(5000);
    sends_new = true;
    const double hot_until = now_ms() + hot_ms;
    /*! A runner that reads at least so many requests with the new part. */
    const auto busy_reading = [&](std::size_t least, const machine* other) -> machine* {
        const double until = now_ms() + 5000;
        while (now_ms() < until) {
            {
                const std::lock_guard lock{mutex};
                for (const auto& it : machines) {
                    if (it.get() != other && !it->crash_now && it->reading.size() >= least) {
                        return it.get();
                    }
                }
            }
            sleep_ms(1);
        }
        return nullptr;
    };
    auto* const one = busy_reading(1, nullptr);
    const double first_crash = now_ms();
    if (one == nullptr) {
        cannot_run("no runner read a request with the new part");
    }
    if (run.trouble) {
        one->crash_now = true;
        sleep_until_ms(first_crash + gap_ms);
        auto* const two = busy_reading(1, one);
        if (two == nullptr) {
            cannot_run("no other runner read a request with the new part");
        }
        two->crash_now = true;
    }
    sleep_until_ms(hot_until);
    sends_new = false; // Only the requests that were sent until then count.
    sleep_until_ms(first_crash + 12'000);
    stop = true;
    const std::lock_guard lock{mutex};
    string all;
    for (const auto& [what, n] : outcomes) {
        all += (all.empty() ? "" : ", ") + what + ": " + std::to_string(n);
    }
    const double bound = 5 + requests / 500.0;
    finish(denied > bound ? 1 : 0, "DENIED: " + std::to_string(crashes) + " runners crashed once each; " +
                                       std::to_string(denied) + " of " + std::to_string(requests) +
                                       " proper requests were ended with a 4xx (at most " + std::to_string(bound) +
                                       " are allowed); " + all);
}
