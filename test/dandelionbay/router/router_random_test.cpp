#include <gtest/gtest.h>

#include "dandelionbay/router/router_fixture.hpp"

namespace dandelionbay {
namespace {

using namespace testing_support;

/*! Generates random events of agents, callers, links and the clock from a seed. */
class random_scenario {
    [[nodiscard]] std::uint64_t below(std::uint64_t n) { return random_() % n; }

    [[nodiscard]] const submit* random_run() {
        if (runs_.empty()) {
            return nullptr;
        }
        return &runs_[below(runs_.size())];
    }

    void receive_message_of(const submit& work, std::size_t agent) {
        const auto offset = below(6);
        switch (below(6)) {
        case 0:
            it.receive(head{work.id, 200, {}}, agent);
            break;
        case 1:
        case 2:
            it.receive(chunk{work.id, offset, answer_.substr(offset, below(6)), 1}, agent);
            break;
        case 3:
            it.receive(finish{work.id, result_code::ok, executed::yes, answer_.size(), 10, 3}, agent);
            break;
        case 4:
            it.receive(finish{work.id, result_code::endpoint_failed, executed::unknown, 0, 0, 0}, agent);
            break;
        default:
            it.receive(rejected{work.id, work.grant, result_code::endpoint_cold}, agent);
            break;
        }
    }

    void change_link(std::size_t agent) {
        if (below(2) == 0) {
            it.record(it.core.link_down(host("agent", agent), it.now));
        } else {
            incarnations_[agent] += below(4) == 0 ? 1 : 0;
            it.record(it.core.link_up(agent_hello(agent, incarnations_[agent]), it.now));
        }
    }

public:
    explicit random_scenario(std::uint64_t seed) : random_{seed} {}

    void step() {
        const auto agent = below(2);
        const auto name = team(below(4));
        switch (below(12)) {
        case 0:
        case 1:
            accepted_.push_back(it.accept(below(3) == 0 ? order(name) : chat(name, 10, 20)));
            break;
        case 2:
        case 3:
            it.receive(grant{pool, {grant_id{1, ++grants_}, grant_id{1, 1 + below(grants_)}}, 3'000, below(2) == 0, {}},
                       agent);
            break;
        case 4:
            it.receive(recall{{grant_id{1, 1 + below(grants_ + 1)}}}, agent);
            break;
        case 5:
            if (below(8) == 0) {
                change_link(agent);
            }
            break;
        case 6:
            if (!accepted_.empty() && below(4) == 0) {
                it.record(it.core.caller_gone(accepted_[below(accepted_.size())], it.now));
            }
            break;
        case 7:
            it.advance(milliseconds{20 * (1 + below(10))});
            break;
        default:
            if (const auto* const work = random_run()) {
                receive_message_of(*work, agent);
            }
        }
        collect_submissions();
    }

    /*! Advances the time until all pending requests must have ended, and checks their answers. */
    void finish_all() {
        it.advance(seconds{300});
        collect_submissions();
        EXPECT_TRUE(it.core.idle());
        EXPECT_EQ(it.ends().size(), accepted_.size());
        for (const auto& end : it.ends()) {
            if (end.code == result_code::ok) {
                EXPECT_EQ(it.text(end.id), answer_);
            } else {
                EXPECT_TRUE(answer_.starts_with(it.text(end.id)));
            }
        }
    }

    router_fixture it{};

private:
    void collect_submissions() {
        for (; next_action_ < it.log.size(); ++next_action_) {
            const auto* const out = std::get_if<send_message>(&it.log[next_action_]);
            if (out != nullptr && std::holds_alternative<submit>(out->body)) {
                runs_.push_back(std::get<submit>(out->body));
                if (runs_.size() > 8) {
                    runs_.erase(runs_.begin());
                }
            }
        }
    }

    std::mt19937_64 random_;
    std::vector<submit> runs_{};
    std::vector<request_id> accepted_{};
    std::map<std::size_t, incarnation_type> incarnations_{{0, 1}, {1, 1}};
    std::uint64_t grants_{};
    std::size_t next_action_{};
    std::string answer_{"abcdefghij"};
};

// Guards against requests that never end or end twice, answers that differ from what was sent, and broken invariants
// in any order of events. A failing seed is printed; run it again with --gtest_filter=router_random.*.
TEST(router_random, every_request_ends_once_with_its_own_answer) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        random_scenario scenario{seed};
        for (int n = 0; n < 2'000; ++n) {
            scenario.step();
        }
        scenario.finish_all();
        if (HasFailure()) {
            break;
        }
    }
}

} // namespace
} // namespace dandelionbay
