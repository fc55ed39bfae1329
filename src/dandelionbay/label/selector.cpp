#include "dandelionbay/label/selector.hpp"

#include <algorithm>
#include <optional>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

constexpr std::string_view none_text = "!*";
constexpr std::size_t max_word_length = 100;
/*! Bounds the work of one evaluation; far above what operators write by hand. */
constexpr std::size_t max_text_length = 8'192;

[[nodiscard]] bool is_word_character(char c) noexcept {
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.' || c == '/';
}

[[nodiscard]] bool is_word(std::string_view text) noexcept {
    return !text.empty() && text.size() <= max_word_length && std::ranges::all_of(text, is_word_character);
}

[[nodiscard]] std::optional<std::string_view> value_of(std::string_view key, const label_set& labels,
                                                       implicit_labels implicit) {
    const auto given = std::ranges::find(implicit, key, &implicit_labels::value_type::first);
    if (given != implicit.end()) {
        return given->second;
    }
    const auto it = labels.find(key);
    return it != labels.end() ? std::optional<std::string_view>{it->second} : std::nullopt;
}

} // namespace

bool valid_label_key(std::string_view key) noexcept {
    return is_word(key);
}

bool valid_label_value(std::string_view value) noexcept {
    return is_word(value);
}

/*! @brief Recursive-descent parser over one text; the first fault stops it. */
class selector::parser {
    void skip_space() noexcept {
        while (position_ < text_.size() && absl::ascii_isspace(static_cast<unsigned char>(text_[position_]))) {
            ++position_;
        }
    }

    [[nodiscard]] bool take(std::string_view expected) noexcept {
        skip_space();
        if (!text_.substr(position_).starts_with(expected)) {
            return false;
        }
        position_ += expected.size();
        return true;
    }

    [[nodiscard]] bool at_end() noexcept {
        skip_space();
        return position_ == text_.size();
    }

    [[nodiscard]] absl::Status fault(std::string_view what) const {
        return absl::InvalidArgumentError(concat("selector, position ", position_ + 1, ": ", what));
    }

    [[nodiscard]] absl::StatusOr<std::string> word(std::string_view what) {
        skip_space();
        const auto rest = text_.substr(position_);
        const auto end = std::ranges::find_if_not(rest, is_word_character);
        const std::string_view found{rest.begin(), end};
        if (found.empty()) {
            return fault(concat("expected a ", what));
        }
        if (found.size() > max_word_length) {
            return fault(concat("the ", what, " is longer than ", max_word_length, " characters"));
        }
        position_ += found.size();
        return std::string{found};
    }

    [[nodiscard]] absl::Status one_value(requirement& out) {
        auto value = word("value");
        if (!value.ok()) {
            return value.status();
        }
        out.values.push_back(*std::move(value));
        return absl::OkStatus();
    }

    [[nodiscard]] absl::Status value_list(requirement& out) {
        if (!take("(")) {
            return fault("expected \"(\"");
        }
        do {
            if (auto status = one_value(out); !status.ok()) {
                return status;
            }
        } while (take(","));
        if (!take(")")) {
            return fault("expected \",\" or \")\"");
        }
        std::ranges::sort(out.values);
        out.values.erase(std::unique(out.values.begin(), out.values.end()), out.values.end());
        return absl::OkStatus();
    }

    [[nodiscard]] absl::Status rest_of_requirement(requirement& out) {
        if (at_end() || text_[position_] == ',') {
            out.op = operation::exists;
            return absl::OkStatus();
        }
        if (take("!=")) {
            out.op = operation::not_in;
            return one_value(out);
        }
        if (take("==") || take("=")) {
            out.op = operation::in;
            return one_value(out);
        }
        const auto keyword = word("operator");
        if (keyword.ok() && *keyword == "in") {
            out.op = operation::in;
            return value_list(out);
        }
        if (keyword.ok() && *keyword == "notin") {
            out.op = operation::not_in;
            return value_list(out);
        }
        return fault("expected \"=\", \"==\", \"!=\", \"in\", \"notin\" or \",\"");
    }

    [[nodiscard]] absl::StatusOr<requirement> next_requirement() {
        const bool negated = take("!");
        auto key = word("key");
        if (!key.ok()) {
            return key.status();
        }
        requirement out{*std::move(key), operation::not_exists, {}};
        if (!negated) {
            if (auto status = rest_of_requirement(out); !status.ok()) {
                return status;
            }
        }
        return out;
    }

public:
    explicit parser(std::string_view text) : text_{text} {}

    [[nodiscard]] absl::StatusOr<selector> run() {
        if (text_.size() > max_text_length) {
            return fault(concat("the text is longer than ", max_text_length, " characters"));
        }
        selector out;
        if (at_end()) {
            return out;
        }
        do {
            auto it = next_requirement();
            if (!it.ok()) {
                return it.status();
            }
            out.requirements_.push_back(*std::move(it));
        } while (take(","));
        if (!at_end()) {
            return fault("expected \",\" or the end");
        }
        return out;
    }

private:
    std::string_view text_;
    std::size_t position_{};
};

bool selector::holds(const requirement& it, const label_set& labels, implicit_labels implicit) {
    const auto value = value_of(it.key, labels, implicit);
    switch (it.op) {
    case operation::in:
        return value.has_value() && std::ranges::find(it.values, *value) != it.values.end();
    case operation::not_in:
        return !value.has_value() || std::ranges::find(it.values, *value) == it.values.end();
    case operation::exists:
        return value.has_value();
    case operation::not_exists:
        break;
    }
    return !value.has_value();
}

selector selector::none() {
    selector out;
    out.nothing_ = true;
    return out;
}

absl::StatusOr<selector> selector::parse(std::string_view text) {
    return from_absl(absl::StripAsciiWhitespace(to_absl(text))) == none_text ? none() : parser{text}.run();
}

bool selector::matches(const label_set& labels, implicit_labels implicit) const {
    return !nothing_ && std::ranges::all_of(requirements_, [&](const auto& it) { return holds(it, labels, implicit); });
}

std::string selector::text() const {
    if (nothing_) {
        return std::string{none_text};
    }
    return absl::StrJoin(requirements_, ",", [](std::string* out, const requirement& it) {
        const bool single = it.values.size() == 1;
        switch (it.op) {
        case operation::in:
            absl::StrAppend(out, it.key, single ? "=" : " in (", absl::StrJoin(it.values, ","), single ? "" : ")");
            break;
        case operation::not_in:
            absl::StrAppend(out, it.key, single ? "!=" : " notin (", absl::StrJoin(it.values, ","), single ? "" : ")");
            break;
        case operation::exists:
            absl::StrAppend(out, it.key);
            break;
        case operation::not_exists:
            absl::StrAppend(out, "!", it.key);
            break;
        }
    });
}

} // namespace dandelionbay
