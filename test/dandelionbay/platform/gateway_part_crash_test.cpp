// Gateways before engines that end when they begin an answer to a prompt with a certain part.
#include <nlohmann/json.hpp>

#include "crashing_service.hpp"
#include "dandelionbay/base/fingerprint.hpp"
#include "platform/documents.hpp"
#include "two_gateways.hpp"

namespace dandelionbay::platform {
namespace {

/*! Two gateways before four engines, with callers of sound prompts beside those of the test. */
class gateway_part_crash : public two_gateways {
protected:
    /*! Number of endpoints after whose end they have to know. */
    static constexpr int crashes_to_know = 5;

    void SetUp() override {
        gateway_fleet::SetUp();
        store.remove("servers", engine_1.id());
        start_other();
        ASSERT_TRUE(engines_serve());
        std::this_thread::sleep_for(milliseconds{700}); // The list, read every 500 ms, may still hold the first engine.
    }

    void TearDown() override {
        stop_sound_callers();
        other.reset();
        engines.stop();
        gateway_fleet::TearDown();
    }

    /*! Sends a prompt of these shared parts; its last part and its path are like no other's. */
    std::string chat(const running_gateway& at, const std::string& parts, int tokens = 200) {
        const int n = ++sent_;
        return at.get(concat(path, n), concat("Dandelionbay-Prompt-Prefix: ", parts, ",", absl::Hex(0x1'000'000 + n),
                                              ":10\r\nDandelionbay-Token-Count: ", tokens, ",24\r\n"));
    }

    [[nodiscard]] bool engines_serve() {
        return eventually([&] {
            return chat(*gateway, "a1:100,c1:50").find("200 X") != std::string::npos &&
                   chat(*other, "a1:100,c1:50").find("200 X") != std::string::npos;
        });
    }

    /*! Keeps prompts with the same opening and other parts in flight at both gateways. */
    void start_sound_callers() {
        for (const auto* const at : {gateway.get(), other.get()}) {
            for (int n = 0; n < 3; ++n) {
                sound_callers_.emplace_back([this, at, n] {
                    while (!done_) {
                        if (chat(*at, concat("a1:100,b", n, ":50")).find(" 422 ") != std::string::npos) {
                            ++refused_sound;
                        }
                    }
                });
            }
        }
    }

    void stop_sound_callers() {
        done_ = true;
        for (auto& it : sound_callers_) {
            it.join();
        }
        sound_callers_.clear();
    }

    /*! Prompts with these parts come at the gateways in turn until so many endpoints have ended. */
    void crash_endpoints(const std::vector<std::string>& parts, int n) {
        for (std::size_t sent = 0; engines.crashes() < n && sent < static_cast<std::size_t>(4 * n); ++sent) {
            std::ignore = chat(sent % 2 == 0 ? *gateway : *other, parts[sent % parts.size()]);
            engines.restart_ended();
            ASSERT_TRUE(engines_serve());
        }
    }

    /*! Sends prompts with these parts after the gateways had time to learn. @return Endpoints that they ended. */
    int later_crashes(const std::vector<std::string>& parts) {
        std::this_thread::sleep_for(contact);
        const int before = engines.crashes();
        for (std::size_t n = 0; n < 8; ++n) {
            const auto answer = chat(n % 2 == 0 ? *gateway : *other, parts[n % parts.size()]);
            EXPECT_NE(answer.find(" 422 "), std::string::npos) << answer;
            engines.restart_ended();
            std::this_thread::sleep_for(milliseconds{100});
        }
        return engines.crashes() - before;
    }

    /*! Starts the other gateway anew with an old block of a part in the registry. @return Key of the block's row. */
    std::string start_other_with_block_of(std::string_view service, std::uint64_t part) {
        const auto key = key_of(service_part{fingerprint_of({service}), part});
        store.put("lost-calls", key, nlohmann::json{{"blocked_ms", standin_store::ms_before(seconds{60})}}.dump());
        other.reset();
        start_other();
        return key;
    }

    /*! The sound prompts are served as before. */
    void expect_sound_calls_served() {
        SCOPED_TRACE("sound prompts are served");
        stop_sound_callers();
        engines.restart_ended();
        ASSERT_TRUE(engines_serve());
        for (const auto* const at : {gateway.get(), other.get()}) {
            for (int n = 0; n < 3; ++n) {
                const auto answer = chat(*at, concat("a1:100,b", n, ":50"));
                EXPECT_NE(answer.find("200 X"), std::string::npos) << answer;
            }
        }
        EXPECT_EQ(refused_sound, 0);
    }

    crashing_service engines{store, "m", 4, "engine-life-"};
    std::atomic<int> refused_sound{};
    std::string path{"/chat/c"};

private:
    std::atomic<int> sent_{};
    std::atomic<bool> done_{};
    std::vector<std::thread> sound_callers_{};
};

// Guards against calls that end one endpoint after the other because only a part of their prompts is the same.
TEST_F(gateway_part_crash, calls_with_a_part_that_ends_endpoints_are_not_sent_again_and_again) {
    const std::vector<std::string> parts{"a1:100,dead1:50"};
    start_sound_callers();
    crash_endpoints(parts, crashes_to_know);
    EXPECT_LE(later_crashes(parts), allowed_later);
    expect_sound_calls_served();
}

// Guards against the same where the part begins the prompt and sound calls share those after it.
TEST_F(gateway_part_crash, calls_that_begin_with_such_a_part_are_not_sent_again_and_again) {
    const std::vector<std::string> parts{"dead1:100,b0:50", "dead1:100,b1:50"};
    start_sound_callers();
    crash_endpoints(parts, crashes_to_know);
    EXPECT_LE(later_crashes(parts), allowed_later);
    expect_sound_calls_served();
}

// Guards against two such parts at once that hide each other.
TEST_F(gateway_part_crash, two_such_parts_at_once_are_both_found) {
    const std::vector<std::string> parts{"a1:100,dead1:50", "a1:100,dead2:50", "a1:100,dead2:50", "a1:100,dead1:50"};
    start_sound_callers();
    crash_endpoints(parts, 2 * crashes_to_know);
    EXPECT_LE(later_crashes(parts), 2 * allowed_later);
    expect_sound_calls_served();
}

// Guards against the same where endpoints end after the first event of the answer, which callers resume elsewhere.
TEST_F(gateway_part_crash, calls_that_end_endpoints_after_an_event_are_not_sent_again_and_again) {
    const std::vector<std::string> parts{"a1:100,fade1:50"};
    start_sound_callers();
    crash_endpoints(parts, crashes_to_know);
    EXPECT_LE(later_crashes(parts), allowed_later);
    expect_sound_calls_served();
}

// Guards against the same where such a stream is not resumed.
TEST_F(gateway_part_crash, calls_that_end_endpoints_after_an_event_and_are_not_resumed_are_refused_soon) {
    path = "/chat/once/c";
    const std::vector<std::string> parts{"a1:100,fade1:50"};
    crash_endpoints(parts, crashes_to_know);
    EXPECT_LE(later_crashes(parts), allowed_later);
}

// Guards against a refusal of sound calls because two endpoints ended while they processed the first calls with a new
// part.
TEST_F(gateway_part_crash, a_new_part_stays_served_when_unrelated_endpoints_end_under_its_first_calls) {
    std::this_thread::sleep_for(part_crash_registry::learning_time);
    const std::string parts = "a1:100,bead1:4000";
    constexpr int tokens = 12'000;
    std::atomic<int> refused{};
    std::vector<std::thread> callers;
    for (int n = 0; n < 8; ++n) {
        callers.emplace_back([&, n] {
            const auto answer = chat(n % 2 == 0 ? *gateway : *other, parts, tokens);
            refused += answer.find(" 422 ") != std::string::npos ? 1 : 0;
        });
    }
    EXPECT_TRUE(eventually([&] { return engines.busy_with_long_prompts() >= 2; }));
    engines.crash_one_with_long_prompt();
    std::this_thread::sleep_for(milliseconds{300});
    engines.crash_one_with_long_prompt();
    for (auto& it : callers) {
        it.join();
    }
    EXPECT_EQ(refused, 0);
    engines.restart_ended();
    ASSERT_TRUE(engines_serve());
    for (const auto* const at : {gateway.get(), other.get()}) {
        const auto answer = chat(*at, parts, tokens);
        EXPECT_NE(answer.find("200 X"), std::string::npos) << answer;
    }
}

// Guards against calls that end endpoints anew after all gateways started again, when none is there to tell of the
// part.
TEST_F(gateway_part_crash, calls_with_such_a_part_stay_refused_when_all_gateways_start_again) {
    const std::vector<std::string> parts{"a1:100,dead1:50"};
    crash_endpoints(parts, crashes_to_know);
    std::this_thread::sleep_for(contact);
    const int before = engines.crashes();
    other.reset();
    start_gateway();
    start_other();
    engines.restart_ended();
    ASSERT_TRUE(engines_serve());
    EXPECT_EQ(later_crashes(parts), 0);
    EXPECT_EQ(engines.crashes(), before);
}

// Guards against sound calls that are refused for minutes at a gateway that starts: its peers, at which the part was
// answered, are not told of the block that it has read in the registry.
TEST_F(gateway_part_crash, a_block_that_answers_have_ended_is_lifted_at_a_gateway_that_starts) {
    start_other_with_block_of("m", 0xc1);
    EXPECT_TRUE(engines_serve()) << chat(*other, "a1:100,c1:50");
}

// Guards against sound calls that are refused at each start of a gateway: a block that answers at a peer have ended
// stays in the registry.
TEST_F(gateway_part_crash, a_block_that_answers_have_ended_leaves_the_registry) {
    const auto key = start_other_with_block_of("m", 0xc1);
    EXPECT_TRUE(eventually([&] { return !store.holds("lost-calls", key); }));
}

// Guards against a refusal of sound calls that only happened to run at endpoints that ended.
TEST_F(gateway_part_crash, sound_calls_are_served_after_many_endpoints_ended) {
    start_sound_callers();
    for (int round = 0; round < 6; ++round) {
        std::this_thread::sleep_for(milliseconds{150 + 30 * round});
        engines.crash_all();
        engines.restart_ended();
        ASSERT_TRUE(engines_serve());
    }
    expect_sound_calls_served();
}

} // namespace
} // namespace dandelionbay::platform
