#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionbay/app/fwd.hpp"

namespace dandelionbay::app {

/*! @brief Exit status: success. */
inline constexpr int exit_ok = 0;
/*! @brief Exit status: the command ran and failed. */
inline constexpr int exit_failed = 1;
/*! @brief Exit status: the command line or the settings are wrong. */
inline constexpr int exit_usage = 2;

/*! @brief Arguments that are not flags, in order. */
using argument_list = std::vector<std::string>;

/*! @brief A subcommand. */
struct command {
    std::string_view name{};
    std::string_view arguments{};            //!< Arguments and flags in one line for people.
    std::string_view summary{};              //!< One sentence or more, without the flags.
    std::vector<std::string_view> flags{};   //!< Names of the Abseil flags it takes.
    int (*run)(const argument_list& args){}; //!< Returns the exit status.
};

/**
 * @brief Runs a command line.
 *
 * Flags are read through the reflection interface of Abseil, because its own parser ends the process with status 1
 * and takes the flags of all subcommands for each of them.
 *
 * @param commands All subcommands.
 * @param args Command line without the program's name.
 * @return The exit status.
 */
[[nodiscard]] int run_command(std::span<const command> commands, std::span<const std::string> args);

/*! @brief Reports a usage error of a subcommand on standard error. @return exit_usage. */
[[nodiscard]] int usage_error(std::string_view message);

/*! @brief Reports a failure on standard error. @return exit_failed. */
[[nodiscard]] int failure(std::string_view message);

/*! @brief The subcommands. */
[[nodiscard]] command bench_command();
[[nodiscard]] command check_command();
[[nodiscard]] command ctl_command();
[[nodiscard]] command dev_command();
[[nodiscard]] command load_command();
[[nodiscard]] command serve_command();
[[nodiscard]] command standin_command();
[[nodiscard]] command trace_command();

} // namespace dandelionbay::app
