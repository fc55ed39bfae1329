#include <gtest/gtest.h>

#include "dandelionbay/router/router_fixture.hpp"

namespace dandelionbay {
namespace {

using namespace testing_support;

/*! Does whatever agents, callers, links and the clock may do, in any order, from one seed. */
class random_scenario {
    [[nodiscard]] std::uint64_t below(std::uint64_t n) { return random_() % n; }

    [[nodiscard]] const submit* any_run() {
        if (runs_.empty()) {
            return nullptr;
        }
        return &runs_[below(runs_.size())];
    }

    void message_of(const submit& work, std::size_t agent) {
        const auto offset = below(6);
        switch (below(6)) {
        case 0:
            it.receive(head{work.id, 200, {}}, agent);
            break;
        case 1:
        case 2:
            it.receive(chunk{work.id, offset, text_.substr(offset, below(6)), 1}, agent);
            break;
        case 3:
            it.receive(finish{work.id, result_code::ok, executed::yes, text_.size(), 10, 3}, agent);
            break;
        case 4:
            it.receive(finish{work.id, result_code::endpoint_failed, executed::unknown, 0, 0, 0}, agent);
            break;
        default:
            it.receive(rejected{work.id, work.grant, result_code::endpoint_cold}, agent);
            break;
        }
    }

    void link(std::size_t agent) {
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
                link(agent);
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
            if (const auto* const work = any_run()) {
                message_of(*work, agent);
            }
        }
        collect();
    }

    /*! Everything that is still open must end by itself. */
    void finish_all() {
        it.advance(seconds{300});
        collect();
        EXPECT_TRUE(it.core.idle());
        EXPECT_EQ(it.ends().size(), accepted_.size());
        for (const auto& end : it.ends()) {
            if (end.code == result_code::ok) {
                EXPECT_EQ(it.text(end.id), text_);
            } else {
                EXPECT_TRUE(text_.starts_with(it.text(end.id)));
            }
        }
    }

    router_fixture it{};

private:
    void collect() {
        for (; seen_ < it.log.size(); ++seen_) {
            const auto* const out = std::get_if<send_message>(&it.log[seen_]);
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
    std::size_t seen_{};
    std::string text_{"abcdefghij"};
};

// Guards against requests that never end or end twice, answers that differ from what was sent, and broken invariants
// in any order of events. A failing seed is repeated with --gtest_filter=router_random.* and the printed seed.
TEST(router_random, every_request_ends_once_with_its_own_answer) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        random_scenario life{seed};
        for (int n = 0; n < 2'000; ++n) {
            life.step();
        }
        life.finish_all();
        if (HasFailure()) {
            break;
        }
    }
}

} // namespace
} // namespace dandelionbay
