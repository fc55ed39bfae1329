#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"
#include "dandelionbay/label/selector.hpp"

namespace dandelionbay::internal {

/*! @brief Faults found in a document, each as "JSON path: fault". */
using fault_list = std::vector<std::string>;

/*! @brief Whether a key must be present. */
enum class presence : std::uint8_t { required, optional };

/*! @brief Levels that a document may have; configurations have six. */
inline constexpr std::size_t most_levels = 64;

/*! @brief Parses JSON text from outside. @return The value; discarded if it is not JSON or has too many levels. */
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

/**
 * @brief Parses JSON text and reports keys that an object has twice.
 * @param text The text.
 * @param faults Receives the faults.
 * @return The value; discarded if the text is not JSON.
 */
[[nodiscard]] nlohmann::json parse_json(std::string_view text, fault_list& faults);

/*! @brief Checks a name. @return True for 1 to 100 of letters, digits, "-", "_", ".". */
[[nodiscard]] bool valid_name(std::string_view name) noexcept;

/*! @brief Checks a bearer token. @return True for 1 to 1,000 visible ASCII characters. */
[[nodiscard]] bool valid_token(std::string_view token) noexcept;

/*! @brief Reads the keys of one JSON object and reports every fault with its path. */
class object_reader {
    void check_range(std::string_view key, std::int64_t low, std::int64_t high, std::int64_t& out, presence need);

public:
    /**
     * @brief Starts to read an object.
     * @param value The value; a fault if it is not an object. Must outlive the reader.
     * @param path Its JSON path.
     * @param faults Receives the faults; must outlive the reader.
     */
    object_reader(const nlohmann::json& value, std::string path, fault_list& faults);

    /*! @brief Reports a fault. @param key Key below the object; empty for the object itself. @param what The fault. */
    void fault(std::string_view key, std::string_view what);

    /*! @brief Path of a key. @param key The key. @return The JSON path. */
    [[nodiscard]] std::string path_of(std::string_view key) const;

    /*! @brief Finds a key and marks it as known. @return Its value, or null; a missing required key is a fault. */
    [[nodiscard]] const nlohmann::json* child(std::string_view key, presence need);

    /*! @brief Reads a text. @return True if it was read into out. */
    bool text(std::string_view key, presence need, std::string& out);

    /*! @brief Reads a name. @return True if it was read into out and is valid. */
    bool name(std::string_view key, presence need, std::string& out);

    /*! @brief Reads a bearer token. @return True if it was read into out and is valid. */
    bool token(std::string_view key, presence need, std::string& out);

    /*! @brief Reads a truth value. */
    void boolean(std::string_view key, presence need, bool& out);

    /*! @brief Reads an integer. @param low Least valid value. @param high Greatest valid value. */
    template<typename Type>
    void integer(std::string_view key, presence need, Type& out, std::int64_t low, std::int64_t high) {
        auto value = static_cast<std::int64_t>(out);
        check_range(key, low, high, value, need);
        out = static_cast<Type>(value);
    }

    /*! @brief Reads a number. @param low Least valid value. @param high Greatest valid value. */
    void number(std::string_view key, presence need, double& out, double low, double high);

    /*! @brief Reads labels; the keys "name", "zone" and "region" are reserved for implicit labels. */
    void labels(std::string_view key, label_set& out);

    /*! @brief Reads a selector. @return True if it was read into out. */
    bool select(std::string_view key, presence need, selector& out);

    /*! @brief Visits the elements of an array. @param visit Gets each element and its JSON path. */
    void each(std::string_view key, presence need,
              const std::function<void(const nlohmann::json&, std::string)>& visit);

    /*! @brief Reports every key that was not read. */
    void finish();

private:
    const nlohmann::json* value_;
    std::string path_;
    fault_list* faults_;
    std::set<std::string, std::less<>> known_;
};

/**
 * @brief Reads a document whose root is an object.
 * @param text The document.
 * @param faults Receives all faults that are found.
 * @param read Reads the root object; not called if the text is no JSON.
 * @return InvalidArgument with one line for each fault, if there is any.
 */
[[nodiscard]] absl::Status read_document(std::string_view text, fault_list& faults,
                                         const std::function<void(object_reader&)>& read);

} // namespace dandelionbay::internal
