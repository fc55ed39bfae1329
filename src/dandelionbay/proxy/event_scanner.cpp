#include "dandelionbay/proxy/event_scanner.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

/*! Returns the position after the first empty line, or npos. */
[[nodiscard]] std::size_t end_of_event(std::string_view text) {
    std::size_t line = 0;
    while (true) {
        const auto end = text.find('\n', line);
        if (end == std::string_view::npos) {
            return end;
        }
        const bool empty = end == line || (end == line + 1 && text[line] == '\r');
        if (empty) {
            return end + 1;
        }
        line = end + 1;
    }
}

[[nodiscard]] std::optional<std::uint64_t> id_of(std::string_view event) {
    std::size_t line = 0;
    while (line < event.size()) {
        const auto end = event.find('\n', line);
        const auto text = event.substr(line, end - line);
        std::uint64_t id = 0;
        if (text.starts_with("id:") && absl::SimpleAtoi(absl::StripAsciiWhitespace(to_absl(text.substr(3))), &id)) {
            return id;
        }
        if (end == std::string_view::npos) {
            break;
        }
        line = end + 1;
    }
    return std::nullopt;
}

} // namespace

std::optional<stream_event> event_scanner::next() {
    const auto n = end_of_event(buf_);
    if (n == std::string::npos) {
        return std::nullopt;
    }
    stream_event out{std::nullopt, buf_.substr(0, n)};
    out.id = id_of(out.text);
    buf_.erase(0, n);
    return out;
}

} // namespace dandelionbay
