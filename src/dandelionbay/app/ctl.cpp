#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <optional>
#include <span>

#include "absl/flags/flag.h"
#include "dandelionbay/app/admin_client.hpp"
#include "dandelionbay/app/command.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/config/document_edit.hpp"
#include "dandelionbay/settings/process_settings.hpp"

ABSL_FLAG(std::string, server, "127.0.0.1:8081", "administration address of a router");
ABSL_FLAG(std::string, token, "",
          "bearer token of the operators; if empty, the environment variable DANDELIONBAY_TOKEN");
ABSL_FLAG(bool, json, false, "print one line of JSON");

namespace dandelionbay::app {

namespace {

using nlohmann::json;

void print_states(const json& status) {
    std::cout << std::left;
    const auto print = [](const auto& host, const auto& role, const auto& zone, const auto& state) {
        std::cout << std::setw(24) << host << std::setw(8) << role << std::setw(20) << zone << std::setw(9) << state;
    };
    print("HOST", "ROLE", "ZONE", "STATE");
    std::cout << "REVISION\n";
    for (const auto& it : status.at("nodes")) {
        print(it.at("host").get<std::string>(), it.at("role").get<std::string>(), it.at("zone").get<std::string>(),
              it.at("state").get<std::string>());
        std::cout << it.at("config_revision") << '\n';
    }
    std::cout << "majority: " << (status.at("majority").get<bool>() ? "yes" : "no") << '\n';
}

/*! @brief One run of the subcommand. */
class control {
    [[nodiscard]] int report_error(const admin_reply& reply) const {
        if (json_) {
            std::cout << reply.body.dump() << '\n';
            return exit_failed;
        }
        const auto error = reply.body.value("error", json::object());
        return failure(concat("error ", error.value("code", 0), " ", error.value("type", ""),
                              " (executed: ", error.value("executed", "unknown"), "):\n", error.value("message", "")));
    }

    [[nodiscard]] int report_change(const admin_reply& reply) const {
        if (!reply.ok()) {
            return report_error(reply);
        }
        if (json_) {
            std::cout << reply.body.dump() << '\n';
        } else {
            std::cout << "revision " << reply.revision() << '\n';
        }
        return exit_ok;
    }

    [[nodiscard]] int get(const std::string& path) const {
        const auto reply = client_.get(path);
        if (!reply.ok()) {
            return report_error(reply);
        }
        if (json_) {
            std::cout << json{{"revision", reply.revision()}, {"value", reply.body}}.dump() << '\n';
        } else {
            std::cout << reply.body.dump(2) << '\n';
            std::cerr << "revision " << reply.revision() << '\n';
        }
        return exit_ok;
    }

    [[nodiscard]] int status() const {
        const auto reply = client_.get("status");
        if (!reply.ok()) {
            return report_error(reply);
        }
        if (json_) {
            std::cout << reply.body.dump() << '\n';
        } else {
            print_states(reply.body);
        }
        return exit_ok;
    }

    [[nodiscard]] int apply(const std::string& path) const {
        const auto text = read_file(path);
        if (!text.ok()) {
            return usage_error(from_absl(text.status().message()));
        }
        const auto current = client_.get("config");
        return current.ok() ? report_change(client_.send("PUT", "config", current.etag, *text)) : report_error(current);
    }

    /*! Reads the whole document, changes it and writes it back in one step. */
    template<typename Edit>
    [[nodiscard]] int edit(const Edit& change) const {
        auto current = client_.get("config");
        if (!current.ok()) {
            return report_error(current);
        }
        if (const auto status = change(current.body); !status.ok()) {
            return failure(from_absl(status.message()));
        }
        return report_change(client_.send("PUT", "config", current.etag, current.body.dump()));
    }

    [[nodiscard]] int label(std::string kind, const std::string& name, std::span<const std::string> changes) const {
        if (!kind.ends_with('s')) {
            kind += 's';
        }
        if (std::ranges::find(collection_names, kind) == collection_names.end()) {
            return usage_error("KIND is one of team, service, pool, endpoint, zone");
        }
        json patch = json::object();
        for (const auto& it : changes) {
            const auto equals = it.find('=');
            if (equals != std::string::npos) {
                patch[it.substr(0, equals)] = it.substr(equals + 1);
            } else if (it.ends_with('-') && it.size() > 1) {
                patch[it.substr(0, it.size() - 1)] = nullptr;
            } else {
                return usage_error(concat("expected key=value or key-, found ", it));
            }
        }
        const auto path = concat(kind, "/", name);
        const auto current = client_.get(path);
        return current.ok() ? report_change(client_.send("PATCH", path + "/labels", current.etag, patch.dump()))
                            : report_error(current);
    }

public:
    control(admin_client client, bool json_output) : client_{std::move(client)}, json_{json_output} {}

    /*! Returns nothing if the arguments name no action. */
    [[nodiscard]] std::optional<int> run(const argument_list& args) const {
        const auto n = args.size();
        const auto action = n > 0 ? args[0] : "";
        if (action == "get" && n <= 2) {
            return get(n == 2 ? args[1] : "config");
        }
        if (action == "status" && n == 1) {
            return status();
        }
        if (action == "apply" && n == 2) {
            return apply(args[1]);
        }
        if (action == "label" && n >= 4) {
            return label(args[1], args[2], std::span{args}.subspan(3));
        }
        if (action == "zone" && n == 3 && (args[1] == "out" || args[1] == "in")) {
            return edit([&](json& document) { return set_zone_out(document, args[2], args[1] == "out"); });
        }
        if ((action == "drain" || action == "undrain") && n == 2) {
            return edit([&](json& document) { return set_leaving(document, args[1], action == "drain"); });
        }
        return std::nullopt;
    }

private:
    admin_client client_;
    bool json_;
};

[[nodiscard]] int run_ctl(const argument_list& args) {
    const auto server = parse_address(absl::GetFlag(FLAGS_server));
    if (!server.ok()) {
        return usage_error(concat("--server: ", from_absl(server.status().message())));
    }
    auto token = absl::GetFlag(FLAGS_token);
    if (const auto* const variable = std::getenv("DANDELIONBAY_TOKEN"); token.empty() && variable != nullptr) {
        token = variable;
    }
    const control it{admin_client{*server, token}, absl::GetFlag(FLAGS_json)};
    const auto status = it.run(args);
    return status ? *status : usage_error("unknown action; see dandelionbay ctl --help");
}

} // namespace

command ctl_command() {
    return {"ctl",
            "ACTION [--server=IP:PORT] [--token=TOKEN] [--json]",
            "Reads and changes the configuration of a fleet through one router. Nothing is repeated; after a failed\n"
            "change, read again and decide.\n\n"
            "  get [PATH]                       print the configuration, or a part such as teams or zones/NAME\n"
            "  apply FILE                       replace the whole configuration\n"
            "  label KIND NAME key=value key-   set and remove labels of a team, service, pool, endpoint or zone\n"
            "  zone out|in NAME                 take an availability zone out of service or back\n"
            "  drain NAME, undrain NAME         stop or resume new work for an endpoint\n"
            "  status                           print the hosts and the revision each has in force\n",
            {"server", "token", "json"},
            run_ctl};
}

} // namespace dandelionbay::app
