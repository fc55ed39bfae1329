#include "dandelionbay/label/selector.hpp"

#include <random>

#include <gtest/gtest.h>

namespace dandelionbay {
namespace {

selector parsed(std::string_view text) {
    auto it = selector::parse(text);
    EXPECT_TRUE(it.ok()) << text << ": " << it.status();
    return it.value_or(selector::none());
}

// Guards against a requirement that matches too much, above all with an absent key.
TEST(selector, evaluates_each_requirement) {
    const label_set labels{{"tier", "gold"}, {"in", "x"}};
    for (const auto* text : {"", "  ", "tier", "tier=gold", "tier == gold", "tier in (silver, gold)", "tier!=silver",
                             "tier notin (silver,bronze)", "!state", "state!=leaving", "state notin (leaving)",
                             "tier=gold,!state , in=x", "in in (x)", "in"}) {
        EXPECT_TRUE(parsed(text).matches(labels)) << text;
    }
    for (const auto* text : {"!*", "state", "tier=silver", "tier in (silver)", "tier!=gold", "tier notin (gold)",
                             "!tier", "state=leaving", "state in (leaving)", "tier=gold,state"}) {
        EXPECT_FALSE(parsed(text).matches(labels)) << text;
    }
    {
        SCOPED_TRACE("an implicit label takes precedence over a label that an operator sets");
        const std::array implicit{implicit_labels::value_type{"tier", "implicit"}};
        EXPECT_TRUE(parsed("tier=implicit").matches(labels, implicit));
        EXPECT_FALSE(parsed("tier=gold").matches(labels, implicit));
    }
}

// Guards against faults that are accepted or reported at the wrong place.
TEST(selector, reports_the_position_of_a_fault) {
    const std::vector<std::pair<std::string, std::string>> faults{
        {"a=", "position 3: expected a value"},         {"a in b", "position 6: expected \"(\""},
        {"a in ()", "position 7: expected a value"},    {"a in (b", "position 8: expected \",\" or \")\""},
        {"a,", "position 3: expected a key"},           {"=b", "position 1: expected a key"},
        {"a b", "position 4: expected \"=\""},          {"a=b c", "position 5: expected \",\" or the end"},
        {"!a=b", "position 3: expected \",\""},         {"!", "position 2: expected a key"},
        {std::string(101, 'k'), "position 1: the key"}, {std::string(9'000, ','), "longer than 8192"},
    };
    for (const auto& [text, fault] : faults) {
        const auto result = selector::parse(text);
        ASSERT_FALSE(result.ok()) << text;
        EXPECT_NE(std::string{result.status().message()}.find(fault), std::string::npos) << text << result.status();
    }
}

// Guards against text() losing meaning, and against a crash of the parser on any input.
TEST(selector, survives_random_mutation_and_round_trips) {
    std::mt19937 random{20'261'203};
    const std::string alphabet = "ab=!,() inot*-/.\t\xff";
    const std::vector<std::string> seeds{"a=b", "a in (b,a,b)", "a notin (x)", "!a,b", "!*", ""};
    std::size_t accepted = 0;
    for (int i = 0; i < 50'000; ++i) {
        auto text = seeds[random() % seeds.size()];
        for (auto n = random() % 6; n > 0; --n) {
            const auto at = random() % (text.size() + 1);
            if (random() % 3 == 0 && at < text.size()) {
                text.erase(at, 1);
            } else {
                text.insert(at, 1, alphabet[random() % alphabet.size()]);
            }
        }
        const auto first = selector::parse(text);
        if (!first.ok()) {
            continue;
        }
        ++accepted;
        const auto again = selector::parse(first->text());
        ASSERT_TRUE(again.ok()) << text << " became " << first->text();
        ASSERT_EQ(*again, *first) << text << " became " << first->text();
    }
    EXPECT_GT(accepted, 5'000U);
}

} // namespace
} // namespace dandelionbay
