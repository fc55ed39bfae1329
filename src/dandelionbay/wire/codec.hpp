#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "dandelionbay/wire/message.hpp"
#include "dandelionbay/wire/name_table.hpp"

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

namespace internal {

/**
 * @brief Answers whose next chunk on a link needs neither its request id nor its offset.
 *
 * Both sides of a link keep one and note the same chunks in the same order, so they number the answers alike.
 */
class chunk_streams {
public:
    /*! @brief Answers that are remembered; the one that was noted first gives way. Numbers below 128 take one byte. */
    static constexpr std::size_t most = 128;

    /*! @brief An answer and the offset at which it goes on. */
    struct stream {
        request_id id{};
        std::uint64_t offset{};
    };

    /*! @brief Finds the answer that a chunk continues. @param piece The chunk. @return Its number, if any. */
    [[nodiscard]] std::optional<std::size_t> find(const chunk& piece) const noexcept;

    /*! @brief Answer with a number. @param number It. @return The answer, or null if there is none. */
    [[nodiscard]] const stream* at(std::size_t number) const noexcept;

    /*! @brief Notes a chunk that was sent or received. @param piece The chunk. */
    void note(const chunk& piece);

private:
    std::vector<stream> streams_;
    std::size_t next_{};
};

} // namespace internal

/**
 * @brief Encodes a message as a frame that stands for itself: names are in full and get no numbers.
 * @param body The message.
 * @param link First messages of both sides; empty before they are known.
 * @return Length field and msgpack array, or InvalidArgument if the frame would be longer than max_frame_bytes.
 */
[[nodiscard]] absl::StatusOr<std::string> encode_frame(const message& body, const link_context& link = {});

/*! @brief Encodes the frames of one direction of a link; every frame must reach the decoder, in order. */
class frame_encoder {
public:
    /*! @brief Sets what both sides said first; counts for all later frames. @param link As used by the receiver. */
    void set_link(link_context link) { link_ = std::move(link); }

    /**
     * @brief Encodes a message, with numbers for known names and answers. Defines numbers for new names.
     * @param body The message.
     * @return As encode_frame.
     */
    [[nodiscard]] absl::StatusOr<std::string> encode(const message& body);

private:
    link_context link_{};
    internal::chunk_streams streams_{};
    internal::name_table names_{};
};

/**
 * @brief Computes the sizes of the frames of one direction of a link without encoding them.
 *
 * Exact if it is given all messages that name something, in the order in which the link sends them.
 */
class frame_sizer {
public:
    /*! @brief Begins with an empty table of names. @param link As used by the encoder. */
    explicit frame_sizer(link_context link) : link_{std::move(link)} {}

    /*! @brief Notes the names of a message. @param body The message; not a chunk. @return Bytes of its frame. */
    [[nodiscard]] std::size_t add(const message& body);

private:
    link_context link_;
    internal::name_table names_{};
};

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
    internal::chunk_streams streams_{};
    internal::name_table names_{};
};

} // namespace dandelionbay
