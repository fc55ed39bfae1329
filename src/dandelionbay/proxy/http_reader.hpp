#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dandelionbay/proxy/http_message.hpp"

namespace dandelionbay {

/*! @brief State of reading a message. */
enum class read_result : std::uint8_t { incomplete, complete, malformed, header_too_long, body_too_long };

/*! @brief Reads the requests of one connection, one after the other. */
class request_reader {
    class state;

public:
    /*! @brief Creates a reader. @param max_header Bytes. @param max_body Bytes. */
    request_reader(std::uint32_t max_header, std::uint64_t max_body);
    request_reader(const request_reader&) = delete;
    request_reader(request_reader&&) = delete;
    request_reader& operator=(const request_reader&) = delete;
    request_reader& operator=(request_reader&&) = delete;
    ~request_reader();

    /*! @brief Sets the limits of the request that begins next. @param max_header Bytes. @param max_body Bytes. */
    void set_limits(std::uint32_t max_header, std::uint64_t max_body);

    /*! @brief Adds bytes that were received. */
    void append(std::string_view bytes);

    /*! @brief Reads on. @return The state of the current request. */
    [[nodiscard]] read_result read();

    /*! @brief Takes the complete request and begins with the next. */
    [[nodiscard]] http_request take();

    /*! @brief Tells once whether the sender waits for "100 Continue" before it sends the body. */
    [[nodiscard]] bool take_expect_continue();

    /*! @brief Tells whether a request has begun. */
    [[nodiscard]] bool has_begun() const noexcept;

    /*! @brief Tells whether the current request's header was read. */
    [[nodiscard]] bool is_header_complete() const noexcept;

    /*! @brief Bytes that were received and not read yet. */
    [[nodiscard]] std::size_t buffered_bytes() const noexcept;

private:
    std::unique_ptr<state> state_;
};

/*! @brief Reads the answers of one connection, one after the other, piece by piece. */
class response_reader {
    class state;

    /*! Whole body of an answer; a length above it is taken for garbage. */
    static constexpr std::uint64_t default_max_body_bytes = std::uint64_t{64} << 20U;

public:
    /*! @brief Creates a reader. @param max_body Bytes. */
    explicit response_reader(std::uint64_t max_body = default_max_body_bytes);
    response_reader(const response_reader&) = delete;
    response_reader(response_reader&&) = delete;
    response_reader& operator=(const response_reader&) = delete;
    response_reader& operator=(response_reader&&) = delete;
    ~response_reader();

    /*! @brief Begins with the next answer. @param without_body The request was one whose answer has no body. */
    void expect(bool without_body);

    /*! @brief Adds bytes that were received. */
    void append(std::string_view bytes);

    /*! @brief Reads on. @return The state of the current answer. */
    [[nodiscard]] read_result read();

    /*! @brief The connection ended in order. @return Whether that completes the answer. */
    [[nodiscard]] bool end();

    /*! @brief Takes the head, once it was read. @return Nothing before, and after it was taken. */
    [[nodiscard]] std::optional<response_head> take_head();

    /*! @brief Takes the part of the body that was read. */
    [[nodiscard]] std::string take_body();

    /*! @brief Bytes that were received and belong to no answer yet. */
    [[nodiscard]] std::size_t buffered_bytes() const noexcept;

private:
    std::unique_ptr<state> state_;
};

} // namespace dandelionbay
