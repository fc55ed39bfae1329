#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <variant>

#include "dandelionbay/config/fleet_config.hpp"
#include "dandelionbay/http/fwd.hpp"
#include "dandelionbay/router/router_action.hpp"

namespace dandelionbay {

/*! @brief Part of an answer; answer_end is the last one. */
using answer_event = std::variant<answer_head, answer_data, answer_end>;

/*! @brief Answer to one accepted request; used by the thread that serves the caller. */
class answer_source {
public:
    answer_source() = default;
    answer_source(const answer_source&) = delete;
    answer_source(answer_source&&) = delete;
    answer_source& operator=(const answer_source&) = delete;
    answer_source& operator=(answer_source&&) = delete;
    virtual ~answer_source() = default;

    /*! @brief Waits for the next part. @param wait Longest wait. @return The part; nothing if none came in time. */
    [[nodiscard]] virtual std::optional<answer_event> next(std::chrono::milliseconds wait) = 0;

    /*! @brief The caller is gone; the request is cancelled and no part is read any more. */
    virtual void cancel() noexcept = 0;
};

/*! @brief What the caller API needs from the router it runs in; safe for use by several threads. */
class caller_gate {
public:
    caller_gate() = default;
    caller_gate(const caller_gate&) = delete;
    caller_gate(caller_gate&&) = delete;
    caller_gate& operator=(const caller_gate&) = delete;
    caller_gate& operator=(caller_gate&&) = delete;
    virtual ~caller_gate() = default;

    /*! @brief The configuration in force. @return It, or null if there is none yet. */
    [[nodiscard]] virtual std::shared_ptr<const fleet_config> config() const = 0;

    /*! @brief Tells whether the process is stopping. */
    [[nodiscard]] virtual bool stopping() const noexcept = 0;

    /*! @brief Tells whether the router admits new work; false while its configuration may be out of date. */
    [[nodiscard]] virtual bool config_fresh() const noexcept = 0;

    /*! @brief Takes a request in. @param request Its team and service exist. @return Its answer. */
    [[nodiscard]] virtual std::shared_ptr<answer_source> submit(accepted_request request) = 0;
};

} // namespace dandelionbay
