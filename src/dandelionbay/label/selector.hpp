#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "dandelionbay/label/fwd.hpp"

namespace dandelionbay {

/*! @brief Labels of an object: key to value. */
using label_set = std::map<std::string, std::string, std::less<>>;

/*! @brief Labels that an object has besides its own; they take precedence over a label of the same key. */
using implicit_labels = std::span<const std::pair<std::string_view, std::string_view>>;

/*! @brief Checks a label's key. @param key The key. @return True for 1 to 100 of letters, digits, "-", "_", ".", "/".
 */
[[nodiscard]] bool valid_label_key(std::string_view key) noexcept;

/*! @brief Checks a label's value. @param value The value. @return As valid_label_key. */
[[nodiscard]] bool valid_label_value(std::string_view value) noexcept;

/**
 * @brief Condition over labels.
 *
 * Comma-separated requirements that must all hold: `key=value`, `key==value`, `key!=value`, `key in (a,b)`,
 * `key notin (a,b)`, `key` (exists), `!key` (does not exist). `!=` and `notin` also hold for an absent key, as
 * operators know it from other systems. The empty text selects everything; `none()` selects nothing.
 */
class selector {
    enum class operation : unsigned char { in, not_in, exists, not_exists };

    struct requirement {
        std::string key{};
        operation op{operation::exists};
        std::vector<std::string> values{};

        friend bool operator==(const requirement&, const requirement&) = default;
    };

    class parser;

    [[nodiscard]] static bool holds(const requirement& it, const label_set& labels, implicit_labels implicit);

public:
    /*! @brief Selects everything. */
    selector() = default;

    /*! @brief Selects nothing. @return The selector; its text is "!*". */
    [[nodiscard]] static selector none();

    /**
     * @brief Parses a selector.
     * @param text Text as described above; "!*" gives none().
     * @return The selector, or InvalidArgument with the position of the fault.
     */
    [[nodiscard]] static absl::StatusOr<selector> parse(std::string_view text);

    /*! @brief Evaluates the selector. @param labels Labels of an object. @return True if they match. */
    [[nodiscard]] bool matches(const label_set& labels) const { return matches(labels, {}); }

    /**
     * @brief Evaluates the selector without copying labels.
     * @param labels Labels of an object.
     * @param implicit Labels it has besides.
     * @return True if they match.
     */
    [[nodiscard]] bool matches(const label_set& labels, implicit_labels implicit) const;

    /*! @brief Text that parses to an equal selector. @return The normalised text. */
    [[nodiscard]] std::string text() const;

    friend bool operator==(const selector&, const selector&) = default;

private:
    std::vector<requirement> requirements_;
    bool nothing_{};
};

} // namespace dandelionbay
