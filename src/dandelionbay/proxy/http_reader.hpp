#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dandelionbay/proxy/http_message.hpp"

namespace dandelionbay {

/*! @brief State of the message that is being read. */
enum class read_result : std::uint8_t { incomplete, complete, malformed, header_too_long, body_too_long };

/*! @brief Reads the consecutive requests of one connection. */
class request_reader {
    class state;

public:
    /*! @brief Creates a reader. @param max_header Limit in bytes. @param max_body Limit in bytes. */
    request_reader(std::uint32_t max_header, std::uint64_t max_body);
    request_reader(const request_reader&) = delete;
    request_reader(request_reader&&) = delete;
    request_reader& operator=(const request_reader&) = delete;
    request_reader& operator=(request_reader&&) = delete;
    ~request_reader();

    /*! @brief Sets the limits of the request that begins next. @param max_header Limit in bytes. @param max_body Limit
     * in bytes. */
    void set_limits(std::uint32_t max_header, std::uint64_t max_body);

    /*! @brief Adds bytes that were received. */
    void append(std::string_view bytes);

    /*! @brief Parses the bytes received so far. @return The state of the current request. */
    [[nodiscard]] read_result read();

    /*! @brief Takes the complete request and begins the next one. */
    [[nodiscard]] http_request take();

    /*! @brief Returns true, once for each request, if the sender waits for "100 Continue" before it sends the body. */
    [[nodiscard]] bool take_expect_continue();

    /*! @brief Returns whether any bytes of a request were received. */
    [[nodiscard]] bool has_begun() const noexcept;

    /*! @brief Returns whether the current request's header was read. */
    [[nodiscard]] bool is_header_complete() const noexcept;

    /*! @brief Returns the number of bytes that were received and not parsed yet. */
    [[nodiscard]] std::size_t buffered_bytes() const noexcept;

private:
    std::unique_ptr<state> state_;
};

/*! @brief Reads the consecutive answers of one connection incrementally. */
class response_reader {
    class state;

    /*! Limit for the whole body of an answer; a greater length is taken for garbage. */
    static constexpr std::uint64_t default_max_body_bytes = std::uint64_t{64} << 20U;

public:
    /*! @brief Creates a reader. @param max_body Limit in bytes. */
    explicit response_reader(std::uint64_t max_body = default_max_body_bytes);
    response_reader(const response_reader&) = delete;
    response_reader(response_reader&&) = delete;
    response_reader& operator=(const response_reader&) = delete;
    response_reader& operator=(response_reader&&) = delete;
    ~response_reader();

    /*! @brief Begins the next answer. @param without_body Whether the answer to the request has no body, as for HEAD.
     */
    void expect(bool without_body);

    /*! @brief Adds bytes that were received. */
    void append(std::string_view bytes);

    /*! @brief Parses the bytes received so far. @return The state of the current answer. */
    [[nodiscard]] read_result read();

    /*! @brief Records the orderly end of the connection. @return Whether the end completes the answer. */
    [[nodiscard]] bool end();

    /*! @brief Takes the head of the answer. @return Nothing if the head is incomplete or was taken before. */
    [[nodiscard]] std::optional<response_head> take_head();

    /*! @brief Takes the part of the body that was read since the last call. */
    [[nodiscard]] std::string take_body();

    /*! @brief Returns the number of bytes that were received and belong to no answer yet. */
    [[nodiscard]] std::size_t buffered_bytes() const noexcept;

private:
    std::unique_ptr<state> state_;
};

} // namespace dandelionbay
