#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dandelionbay/proxy/fwd.hpp"

namespace dandelionbay {

/*! @brief One event of a stream. */
struct stream_event {
    std::optional<std::uint64_t> id{};
    std::string text{}; //!< All lines of the event, with the empty line that ends it.

    friend bool operator==(const stream_event&, const stream_event&) = default;
};

/*! @brief Splits the body of a stream into complete events, as an endpoint may stop in the middle of one. */
class event_scanner {
public:
    /*! @brief Adds received bytes of the body. */
    void append(std::string_view bytes) { buf_.append(bytes); }

    /*! @brief Takes the next complete event. @return Nothing if no event is complete. */
    [[nodiscard]] std::optional<stream_event> next();

    /*! @brief Returns the bytes of the incomplete event. */
    [[nodiscard]] const std::string& partial_event() const noexcept { return buf_; }

    /*! @brief Discards the bytes of the incomplete event. */
    void clear() { buf_.clear(); }

private:
    std::string buf_{};
};

} // namespace dandelionbay
