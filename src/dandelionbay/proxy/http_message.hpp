#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dandelionbay {

/*! @brief Header fields in their original order and with the original case of their names. */
using field_list = std::vector<std::pair<std::string, std::string>>;

/*! @brief A complete request. */
struct http_request {
    std::string method{};
    std::string target{}; //!< Path and query as received.
    std::string host{};
    field_list fields{};
    std::string body{};
    bool keep_alive{true};

    /*! @brief Returns the path without the query. */
    [[nodiscard]] std::string_view path() const noexcept {
        return std::string_view{target}.substr(0, target.find('?'));
    }
};

/*! @brief Status and header of an answer. */
struct response_head {
    int status{};
    std::string reason{};
    field_list fields{};
    bool keep_alive{};
};

/*! @brief Returns whether two names of header fields are equal, ignoring case. */
[[nodiscard]] bool equal_field_names(std::string_view a, std::string_view b) noexcept;

/*! @brief Finds a field. @return Its value, or an empty string. */
[[nodiscard]] std::string_view find_field(const field_list& fields, std::string_view name) noexcept;

/*! @brief Returns whether a field is present. */
[[nodiscard]] bool has_field(const field_list& fields, std::string_view name) noexcept;

/*! @brief Removes the hop-by-hop fields, including those that "Connection" names, and the length of the body. */
void remove_hop_by_hop_fields(field_list& fields);

/*! @brief Returns the reason phrase of a status, such as "OK" or "Not Found". */
[[nodiscard]] std::string_view reason_phrase(int status) noexcept;

/*! @brief Serializes a status line and header fields, with the final empty line. */
[[nodiscard]] std::string write_head(const response_head& head);

/**
 * @brief Serializes a request.
 * @param method Method.
 * @param target Path and query.
 * @param fields Header fields without Content-Length, which is added.
 * @param body Body.
 * @return The bytes of the request.
 */
[[nodiscard]] std::string write_request(std::string_view method, std::string_view target, const field_list& fields,
                                        std::string_view body);

/*! @brief Serializes a chunk of a chunked body. @return The bytes of the chunk; empty if the data is empty. */
[[nodiscard]] std::string write_chunk(std::string_view bytes);

/*! @brief Last chunk of a chunked body. */
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace dandelionbay
