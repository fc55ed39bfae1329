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
    std::string text{}; //!< All its lines and the empty one.

    friend bool operator==(const stream_event&, const stream_event&) = default;
};

/*! @brief Cuts the body of a stream into whole events, because an endpoint may stop in the middle of one. */
class event_scanner {
public:
    /*! @brief Adds a piece of the body. */
    void append(std::string_view bytes) { buf_.append(bytes); }

    /*! @brief Takes the next whole event. @return Nothing if there is none yet. */
    [[nodiscard]] std::optional<stream_event> next();

    /*! @brief Bytes of an event that is not whole. */
    [[nodiscard]] const std::string& partial_event() const noexcept { return buf_; }

    /*! @brief Forgets what is not whole. */
    void clear() { buf_.clear(); }

private:
    std::string buf_{};
};

} // namespace dandelionbay
