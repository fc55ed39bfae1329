#include "dandelionbay/standin/standin_platform.hpp"

#include <httplib.h>

#include <algorithm>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/standin/http_host.hpp"
#include "dandelionbay/store/host_json.hpp"

namespace dandelionbay {

namespace {

using nlohmann::json;

constexpr auto* json_type = "application/json";

// Token bucket that holds at most one second's worth.
class rate_limit {
public:
    bool take(time_point now, double per_second) {
        const std::chrono::duration<double> passed = now - last_;
        level_ = std::min(per_second, level_ + passed.count() * per_second);
        last_ = now;
        if (level_ < 1.0) {
            return false;
        }
        level_ -= 1.0;
        return true;
    }

private:
    double level_{0.0};
    time_point last_{};
};

struct host_list_version {
    time_point visible_from{};
    std::vector<host_entry> hosts{};
};

json to_json(const platform_faults& faults) {
    return json{{"down", faults.down},
                {"delay_ms", faults.delay.count()},
                {"lose_answers", faults.lose_answers},
                {"writes_per_second", faults.writes_per_second},
                {"reads_per_second", faults.reads_per_second}};
}

// Throws json::exception if a value has the wrong type. Missing members keep their values.
platform_faults merged(platform_faults faults, const json& change) {
    faults.down = change.value("down", faults.down);
    faults.delay = std::chrono::milliseconds{change.value("delay_ms", faults.delay.count())};
    faults.lose_answers = change.value("lose_answers", faults.lose_answers);
    faults.writes_per_second = change.value("writes_per_second", faults.writes_per_second);
    faults.reads_per_second = change.value("reads_per_second", faults.reads_per_second);
    return faults;
}

// Version demanded by the request's preconditions; none if they are missing or malformed.
std::optional<std::uint64_t> expected_version(const httplib::Request& request) {
    if (request.get_header_value("If-None-Match") == "*") {
        return 0;
    }
    const auto field = request.get_header_value("If-Match");
    absl::string_view tag{field};
    std::uint64_t version = 0;
    if (!absl::ConsumePrefix(&tag, "\"") || !absl::ConsumeSuffix(&tag, "\"") || !absl::SimpleAtoi(tag, &version) ||
        version == 0) {
        return std::nullopt;
    }
    return version;
}

} // namespace

class standin_platform::state {
    // Applies the faults that precede the effect of a call. False if the call must end here.
    bool admit(bool write, httplib::Response& response) {
        const auto now = faults();
        if (now.delay.count() > 0) {
            std::this_thread::sleep_for(now.delay);
        }
        if (now.down) {
            http_host::drop_current();
            return false;
        }
        const std::lock_guard lock{mutex_};
        if (!(write ? writes_.take(clock_.now(), now.writes_per_second)
                    : reads_.take(clock_.now(), now.reads_per_second))) {
            response.status = 429;
            response.set_header("Retry-After", "1");
            return false;
        }
        return true;
    }

    void get_row(const httplib::Request& request, httplib::Response& response) {
        if (!admit(false, response)) {
            return;
        }
        const auto row = rows->get(request.matches[1].str(), request.matches[2].str());
        if (!row.ok()) {
            response.status = 404;
            return;
        }
        const auto tag = absl::StrCat("\"", row->version, "\"");
        response.set_header("ETag", tag);
        if (request.get_header_value("If-None-Match") == tag) {
            response.status = 304;
            return;
        }
        response.set_content(row->value, "application/octet-stream");
    }

    void put_row(const httplib::Request& request, httplib::Response& response) {
        const auto expected = expected_version(request);
        if (!expected) {
            response.status = 428;
            return;
        }
        if (!admit(true, response)) {
            return;
        }
        const auto version = rows->put(request.matches[1].str(), request.matches[2].str(), request.body, *expected);
        if (faults().lose_answers) {
            http_host::drop_current();
        }
        if (!version.ok()) {
            response.status = 412;
            return;
        }
        response.status = *expected == 0 ? 201 : 200;
        response.set_header("ETag", absl::StrCat("\"", *version, "\""));
    }

    void list_table(const httplib::Request& request, httplib::Response& response) {
        if (admit(false, response)) {
            response.set_content(json(rows->list(request.matches[1].str())).dump(), json_type);
        }
    }

    void get_hosts(httplib::Response& response) {
        if (admit(false, response)) {
            response.set_content(hosts_to_json(visible_hosts()), json_type);
        }
    }

    void put_hosts(const httplib::Request& request, httplib::Response& response) {
        auto hosts = hosts_from_json(request.body);
        if (!hosts.ok()) {
            response.status = 400;
            response.set_content(std::string{hosts.status().message()}, "text/plain");
            return;
        }
        set_hosts(*std::move(hosts));
        response.status = 204;
    }

    void post_faults(const httplib::Request& request, httplib::Response& response) {
        try {
            set_faults(merged(faults(), json::parse(request.body)));
            response.set_content(to_json(faults()).dump(), json_type);
        } catch (const json::exception& ec) {
            response.status = 400;
            response.set_content(ec.what(), "text/plain");
        }
    }

    std::vector<host_entry> visible_hosts() {
        const std::lock_guard lock{mutex_};
        while (hosts_.size() > 1 && hosts_[1].visible_from <= clock_.now()) {
            hosts_.pop_front();
        }
        return hosts_.front().hosts;
    }

public:
    state(standin_platform_options settings, std::shared_ptr<table_map> initial)
        : options{std::move(settings)}, rows{std::move(initial)}, faults_{options.faults} {
        hosts_.push_back({time_point{}, options.hosts});
        auto& routes = host.routes();
        // The library matches decoded paths, so a key may contain any byte.
        const std::string row = R"(/tables/([^/]+)/([\s\S]+))";
        routes.Get(row, [this](const auto& request, auto& response) { get_row(request, response); });
        routes.Put(row, [this](const auto& request, auto& response) { put_row(request, response); });
        routes.Get("/tables/([^/]+)", [this](const auto& request, auto& response) { list_table(request, response); });
        routes.Get("/hosts", [this](const auto& /*request*/, auto& response) { get_hosts(response); });
        routes.Put("/hosts", [this](const auto& request, auto& response) { put_hosts(request, response); });
        routes.Post("/faults", [this](const auto& request, auto& response) { post_faults(request, response); });
        routes.Get("/faults", [this](const auto& /*request*/, auto& response) {
            response.set_content(to_json(faults()).dump(), json_type);
        });
    }

    void set_hosts(std::vector<host_entry> hosts) {
        const std::lock_guard lock{mutex_};
        hosts_.push_back({clock_.now() + options.host_list_lag, std::move(hosts)});
    }

    void set_faults(const platform_faults& faults) {
        const std::lock_guard lock{mutex_};
        faults_ = faults;
    }

    [[nodiscard]] platform_faults faults() const {
        const std::lock_guard lock{mutex_};
        return faults_;
    }

    const standin_platform_options options;
    const std::shared_ptr<table_map> rows;

private:
    monotonic_clock clock_;
    mutable std::mutex mutex_;
    platform_faults faults_;
    rate_limit writes_;
    rate_limit reads_;
    std::deque<host_list_version> hosts_;

public:
    http_host host; // Last, so that its threads end before what they use.
};

standin_platform::standin_platform(standin_platform_options options, std::shared_ptr<table_map> rows)
    : state_{std::make_unique<state>(std::move(options),
                                     rows != nullptr ? std::move(rows) : std::make_shared<table_map>())} {}

standin_platform::~standin_platform() = default;

absl::Status standin_platform::start() {
    return state_->host.start(state_->options.listen);
}

void standin_platform::stop() noexcept {
    state_->host.stop();
}

std::uint16_t standin_platform::port() const noexcept {
    return state_->host.port();
}

table_map& standin_platform::rows() noexcept {
    return *state_->rows;
}

void standin_platform::set_hosts(std::vector<host_entry> hosts) {
    state_->set_hosts(std::move(hosts));
}

void standin_platform::set_faults(const platform_faults& faults) {
    state_->set_faults(faults);
}

platform_faults standin_platform::faults() const {
    return state_->faults();
}

} // namespace dandelionbay
