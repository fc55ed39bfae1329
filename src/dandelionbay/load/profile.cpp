#include "dandelionbay/load/profile.hpp"

#include <set>
#include <utility>

#include "dandelionbay/base/text.hpp"
#include "dandelionbay/config/json_reader.hpp"

namespace dandelionbay::load {

namespace {

using internal::object_reader;
using internal::presence;
using nlohmann::json;

constexpr double least_rate = 0.001;
constexpr double greatest_rate = 10'000;
/*! A prompt of this length has 4 MB, half of the largest frame between router and agent. */
constexpr std::int64_t max_tokens = 1'000'000;

/*! @brief Reads one profile; the result is of use only if no fault was found. */
class profile_reader {
    void read_range(object_reader& team, std::string_view key, token_range& out) {
        const auto* const value = team.child(key, presence::optional);
        if (value == nullptr) {
            return;
        }
        object_reader reader{*value, team.path_of(key), faults_};
        reader.integer("min", presence::required, out.min, 1, max_tokens);
        reader.integer("max", presence::required, out.max, 1, max_tokens);
        if (value->is_object() && out.min > out.max) {
            reader.fault("max", "is less than min");
        }
        reader.finish();
    }

    void read_path(object_reader& orders, std::string& out) {
        if (orders.text("path", presence::optional, out) &&
            (!out.starts_with('/') || out.find_first_of(" \t\r\n#") != std::string::npos)) {
            orders.fault("path", "expected a path with a leading slash and without blanks");
        }
    }

    void read_orders(object_reader& team, std::optional<order_profile>& out) {
        const auto* const value = team.child("orders", presence::optional);
        if (value == nullptr) {
            return;
        }
        object_reader reader{*value, team.path_of("orders"), faults_};
        auto& it = out.emplace();
        reader.name("service", presence::required, it.service);
        read_path(reader, it.path);
        reader.number("rate", presence::required, it.rate, least_rate, greatest_rate);
        if (const auto* const body = reader.child("body", presence::optional); body != nullptr) {
            if (body->is_object()) {
                it.body = *body;
            } else {
                reader.fault("body", concat("expected an object, found ", body->type_name()));
            }
        }
        reader.text("id_field", presence::optional, it.id_field);
        reader.integer("connections", presence::optional, it.connections, 1, max_connections);
        connections_ += it.connections;
        reader.finish();
    }

    void read_team(const json& value, std::string path) {
        object_reader reader{value, std::move(path), faults_};
        team_profile it;
        if (reader.name("name", presence::required, it.name) && !names_.insert(it.name).second) {
            reader.fault("name", "this team is listed twice");
        }
        reader.token("token", presence::required, it.token);
        if (reader.text("model", presence::required, it.model) && it.model.empty()) {
            reader.fault("model", "the model is empty");
        }
        reader.number("rate", presence::required, it.rate, least_rate, greatest_rate);
        read_range(reader, "prompt_tokens", it.prompt_tokens);
        read_range(reader, "output_tokens", it.output_tokens);
        reader.number("streamed", presence::optional, it.streamed, 0, 1);
        reader.integer("connections", presence::optional, it.connections, 1, max_connections);
        connections_ += it.connections;
        read_orders(reader, it.orders);
        reader.finish();
        profile_.teams.push_back(std::move(it));
    }

    void read_root(object_reader& root) {
        root.each("teams", presence::required,
                  [this](const json& value, std::string path) { read_team(value, std::move(path)); });
        root.finish();
        if (faults_.empty() && profile_.teams.empty()) {
            root.fault("teams", "expected at least one team");
        }
        if (connections_ > max_connections) {
            root.fault("teams",
                       concat("expected at most ", max_connections, " connections in all, found ", connections_));
        }
    }

public:
    [[nodiscard]] absl::StatusOr<load_profile> run(std::string_view text) {
        auto status = internal::read_document(text, faults_, [this](object_reader& root) { read_root(root); });
        if (!status.ok()) {
            return status;
        }
        return std::move(profile_);
    }

private:
    load_profile profile_;
    internal::fault_list faults_;
    std::set<std::string> names_;
    std::uint64_t connections_{0};
};

} // namespace

double load_profile::rate() const noexcept {
    double sum = 0;
    for (const auto& it : teams) {
        sum += it.rate + (it.orders ? it.orders->rate : 0);
    }
    return sum;
}

absl::StatusOr<load_profile> check_profile(std::string_view text) {
    return profile_reader{}.run(text);
}

} // namespace dandelionbay::load
