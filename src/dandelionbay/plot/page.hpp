#pragma once

#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dandelionbay/plot/fwd.hpp"

namespace dandelionbay::plot {

/*! @brief One bar of a chart. */
struct bar {
    std::string label{};
    double value{}; //!< Zero or more.

    friend bool operator==(const bar&, const bar&) = default;
};

/*! @brief Bars that a chart draws; it tells how many it leaves out. */
inline constexpr std::size_t max_bars = 40;

/*! @brief Escapes text for element content and quoted attributes. @param text Any text. @return Control characters are
 *         replaced by question marks, because XML doesn't allow them. */
[[nodiscard]] std::string escape(std::string_view text);

/**
 * @brief HTML page with inline SVG that needs no network and no script.
 *
 * The page is well-formed XML as well, so that any parser can check it. All texts are escaped.
 */
class page {
public:
    /*! @brief Starts a page. @param title Its title. */
    explicit page(std::string_view title);

    /*! @brief Adds a table of two columns. @param rows Names and values. */
    void add_table(std::span<const std::pair<std::string, std::string>> rows);

    /**
     * @brief Adds a chart of horizontal bars.
     * @param title Its title. @param unit Unit of the values; may be empty. @param bars Bars, from the top.
     */
    void add_bars(std::string_view title, std::string_view unit, std::span<const bar> bars);

    /**
     * @brief Adds a chart with one line.
     * @param title Its title. @param unit Unit of the values. @param values One for each second, zero or more each.
     */
    void add_line(std::string_view title, std::string_view unit, std::span<const double> values);

    /*! @brief The whole page. @return UTF-8 text if all texts were. */
    [[nodiscard]] std::string text() const;

private:
    std::string title_;
    std::string body_;
};

} // namespace dandelionbay::plot
