#include "dandelionbay/base/fingerprint.hpp"

#include <gtest/gtest.h>

namespace dandelionbay {
namespace {

// Guards against two calls that are taken for one because their texts only join to the same text.
TEST(fingerprint, names_texts_in_their_order) {
    const auto call = fingerprint_of({"POST", "/a", "body"});
    EXPECT_EQ(call, fingerprint_of({"POST", "/a", "body"}));
    EXPECT_NE(call, fingerprint_of({"POST", "/a", "other"}));
    EXPECT_NE(call, fingerprint_of({"POST", "body", "/a"}));
    EXPECT_NE(call, fingerprint_of({"POST", "/ab", "ody"}));
    EXPECT_EQ(fingerprint_text(0x1fU), "000000000000001f");
    EXPECT_EQ(parse_fingerprint(fingerprint_text(call)), call);
    for (const auto* const text : {"", "1f", "000000000000001g", "00000000000000001f"}) {
        EXPECT_FALSE(parse_fingerprint(text)) << text;
    }
}

} // namespace
} // namespace dandelionbay
