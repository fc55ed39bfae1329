#include "dandelionbay/plot/page.hpp"

#include <algorithm>

#include "absl/strings/str_format.h"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay::plot {

namespace {

constexpr int width = 680;
constexpr int row_height = 22;
constexpr int label_width = 190;
constexpr int bar_width = 380;
constexpr int line_height = 180;
constexpr int margin = 46;
constexpr std::size_t longest_label = 28;
constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;
constexpr unsigned char utf8_mask = 0xc0;
constexpr unsigned char utf8_continuation = 0x80;

constexpr std::string_view style =
    "body{font:14px sans-serif;color:#222;background:#fff;max-width:720px;margin:24px auto;padding:0 12px}"
    "h1{font-size:20px}h2{font-size:15px;margin:24px 0 6px}td{padding:2px 16px 2px 0}svg{max-width:100%}"
    "text{font:12px sans-serif;fill:#444}rect{fill:#4a78b0}polyline{fill:none;stroke:#4a78b0;stroke-width:1.5}"
    "line{stroke:#ccc}";

[[nodiscard]] std::string number(double value) {
    return absl::StrFormat("%.6g", value);
}

/*! Cuts a label between characters. */
[[nodiscard]] std::string shortened(const std::string& label) {
    if (label.size() <= longest_label) {
        return label;
    }
    auto end = longest_label;
    while (end > 0 && (static_cast<unsigned char>(label[end]) & utf8_mask) == utf8_continuation) {
        --end;
    }
    return label.substr(0, end) + "…";
}

[[nodiscard]] std::string svg(int height, const std::string& content) {
    return absl::StrFormat("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
                           "viewBox=\"0 0 %d %d\">\n%s</svg>\n",
                           width, height, width, height, content);
}

[[nodiscard]] std::string text_at(double x, double y, std::string_view anchor, std::string_view text) {
    return concat(absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"", x, y), anchor, "\">", escape(text),
                  "</text>\n");
}

[[nodiscard]] std::string heading(std::string_view title, std::string_view unit) {
    return concat("<h2>", escape(title), unit.empty() ? "" : concat(" (", escape(unit), ")"), "</h2>\n");
}

/*! Scale of an axis: the greatest value, or 1 if all are zero. */
[[nodiscard]] double scale_of(double greatest) noexcept {
    return greatest > 0 ? greatest : 1;
}

} // namespace

std::string escape(std::string_view text) {
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        case '\'':
            out += "&#39;";
            break;
        default:
            out += byte < first_printable || byte == delete_character ? '?' : c;
        }
    }
    return out;
}

page::page(std::string_view title) : title_{title} {}

void page::add_table(std::span<const std::pair<std::string, std::string>> rows) {
    body_ += "<table>\n";
    for (const auto& [name, value] : rows) {
        body_ += concat("<tr><td>", escape(name), "</td><td>", escape(value), "</td></tr>\n");
    }
    body_ += "</table>\n";
}

void page::add_bars(std::string_view title, std::string_view unit, std::span<const bar> bars) {
    body_ += heading(title, unit);
    if (bars.empty()) {
        body_ += "<p>none</p>\n";
        return;
    }
    const auto shown = bars.first(std::min(bars.size(), max_bars));
    const auto scale = scale_of(std::ranges::max(shown, {}, &bar::value).value);
    std::string content;
    int top = 0;
    for (const auto& it : shown) {
        const auto length = it.value / scale * bar_width;
        content += concat("<g><title>", escape(it.label), ": ", number(it.value), "</title>\n");
        content += text_at(label_width - 8, top + 15, "end", shortened(it.label));
        content += absl::StrFormat("<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\"/>\n", label_width, top + 4,
                                   length, row_height - 8);
        content += concat(text_at(label_width + length + 6, top + 15, "start", number(it.value)), "</g>\n");
        top += row_height;
    }
    body_ += svg(top, content);
    if (shown.size() < bars.size()) {
        body_ += concat("<p>and ", bars.size() - shown.size(), " more</p>\n");
    }
}

void page::add_line(std::string_view title, std::string_view unit, std::span<const double> values) {
    body_ += heading(title, unit);
    if (values.empty()) {
        body_ += "<p>none</p>\n";
        return;
    }
    const auto greatest = std::ranges::max(values);
    const auto step =
        static_cast<double>(width - 2 * margin) / static_cast<double>(std::max<std::size_t>(values.size() - 1, 1));
    std::string points;
    for (std::size_t i = 0; i < values.size(); ++i) {
        points += absl::StrFormat("%.1f,%.1f ", margin + step * static_cast<double>(i),
                                  8 + line_height * (1 - values[i] / scale_of(greatest)));
    }
    const auto bottom = line_height + 8;
    auto content =
        absl::StrFormat("<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\"/>\n", margin, bottom, width - margin, bottom);
    content += concat("<polyline points=\"", points, "\"/>\n");
    content += text_at(margin - 6, 14, "end", number(greatest)) + text_at(margin - 6, bottom, "end", "0");
    content += text_at(margin, bottom + 18, "start", "second 1");
    content += text_at(width - margin, bottom + 18, "end", concat(values.size()));
    body_ += svg(bottom + 26, content);
}

std::string page::text() const {
    const auto title = escape(title_);
    return concat("<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\"/>\n<title>", title,
                  "</title>\n<style>", style, "</style></head>\n<body>\n<h1>", title, "</h1>\n", body_,
                  "</body>\n</html>\n");
}

} // namespace dandelionbay::plot
