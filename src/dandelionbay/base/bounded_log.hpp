#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/event_log.hpp"

namespace dandelionbay {

/*! @brief What a line tells of; each has a bound of its own. */
enum class log_subject : std::uint8_t { facts, calls };

/**
 * @brief Log whose volume is bounded: lines over the rate are left out and their number is logged later.
 *
 * Lines on calls come with the load, and those on facts are needed most when the load is highest, so neither takes the
 * other's room.
 */
class bounded_log {
    struct allowance {
        double tokens{};
        time_point filled{};
        std::uint64_t left_out{};
        std::uint64_t reported{};
        time_point reported_at{};
    };

    [[nodiscard]] allowance& of(log_subject subject) noexcept {
        return allowances_.at(static_cast<std::size_t>(subject));
    }
    void emit(log_subject subject, log_level level, std::string_view event, const event_log::fields& values);

public:
    /*! @brief Lines for each second, by subject; a line costs about 20 us, so all together 0.7% of a core. */
    static constexpr std::array<double, 2> lines_per_s{100.0, 250.0};
    /*! @brief Lines that may come at once after a quiet time, by subject. */
    static constexpr std::array<double, 2> burst{400.0, 500.0};

    /*! @brief The number of lines left out is logged this often. */
    static constexpr duration report_interval = std::chrono::seconds{1};

    /*! @brief Wraps a log. @param log The log; null drops all. @param time Clock; must outlive it. */
    bounded_log(std::shared_ptr<event_log> log, const clock& time);

    /*! @brief Writes a line on a fact if the rate allows it. Warnings and errors may use the last fifth of the burst
     *  alone. @return False if the line was left out. */
    bool write(log_level level, std::string_view event, const event_log::fields& values = {});

    /*! @brief Writes a line on a call if the rate allows it. @param make_values Called for its fields only then.
     *  @return False if the line was left out. */
    template<typename Maker>
    bool write_call(log_level level, std::string_view event, const Maker& make_values) {
        const bool is_written = takes(log_subject::calls, level);
        if (is_written) {
            emit(log_subject::calls, level, event, make_values());
        }
        return is_written;
    }

    /*! @brief Tells whether a line would be written now; counts it as left out if not. */
    [[nodiscard]] bool takes(log_subject subject, log_level level);

    /*! @brief Lines left out so far. */
    [[nodiscard]] std::uint64_t left_out() const noexcept;

private:
    std::shared_ptr<event_log> log_;
    const clock* clock_;
    std::array<allowance, 2> allowances_{};
};

} // namespace dandelionbay
