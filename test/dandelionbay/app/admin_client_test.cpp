#include "dandelionbay/app/admin_client.hpp"

#include <gtest/gtest.h>

#include "dandelionbay/net/cut_answers.hpp"
#include "dandelionbay/platform/answering_server.hpp"

namespace dandelionbay::app {
namespace {

// Guards against a document that an operator reads short, or a change that is told as done, from an answer that was
// cut.
TEST(admin_client, a_cut_answer_is_none) {
    const std::string fields = "ETag: \"7\"\r\n";
    platform::answering_server server;
    const admin_client client{server.address(), "token"};
    for (const auto& whole : whole_answers(fields, false)) {
        server.answer(whole);
        EXPECT_EQ(client.get("config").revision(), 7) << whole;
    }
    for (const auto& cut : cut_answers(fields)) {
        server.answer(cut);
        EXPECT_EQ(client.get("config").status, 0) << cut;
        EXPECT_EQ(client.send("PUT", "config", "\"6\"", "{}").status, 0) << cut;
    }
}

} // namespace
} // namespace dandelionbay::app
