#include "dandelionbay/plot/page.hpp"

#include <regex>

#include <gtest/gtest.h>

#include "dandelionbay/plot/figures_page.hpp"

namespace dandelionbay::plot {
namespace {

using nlohmann::json;

/*! Checks that all elements are closed in order and that no stray markup is left; returns what is wrong. */
std::string markup_fault(const std::string& page) {
    static const std::regex tag{R"re(<(/?)([a-z0-9]+)((?: [A-Za-z0-9-]+="[^"<>]*")*)(/?)>)re"};
    static const std::regex entity{"&(amp|lt|gt|quot|#39);"};
    constexpr std::string_view doctype = "<!DOCTYPE html>\n";
    if (!page.starts_with(doctype)) {
        return "no document type";
    }
    const auto text = page.substr(doctype.size());
    std::vector<std::string> open;
    for (std::sregex_iterator it{text.begin(), text.end(), tag}, end; it != end; ++it) {
        const auto name = (*it)[2].str();
        if ((*it)[1].length() > 0) {
            if (open.empty() || open.back() != name) {
                return "</" + name + "> closes another element";
            }
            open.pop_back();
        } else if ((*it)[4].length() == 0) {
            open.push_back(name);
        }
    }
    const auto rest = std::regex_replace(std::regex_replace(text, tag, ""), entity, "");
    const auto stray = rest.find_first_of("<>&");
    return !open.empty()                ? "not closed: " + open.back()
           : stray != std::string::npos ? "stray markup: " + rest.substr(stray, 40)
                                        : "";
}

// Guards against a page that browsers repair differently, names that are read as markup, and pages that load anything.
TEST(plot, page_is_well_formed_and_escapes_all_text) {
    const std::string evil = "</text><script>alert('1')</script>\"&\x01";
    const json quantile{{"p50", 1.5}, {"p95", 20}, {"p99", 300}};
    const json figures{{"offered", 10},
                       {"scenario", evil},
                       {"ttft_ms", quantile},
                       {"inter_token_ms", quantile},
                       {"teams", {{evil, {{"tokens_per_s", 30}}}, {"b", {{"tokens_per_s", 10}}}}},
                       {"refused_by_code", {{evil, 2}, {"2001", 3}}},
                       {"lost", 1},
                       {"service_by_second", {{{"complete", 4}}, {{"complete", 6}}}}};
    const auto text = figures_page(evil, figures);
    EXPECT_EQ(markup_fault(text), "") << text;
    for (const auto* unwanted : {"<script", "href", "src=", "url(", "\x01"}) {
        EXPECT_EQ(text.find(unwanted), std::string::npos) << unwanted;
    }
    for (const auto* wanted : {"&lt;script&gt;", "Time to first token", "Completed by second", ": 75</title>", "2001",
                               "lost", "300", "<polyline points=\"46.0,"}) {
        EXPECT_NE(text.find(wanted), std::string::npos) << wanted << " in\n" << text;
    }
    {
        SCOPED_TRACE("nothing was measured");
        EXPECT_EQ(markup_fault(figures_page("t", json::object())), "");
        const json zero{{"service_by_second", {{{"complete", 0}}}}, {"tokens_by_team", {0, 0}}};
        EXPECT_EQ(figures_page("t", zero).find("nan"), std::string::npos);
    }
    {
        SCOPED_TRACE("more bars than are drawn, and long labels");
        page many{"t"};
        many.add_bars("b", "", std::vector<bar>(max_bars + 2, bar{std::string(100, 'x') + "é", 1}));
        EXPECT_EQ(markup_fault(many.text()), "");
        EXPECT_NE(many.text().find("and 2 more"), std::string::npos);
    }
    EXPECT_NE(markup_fault("<!DOCTYPE html>\n<p><b></p>"), "") << "the check itself";
}

} // namespace
} // namespace dandelionbay::plot
