#include "crashing_service.hpp"
#include "two_gateways.hpp"

namespace dandelionbay::platform {
namespace {

/*! Two gateways before endpoints that end when they begin a certain call. */
class gateway_crash : public two_gateways {
protected:
    void SetUp() override {
        gateway_fleet::SetUp();
        store.remove("servers", desk_1.id());
        start_other();
        ASSERT_TRUE(desks_serve());
        std::this_thread::sleep_for(milliseconds{700}); // The list, read every 500 ms, may still hold the first desk.
    }

    void TearDown() override {
        other.reset();
        desks.stop();
        gateway_fleet::TearDown();
    }

    /*! Waits until both gateways serve with the endpoints that are there now. */
    [[nodiscard]] bool desks_serve() {
        return eventually([&] {
            return gateway->get("/look/any").find("\r\n\r\ndesk-life-") != std::string::npos &&
                   other->get("/look/any").find("\r\n\r\ndesk-life-") != std::string::npos;
        });
    }

    /*! The call comes again, at the gateways in turn, until it has ended this many endpoints. */
    void crash_endpoints(const std::string& path, int n) {
        for (int sent = 0; desks.crashes() < n && sent < 4 * n; ++sent) {
            std::ignore = (sent % 2 == 0 ? *gateway : *other).get(path);
            desks.restart_ended();
            ASSERT_TRUE(desks_serve());
        }
        ASSERT_GE(desks.crashes(), n);
    }

    /*! Copies of a call come at once, one at each of these gateways, round after round.
     *  @return Endpoints of the services that end later than the gateways may take to learn of the first three. */
    [[nodiscard]] int later_crashes_of_copies(const std::vector<const running_gateway*>& at,
                                              const std::vector<crashing_service*>& services) {
        const std::string path = concat("/look", crashing_service::crashing_path);
        const auto crashes = [&] {
            int n = 0;
            for (const auto* const it : services) {
                n += it->crashes();
            }
            return n;
        };
        const auto send_copies = [&] {
            std::vector<std::thread> callers;
            for (const auto* const it : at) {
                callers.emplace_back([&, it] { std::ignore = it->get(path); });
            }
            for (auto& it : callers) {
                it.join();
            }
            for (auto* const it : services) {
                it->restart_ended();
            }
            EXPECT_TRUE(desks_serve());
            std::this_thread::sleep_for(milliseconds{700}); // All new endpoints are known.
        };
        send_copies();
        EXPECT_GE(crashes(), 3);
        std::this_thread::sleep_for(contact);
        const int before = crashes();
        for (int round = 0; round < 5; ++round) {
            send_copies();
        }
        return crashes() - before;
    }

    crashing_service desks{store, "desk", 3, "desk-life-"};
};

// Guards against a call that ends each endpoint that runs it and is sent to more and more of them, because its caller
// comes again under a new id and at another gateway.
TEST_F(gateway_crash, a_call_that_ends_its_endpoints_is_not_sent_again_and_again) {
    const std::string path = concat("/look", crashing_service::crashing_path);
    crash_endpoints(path, 3);
    std::this_thread::sleep_for(contact);
    const int before = desks.crashes();
    std::string last;
    for (int n = 0; n < 8; ++n) {
        last = (n % 2 == 0 ? *gateway : *other).get(path);
        desks.restart_ended();
        std::this_thread::sleep_for(milliseconds{100});
    }
    EXPECT_LE(desks.crashes() - before, allowed_later);
    EXPECT_NE(last.find(" 422 "), std::string::npos) << last;
    EXPECT_NE(last.find("crashes_endpoints"), std::string::npos) << last;
    {
        SCOPED_TRACE("other calls are served as before");
        ASSERT_TRUE(desks_serve());
        EXPECT_NE(gateway->get("/look/other").find("200 X"), std::string::npos);
    }
}

// Guards against a call that ends its endpoints and is sent on for longer because its caller sends copies at once.
TEST_F(gateway_crash, copies_of_a_call_that_ends_its_endpoints_are_not_sent_again_and_again) {
    EXPECT_LE(later_crashes_of_copies({gateway.get(), other.get(), gateway.get()}, {&desks}), allowed_later);
}

// Guards against a call whose copies each gateway lets run once in each round, so that it ends as many endpoints.
TEST_F(gateway_crash, copies_at_many_gateways_end_few_endpoints) {
    crashing_service more{store, "desk", 2, "desk-life-more-"};
    std::vector<std::unique_ptr<running_gateway>> others;
    for (const auto* const name : {"g3", "g4"}) {
        others.push_back(std::make_unique<running_gateway>(name, store.address(), gateway_bounds{},
                                                           std::vector<socket_address>{gateway->peer_address()}));
        ASSERT_TRUE(eventually([&] { return others.back()->get("/look/any").find("200 X") != std::string::npos; }));
    }
    EXPECT_LE(later_crashes_of_copies({gateway.get(), other.get(), others[0].get(), others[1].get()}, {&desks, &more}),
              allowed_later);
    others.clear();
    more.stop();
}

// Guards against a refusal of calls that only happened to run at endpoints that ended: many at a time, and again later.
TEST_F(gateway_crash, a_call_that_was_lost_with_its_endpoints_is_served_afterwards) {
    const std::string path = concat("/look", crashing_service::slow_path);
    for (int round = 0; round < 4; ++round) {
        std::vector<std::thread> callers;
        for (int n = 0; n < 6; ++n) {
            callers.emplace_back([&, n] { std::ignore = (n % 2 == 0 ? *gateway : *other).get(path); });
        }
        EXPECT_TRUE(eventually([&] { return desks.running() == 6; }));
        desks.crash_all();
        for (auto& it : callers) {
            it.join();
        }
        desks.restart_ended();
        ASSERT_TRUE(desks_serve());
        EXPECT_NE(gateway->get(path).find("200 X"), std::string::npos);
        EXPECT_NE(other->get(path).find("200 X"), std::string::npos);
    }
}

// Guards against a refusal of calls that were silent at one endpoint after the other, when all of these had fallen dark
// before they came.
TEST_F(gateway_crash, a_call_that_came_to_dark_endpoints_is_served_afterwards) {
    const std::string path = concat("/look", crashing_service::slow_path);
    for (const auto* const it : {gateway.get(), other.get()}) { // Each keeps connections to all endpoints.
        std::vector<std::thread> callers;
        for (int n = 0; n < 6; ++n) {
            callers.emplace_back([&, n] { std::ignore = it->get(concat(path, n)); });
        }
        for (auto& caller : callers) {
            caller.join();
        }
    }
    desks.go_dark();
    std::thread before{[&] { std::ignore = gateway->get_within(concat(path, "-other"), milliseconds{1'500}); }};
    std::this_thread::sleep_for(milliseconds{20}); // The other call is at the first endpoint, this one at the next two.
    for (const auto* const it : {gateway.get(), other.get()}) {
        std::ignore = it->get_within(path, milliseconds{1'500});
    }
    before.join();
    desks.restart_ended();
    ASSERT_TRUE(desks_serve());
    std::this_thread::sleep_for(contact); // All know that the processes have ended.
    EXPECT_NE(gateway->get(path).find("200 X"), std::string::npos);
    EXPECT_NE(other->get(path).find("200 X"), std::string::npos);
    EXPECT_EQ(store.rows("lost-calls"), 0);
}

// Guards against a call under which one host after the other falls dark and that is never refused, because a silent run
// does not count.
TEST_F(gateway_crash, a_call_under_which_endpoints_fall_dark_is_refused) {
    std::atomic<bool> done{};
    std::vector<std::thread> others;
    for (const auto* const it : {gateway.get(), other.get()}) { // Their answers tell when an endpoint was last alive.
        for (int n = 0; n < 6; ++n) {
            others.emplace_back([&, it, n] {
                while (!done) {
                    std::ignore = it->get(concat("/look", crashing_service::slow_path, n));
                }
            });
        }
    }
    const std::string path = concat("/look", crashing_service::darkening_path);
    crash_endpoints(path, 3);
    EXPECT_TRUE(eventually([&] {
        desks.restart_ended();
        return gateway->get(path).find(" 422 ") != std::string::npos &&
               other->get(path).find(" 422 ") != std::string::npos;
    }));
    EXPECT_LE(desks.crashes(), 3 + allowed_later);
    done = true;
    for (auto& it : others) {
        it.join();
    }
    desks.restart_ended();
    ASSERT_TRUE(desks_serve());
    for (int n = 0; n < 6; ++n) {
        EXPECT_NE(gateway->get(concat("/look", crashing_service::slow_path, n)).find("200 X"), std::string::npos);
    }
}

// Guards against a call that ends endpoints anew after all gateways started again, when none is there to tell of it.
TEST_F(gateway_crash, a_refused_call_stays_refused_when_all_gateways_start_again) {
    const std::string path = concat("/look", crashing_service::crashing_path);
    crash_endpoints(path, 3);
    EXPECT_TRUE(eventually([&] {
        desks.restart_ended();
        return gateway->get(path).find(" 422 ") != std::string::npos;
    }));
    EXPECT_TRUE(eventually([&] { return store.rows("lost-calls") == 1; }));
    const int before = desks.crashes();
    other.reset();
    start_gateway();
    start_other();
    ASSERT_TRUE(desks_serve());
    std::this_thread::sleep_for(contact);
    EXPECT_NE(gateway->get(path).find(" 422 "), std::string::npos);
    EXPECT_NE(other->get(path).find(" 422 "), std::string::npos);
    EXPECT_EQ(desks.crashes(), before);
}

// Guards against rows of refused calls that pile up in the platform's store, and against ones that make no sense.
TEST_F(gateway_crash, rows_of_calls_that_are_not_refused_any_more_are_removed) {
    const auto old = standin_store::ms_before(
        std::chrono::duration_cast<milliseconds>(lost_run_registry::retention_window) + seconds{1});
    const nlohmann::json run{{"endpoint", "e"}, {"started", 1}, {"began_ms", old - 10}, {"ended_ms", old}};
    store.put("lost-calls", "000000000000002a", nlohmann::json{{"runs", nlohmann::json::array({run})}}.dump());
    store.put("lost-calls", "000000000000002b", "{");
    start_gateway();
    EXPECT_TRUE(eventually([&] { return !store.holds("lost-calls", "000000000000002a"); }));
    EXPECT_NE(gateway->get("/look/any").find("200 X"), std::string::npos);
}

} // namespace
} // namespace dandelionbay::platform
