// A gateway whose store comes back from a backup some seconds old.
#include "crashing_service.hpp"
#include "two_gateways.hpp"

namespace dandelionbay::platform {
namespace {

class gateway_restore : public two_gateways {
protected:
    static constexpr milliseconds absence{300};
    static constexpr milliseconds evacuation_bound{5'000};
    static constexpr milliseconds drain_bound{2'500};
    /*! Three times the interval at which routers read what they and others wrote. */
    static constexpr milliseconds rewrite_bound{15'000};

    void TearDown() override {
        other.reset();
        gateway_fleet::TearDown();
    }

    /*! Raises the version of the store far above that of the backup, and lets the gateway read it. */
    void write_much() {
        for (int n = 0; n < 200; ++n) {
            store.put("notes", "n", std::to_string(n));
        }
        std::this_thread::sleep_for(milliseconds{1'500});
    }

    void restore_store() {
        store.set_down(true);
        std::this_thread::sleep_for(absence);
        store.restore();
        store.set_down(false);
    }

    [[nodiscard]] bool is_served() const { return gateway->get("/look/x").find("200 X") != std::string::npos; }
};

// Guards against lists that are thrown away until the store's versions have grown past those before its return, while
// endpoints leave or become cold.
TEST_F(gateway_restore, endpoints_that_leave_after_the_return_get_no_more_calls) {
    add_second_endpoints();
    store.keep_copy();
    write_much();
    restore_store();
    store.put("servers", desk_1.id(), desk_1.entry("desk", "draining"));
    std::this_thread::sleep_for(drain_bound);
    const auto before = calls(desk_1, "/look/x").size();
    for (int n = 0; n < 20; ++n) {
        EXPECT_TRUE(is_served());
    }
    EXPECT_EQ(calls(desk_1, "/look/x").size(), before);
}

// Guards against an evacuation that is obeyed only when the store's versions have grown past those before its return.
TEST_F(gateway_restore, a_zone_that_is_taken_out_after_the_return_is_emptied_in_time) {
    store.keep_copy();
    write_much();
    restore_store();
    store.put("op", "evacuate/zone-1", "{}");
    EXPECT_TRUE(eventually(
        [&] {
            const auto answer = gateway->get("/look/x");
            return answer.find("200 X") == std::string::npos && answer.find("configuration_stale") == std::string::npos;
        },
        evacuation_bound));
}

// Guards against a zone that returns to service because the backup lacks its row until the operator writes it again.
TEST_F(gateway_restore, a_zone_that_was_taken_out_before_the_return_stays_out) {
    store.keep_copy();
    store.put("op", "evacuate/zone-1", "{}");
    EXPECT_TRUE(eventually([&] { return !is_served(); }, evacuation_bound));
    write_much();
    restore_store();
    const auto rewritten_at = std::chrono::steady_clock::now() + seconds{1};
    while (std::chrono::steady_clock::now() < rewritten_at) {
        EXPECT_EQ(gateway->get_within("/look/x", milliseconds{100}).find("200 X"), std::string::npos);
    }
    store.put("op", "evacuate/zone-1", "{}");
    std::this_thread::sleep_for(seconds{3});
    EXPECT_FALSE(is_served());
    {
        SCOPED_TRACE("the operator takes it back");
        store.remove("op", "evacuate/zone-1");
        EXPECT_TRUE(eventually([&] { return is_served(); }, evacuation_bound));
    }
}

// Guards against a configuration that is taken for the known one because its row's version is given out again.
TEST_F(gateway_restore, a_configuration_under_a_version_that_is_given_out_again_is_adopted) {
    store.keep_copy();
    store.put("op", "config", config(2));
    std::this_thread::sleep_for(milliseconds{1'500});
    restore_store();
    store.put("op", "config", config(3, R"(["key-2"])"));
    EXPECT_TRUE(eventually([&] { return gateway->get("/look/x").find(" 401 ") != std::string::npos; }, drain_bound));
}

// Guards against a gateway that peers no longer find because the store has lost its announcement.
TEST_F(gateway_restore, an_announcement_that_the_store_has_lost_is_written_again) {
    store.keep_copy();
    start_other();
    ASSERT_TRUE(eventually([&] { return store.rows("routers") == 2; }));
    restore_store();
    EXPECT_TRUE(eventually([&] { return store.rows("routers") == 2; }, rewrite_bound));
}

// Guards against a block that gateways which start later don't know because the store has lost it.
TEST_F(gateway_restore, a_blocked_part_that_the_store_has_lost_is_written_again) {
    store.remove("servers", engine_1.id());
    crashing_service engines{store, "m", 4, "engine-life-"};
    std::this_thread::sleep_for(milliseconds{700});
    store.keep_copy();
    int sent = 0;
    EXPECT_TRUE(eventually(
        [&] {
            const int n = ++sent;
            std::ignore = gateway->get(concat("/chat/c", n), concat("Dandelionbay-Prompt-Prefix: a1:100,dead1:50,",
                                                                    absl::Hex(0x1'000 + n), ":10\r\n"));
            engines.restart_ended();
            return store.rows("lost-calls") > 0;
        },
        seconds{30}));
    restore_store();
    EXPECT_TRUE(eventually([&] { return store.rows("lost-calls") > 0; }, rewrite_bound));
    gateway.reset();
    engines.stop();
}

// Guards against a malformed number of the era that is taken for another one, or that stops the reading.
TEST_F(gateway_restore, a_malformed_era_is_ignored) {
    add_second_endpoints();
    store.garble_era(true);
    store.put("servers", desk_1.id(), desk_1.entry("desk", "draining"));
    std::this_thread::sleep_for(drain_bound);
    const auto before = calls(desk_1, "/look/x").size();
    for (int n = 0; n < 10; ++n) {
        EXPECT_TRUE(is_served());
    }
    EXPECT_EQ(calls(desk_1, "/look/x").size(), before);
}

} // namespace
} // namespace dandelionbay::platform
