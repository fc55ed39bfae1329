#include "dandelionbay/app/command.hpp"

#include <algorithm>
#include <iostream>
#include <optional>

#include "absl/flags/reflection.h"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay::app {

namespace {

[[nodiscard]] bool asks_help(std::string_view arg) {
    return arg == "--help" || arg == "-h";
}

void print_overview(std::span<const command> commands, std::ostream& out) {
    out << "usage: dandelionbay COMMAND [--help]\n\ncommands:\n";
    for (const auto& it : commands) {
        out << "  " << it.name << ' ' << it.arguments << '\n';
    }
}

void print_help(const command& it, std::ostream& out) {
    out << "usage: dandelionbay " << it.name << ' ' << it.arguments << "\n\n" << it.summary << '\n';
    for (const auto name : it.flags) {
        if (const auto* const flag = absl::FindCommandLineFlag(to_absl(name)); flag != nullptr) {
            out << "  --" << name << "  " << flag->Help();
            out << (flag->DefaultValue().empty() ? "" : " (default " + flag->DefaultValue() + ")") << '\n';
        }
    }
}

/*! @brief Sets the flags among the arguments of one subcommand. */
class argument_parser {
    [[nodiscard]] bool known(std::string_view name) const {
        return std::ranges::find(command_->flags, name) != command_->flags.end();
    }

    /*! Sets one flag; returns the message of a fault. */
    [[nodiscard]] std::string set_flag(std::string_view text, std::span<const std::string>& rest) {
        const auto equals = text.find('=');
        const auto name = text.substr(0, equals);
        auto* const flag = known(name) ? absl::FindCommandLineFlag(to_absl(name)) : nullptr;
        if (flag == nullptr) {
            return concat("unknown flag --", name);
        }
        std::string value;
        if (equals != std::string_view::npos) {
            value = std::string{text.substr(equals + 1)};
        } else if (flag->IsOfType<bool>()) {
            value = "true";
        } else if (!rest.empty()) {
            value = rest.front();
            rest = rest.subspan(1);
        } else {
            return concat("--", name, " needs a value");
        }
        std::string fault;
        return flag->ParseFrom(value, &fault) ? "" : concat("--", name, ": ", fault);
    }

public:
    explicit argument_parser(const command& it) : command_{&it} {}

    /*! Returns the other arguments, or nothing after it reported a fault. */
    [[nodiscard]] std::optional<argument_list> run(std::span<const std::string> rest) {
        argument_list out;
        while (!rest.empty()) {
            const std::string_view arg = rest.front();
            rest = rest.subspan(1);
            if (!arg.starts_with("--")) {
                out.emplace_back(arg);
                continue;
            }
            if (const auto fault = set_flag(arg.substr(2), rest); !fault.empty()) {
                std::cerr << fault << '\n';
                print_help(*command_, std::cerr);
                return std::nullopt;
            }
        }
        return out;
    }

private:
    const command* command_;
};

} // namespace

int run_command(std::span<const command> commands, std::span<const std::string> args) {
    if (args.empty() || asks_help(args.front()) || args.front() == "help") {
        print_overview(commands, args.empty() ? std::cerr : std::cout);
        return args.empty() ? exit_usage : exit_ok;
    }
    const auto it = std::find_if(commands.begin(), commands.end(),
                                 [&](const command& candidate) { return candidate.name == args.front(); });
    if (it == commands.end()) {
        std::cerr << "unknown command " << args.front() << '\n';
        print_overview(commands, std::cerr);
        return exit_usage;
    }
    const auto rest = args.subspan(1);
    if (std::any_of(rest.begin(), rest.end(), asks_help)) {
        print_help(*it, std::cout);
        return exit_ok;
    }
    const auto positional = argument_parser{*it}.run(rest);
    return positional ? it->run(*positional) : exit_usage;
}

int usage_error(std::string_view message) {
    std::cerr << message << '\n';
    return exit_usage;
}

int failure(std::string_view message) {
    std::cerr << message << '\n';
    return exit_failed;
}

} // namespace dandelionbay::app
