#pragma once

#include <chrono>
#include <memory>

#include "absl/status/status.h"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/kernel/kernel.hpp"
#include "dandelionbay/node/node_environment.hpp"
#include "dandelionbay/node/node_options.hpp"

namespace dandelionbay {

/*! @brief Interval at which a graceful stop looks whether work is left. */
inline constexpr std::chrono::milliseconds stop_check_interval{20};

/*! @brief Creates what an environment lacks. @param environment It. @param options Settings. @return The whole. */
[[nodiscard]] node_environment complete(node_environment environment, const node_options& options);

/*! @brief Registers "clock", "counters" and "store". @param to The kernel. @return The first error. */
[[nodiscard]] absl::Status add_common_parts(kernel& to, const node_environment& environment,
                                            const std::shared_ptr<counters>& metrics);

} // namespace dandelionbay
