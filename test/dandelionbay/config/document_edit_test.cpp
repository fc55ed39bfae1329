#include "dandelionbay/config/document_edit.hpp"

#include <gtest/gtest.h>

#include "dandelionbay/config/fleet_config.hpp"

namespace dandelionbay {
namespace {

using nlohmann::json;

// Guards against an edit that hits another object, and against an edit of an absent one that reports success.
TEST(document_edit, changes_one_object) {
    json document = json::object();
    EXPECT_TRUE(absl::IsNotFound(object_of(document, "zones", "z").status()));
    EXPECT_TRUE(absl::IsNotFound(erase_object(document, "zones", "z")));
    EXPECT_TRUE(absl::IsNotFound(patch_labels(document, "zones", "z", json::object())));
    EXPECT_TRUE(put_object(document, "zones", "y", {{"region", "r"}}).ok());
    EXPECT_TRUE(put_object(document, "zones", "z", {{"region", "r"}, {"name", "z"}}).ok());
    EXPECT_TRUE(put_object(document, "zones", "z", {{"region", "q"}}).ok());
    EXPECT_EQ(document["zones"].size(), 2U);
    EXPECT_EQ(object_of(document, "zones", "z").value()["region"], "q");
    EXPECT_TRUE(absl::IsInvalidArgument(put_object(document, "zones", "z", {{"name", "y"}})));
    EXPECT_TRUE(absl::IsInvalidArgument(put_object(document, "zones", "z", json::array())));
    {
        SCOPED_TRACE("labels are merged; null removes");
        EXPECT_TRUE(patch_labels(document, "zones", "z", {{"a", "1"}, {"b", "2"}}).ok());
        EXPECT_TRUE(patch_labels(document, "zones", "z", {{"a", nullptr}, {"c", "3"}}).ok());
        EXPECT_EQ(object_of(document, "zones", "z").value()["labels"], json({{"b", "2"}, {"c", "3"}}));
        EXPECT_TRUE(absl::IsInvalidArgument(patch_labels(document, "zones", "z", "a")));
    }
    EXPECT_TRUE(erase_object(document, "zones", "y").ok());
    EXPECT_EQ(document["zones"].size(), 1U);
}

// Guards against a zone or endpoint that stays in service after the command, and against overwriting a selector that
// an operator wrote.
TEST(document_edit, takes_zones_and_endpoints_out_by_label) {
    json document{{"zones", {{{"name", "z"}, {"region", "r"}}, {{"name", "y"}, {"region", "r"}}}},
                  {"endpoints", {{{"name", "e"}, {"zone", "z"}}}}};
    const auto parsed = [&] { return parse_fleet_config(document.dump(), 1).value(); };
    EXPECT_TRUE(set_zone_out(document, "z", true).ok());
    EXPECT_TRUE(parsed().zone_out(zone_id{"z"}));
    EXPECT_FALSE(parsed().zone_out(zone_id{"y"}));
    EXPECT_TRUE(set_zone_out(document, "z", false).ok());
    EXPECT_FALSE(parsed().zone_out(zone_id{"z"}));
    EXPECT_TRUE(set_leaving(document, "e", true).ok());
    EXPECT_TRUE(parsed().leaving(endpoint_id{"e"}));
    EXPECT_TRUE(set_leaving(document, "e", false).ok());
    EXPECT_FALSE(parsed().leaving(endpoint_id{"e"}));
    EXPECT_TRUE(absl::IsNotFound(set_zone_out(document, "x", true)));
    document["zones_out"] = "region=r";
    EXPECT_TRUE(absl::IsFailedPrecondition(set_zone_out(document, "z", false)));
    EXPECT_EQ(document["zones_out"], "region=r");
}

} // namespace
} // namespace dandelionbay
