#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dandelionbay/base/ids.hpp"

namespace dandelionbay {

/*! @brief Importance of a log line. */
enum class log_level : std::uint8_t { debug, info, warn, error };

/*! @brief Where and how much is logged. */
struct event_log_options {
    log_level level{log_level::info};
    std::string output{"stderr"}; //!< "stderr", "stdout" or the path of a file.
    host_id host{};
    zone_id zone{};

    friend bool operator==(const event_log_options&, const event_log_options&) = default;
};

/**
 * @brief Log with one JSON object a line: "timestamp", "level", "message" (the event) and "context_map" with host,
 * zone, request and the fields of the event. Safe for use by several threads.
 */
class event_log {
    class state;

public:
    using fields = std::vector<std::pair<std::string, std::string>>;

    /*! @brief Opens the log. @param options Where and how much. */
    explicit event_log(const event_log_options& options);
    event_log(const event_log&) = delete;
    event_log(event_log&&) = delete;
    event_log& operator=(const event_log&) = delete;
    event_log& operator=(event_log&&) = delete;
    ~event_log();

    /*! @brief Writes a line if its level is logged. @param level Importance. @param event Name of the event.
     *  @param values Its fields. @param request Request that it belongs to, or null. */
    void write(log_level level, std::string_view event, const fields& values = {}, const request_id* request = nullptr);

private:
    std::unique_ptr<state> state_;
};

} // namespace dandelionbay
