#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dandelionbay {

/*! @brief Header fields in their order; names as they came. */
using field_list = std::vector<std::pair<std::string, std::string>>;

/*! @brief A whole request. */
struct http_request {
    std::string method{};
    std::string target{}; //!< Path and query as they came.
    std::string host{};
    field_list fields{};
    std::string body{};
    bool keep_alive{true};

    /*! @brief The path without the query. */
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

/*! @brief Compares names of header fields. */
[[nodiscard]] bool equal_field_names(std::string_view a, std::string_view b) noexcept;

/*! @brief Finds a field. @return Its value, or an empty text. */
[[nodiscard]] std::string_view find_field(const field_list& fields, std::string_view name) noexcept;

/*! @brief Tells whether a field is present. */
[[nodiscard]] bool has_field(const field_list& fields, std::string_view name) noexcept;

/*! @brief Removes what concerns one connection only, including the fields that "Connection" names. */
void remove_hop_by_hop_fields(field_list& fields);

/*! @brief Text of a status. @return "OK", "Not Found", and so on. */
[[nodiscard]] std::string_view reason_phrase(int status) noexcept;

/*! @brief Writes a status line and fields with the empty line. @param head The head. @return Bytes. */
[[nodiscard]] std::string write_head(const response_head& head);

/**
 * @brief Writes a request.
 * @param fields Without the length of the body, which is added.
 * @return Bytes.
 */
[[nodiscard]] std::string write_request(std::string_view method, std::string_view target, const field_list& fields,
                                        std::string_view body);

/*! @brief Writes a chunk of a chunked body. @param bytes Its data. @return Bytes; empty for empty data. */
[[nodiscard]] std::string write_chunk(std::string_view bytes);

/*! @brief Last chunk of a chunked body. */
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace dandelionbay
