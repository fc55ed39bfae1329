#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "absl/status/statusor.h"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/*! @brief Longest frame in bytes, without its length field. */
inline constexpr std::size_t max_frame_bytes = std::size_t{8} << 20U;

/*! @brief Most bytes of the length field in front of each frame; each byte holds 7 bits. */
inline constexpr std::size_t max_length_bytes = 4;

/**
 * @brief First messages of both sides of a link; what they say is left out of later frames.
 *
 * Both sides must use the same values, so they are set once, when both first messages are known.
 */
struct link_context {
    hello sender{};   //!< First message of the side that encodes.
    hello receiver{}; //!< First message of the side that decodes.

    friend bool operator==(const link_context&, const link_context&) = default;
};

/**
 * @brief Encodes a message as a frame.
 * @param body The message.
 * @param link First messages of both sides; empty before they are known.
 * @return Length field and msgpack array, or InvalidArgument if the frame would be longer than max_frame_bytes.
 */
[[nodiscard]] absl::StatusOr<std::string> encode_frame(const message& body, const link_context& link = {});

/**
 * @brief Bytes of a message that are the caller's call or its answer, as opposed to control traffic.
 * @param body The message.
 * @return Bytes of the call in submit, of the header fields in head and of the data in chunk; else zero.
 */
[[nodiscard]] std::size_t payload_bytes(const message& body) noexcept;

/*! @brief Frame read from a link. */
struct decoded_frame {
    message body{};
    std::size_t bytes{}; //!< Length on the link, length field included.

    friend bool operator==(const decoded_frame&, const decoded_frame&) = default;
};

/**
 * @brief Cuts a byte stream into frames and decodes them.
 *
 * After an error the stream has no known frame boundary: the link must be closed.
 */
class frame_decoder {
    void check_start(std::size_t at) const;

public:
    /*! @brief Sets what both sides said first; counts for all later frames. @param link As used by the sender. */
    void set_link(link_context link) { link_ = std::move(link); }

    /*! @brief Appends received bytes. @param data Any number of bytes. */
    void feed(std::string_view data);

    /**
     * @brief Takes the next complete frame.
     * @return The frame; nothing if more bytes are needed; InvalidArgument for a malformed frame; FailedPrecondition
     *         for another protocol version.
     */
    [[nodiscard]] absl::StatusOr<std::optional<decoded_frame>> next();

    /*! @brief Bytes held for an incomplete frame. */
    [[nodiscard]] std::size_t buffered() const noexcept { return buffer_.size() - offset_; }

private:
    std::string buffer_;
    std::size_t offset_{};
    link_context link_{};
};

} // namespace dandelionbay
