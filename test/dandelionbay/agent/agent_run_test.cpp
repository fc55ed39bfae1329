#include "dandelionbay/agent/agent_harness.hpp"

namespace dandelionbay {
namespace {

class agent_runs : public agent_harness {};

// Guards against answers without head, order of bytes or end in a run without faults.
TEST_F(agent_runs, a_request_goes_from_demand_to_finish) {
    start_agent();
    link("r1");
    {
        SCOPED_TRACE("no grants before the endpoint's state is known");
        send_demand("r1", "team", 3);
        EXPECT_EQ(grant_count("r1"), 0);
    }
    {
        SCOPED_TRACE("a cold endpoint takes one request");
        report({.process = "p1", .cold = true});
        EXPECT_EQ(grant_count("r1"), 1);
    }
    const auto id = submit_one("r1");
    ASSERT_EQ(started_runs.size(), 1);
    EXPECT_EQ(core->running(), 1);
    advance(milliseconds{40});
    perform(core->run_head(id, 200, {}, now));
    perform(core->run_data(id, "ab", 1, now));
    perform(core->run_data(id, "cde", 2, now));
    perform(core->run_ended(id, run_end::complete, 7, now));
    EXPECT_EQ(messages<head>("r1"), (std::vector<head>{{.id = id, .status = 200}}));
    EXPECT_EQ(messages<chunk>("r1"), (std::vector<chunk>{{.id = id, .data = "ab", .output_tokens = 1},
                                                         {.id = id, .offset = 2, .data = "cde", .output_tokens = 2}}));
    EXPECT_EQ(messages<finish>("r1"),
              (std::vector<finish>{{.id = id, .total_bytes = 5, .input_tokens = 7, .output_tokens = 3}}));
    EXPECT_TRUE(core->idle());
    EXPECT_GT(grant_count("r1"), 0) << "the free slot goes to the next waiting request";
}

} // namespace
} // namespace dandelionbay
