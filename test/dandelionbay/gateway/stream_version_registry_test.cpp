#include "dandelionbay/gateway/stream_version_registry.hpp"

#include <deque>
#include <optional>
#include <string>
#include <utility>

#include <gtest/gtest.h>

#include "dandelionbay/dispatch/model_service.hpp"
#include "dandelionbay/peer/simulated_router.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{std::chrono::hours{1}};
constexpr duration trusted = stream_version_registry::max_evidence_age;
const service_id service{"model"};
const service_version old_version{service, version_id{"v1"}};
const service_version new_version{service, version_id{"v2"}};

/*! A router with the means to read the list of endpoints, and to send streams. */
struct version_router : simulated_router {
    class placement final : public dispatch_listener {
    public:
        void placed(ticket_id /*ticket*/, const endpoint_choice& choice) override { at = choice.version; }
        void refused(ticket_id /*ticket*/, const refusal& /*why*/) override {}
        std::optional<version_id> at{};
    };

    using simulated_router::simulated_router;

    void read_list(const endpoint_list& list, time_point now) {
        view.merge_endpoints(list, now, now);
        streams.update_versions(now);
        calls.set_version_holds(streams.holds(now));
        calls.refresh(now);
    }

    /*! Version at which a stream begins that arrives now, or one that waits already. */
    [[nodiscard]] std::optional<version_id> begin(time_point now) {
        work_item it;
        it.ticket = ++last_ticket;
        it.service = service;
        it.parts = {{last_ticket, 100}};
        it.prompt_tokens = 100;
        it.target = seconds{60};
        it.arrived = now;
        it.is_stream = true;
        listener_of_calls.at.reset();
        calls.submit(std::move(it), now);
        calls.process_waiting(now);
        return std::exchange(listener_of_calls.at, std::nullopt);
    }

    placement listener_of_calls{};
    dispatcher calls{view, router_location{}, {}, listener_of_calls, 1};
    ticket_id last_ticket{};
};

/*! Two routers whose ways to the registry and to each other can be cut, each way alone. */
class new_version_joins : public testing::Test {
protected:
    struct cuts {
        bool registry_to_second{};
        bool to_first{};
        bool to_second{};
    };

    void SetUp() override {
        for (auto* const it : {&first, &second}) {
            it->view.adopt(model_config());
            it->streams.set_complete();
        }
        add_endpoint("e1", old_version);
        run_for(seconds{30});
    }

    void add_endpoint(const std::string& id, const service_version& of) {
        endpoint_entry it;
        it.id = endpoint_id{id};
        it.service = of.service;
        it.version = of.version;
        it.slots = 64;
        it.row_version = ++registry.as_of.number;
        registry.entries.push_back(std::move(it));
    }

    /*! Both routers read the list and tell each other what they know, unless a way is cut. */
    void run_for(duration time) {
        for (const auto end = now + time; now < end; now += milliseconds{100}) {
            first.read_list(registry, now);
            if (!cut.registry_to_second && !second_paused) {
                second.read_list(registry, now);
            }
            auto to_second = first.synchronizer.make_message({"127.0.0.1", 2}, now);
            if (!cut.to_second) {
                unread.push_back(std::move(to_second));
            }
            if (second_paused) {
                continue;
            }
            read_messages();
            auto to_first = second.synchronizer.make_message({"127.0.0.1", 1}, now);
            if (!cut.to_first) {
                first.synchronizer.receive(to_first, now);
            }
        }
    }

    void read_messages() {
        for (const auto& it : std::exchange(unread, {})) {
            second.synchronizer.receive(it, now);
        }
    }

    /*! Runs until a stream of the new version has begun at the first router. @return When. */
    time_point run_until_new_version_begins() {
        for (int n = 0; n < 200; ++n) {
            run_for(milliseconds{100});
            if (first.begin(now) == new_version.version) {
                first.streams.record_stream("new", new_version, now);
                return now;
            }
        }
        ADD_FAILURE() << "no stream began at the new version";
        return now;
    }

    /*! Version at which the second router goes on with the stream that began at the new version. */
    [[nodiscard]] std::optional<version_id> resumed_at_second() {
        return second.streams.find_version("new", service, now);
    }

    time_point now{start};
    endpoint_list registry{};
    version_router first{"r1", 1};
    version_router second{"r2", 2};
    cuts cut{};
    bool second_paused{};
    std::deque<peer_message> unread{};
};

// Guards against the pattern "a router is out of step while a new version joins": it knows one version, believes that
// it would have learned of others, and goes on with a stream of the new version at the old one (ORDER).
TEST_F(new_version_joins, a_router_that_is_cut_off_joins_no_stream) {
    cut = {true, true, true};
    run_for(milliseconds{300});
    add_endpoint("e2", new_version);
    run_until_new_version_begins();
    EXPECT_NE(resumed_at_second(), old_version.version);
    run_for(trusted);
    EXPECT_NE(resumed_at_second(), old_version.version);
}

// Guards against the same pattern at each length of the cut: streams that began before are still resumed for a time, as
// none can have begun at another version.
TEST_F(new_version_joins, a_router_that_is_cut_off_trusts_what_it_knows_for_a_bounded_time) {
    first.streams.record_stream("old", old_version, now);
    cut = {true, true, true};
    add_endpoint("e2", new_version);
    run_for(trusted / 2);
    EXPECT_EQ(second.streams.find_version("old", service, now), old_version.version);
    EXPECT_NE(first.begin(now), new_version.version);
    run_for(trusted / 2 + milliseconds{200});
    EXPECT_EQ(second.streams.find_version("old", service, now), std::nullopt);
    run_for(trusted);
    EXPECT_EQ(second.streams.find_version("old", service, now), std::nullopt);
}

// Guards against reports that count as new when they are read: they waited while the router stood still.
TEST_F(new_version_joins, a_pause_that_ends_with_unread_reports_joins_no_stream) {
    second_paused = true;
    run_for(milliseconds{300}); // These reports know only the old version.
    cut.to_second = true;
    add_endpoint("e2", new_version);
    run_until_new_version_begins();
    second_paused = false;
    cut.registry_to_second = true;
    read_messages();
    EXPECT_NE(resumed_at_second(), old_version.version);
}

// Guards against two routers that keep each other believing: both are cut off from the registry, and their reports are
// new while what they tell is old.
TEST_F(new_version_joins, routers_that_hear_only_each_other_trust_no_longer) {
    version_router third{"r3", 3};
    third.view.adopt(first.view.config());
    third.streams.set_complete();
    third.read_list(registry, now);
    cut = {true, true, true};
    add_endpoint("e2", new_version);
    for (const auto end = now + trusted + seconds{1}; now < end;) {
        run_for(milliseconds{100});
        second.synchronizer.receive(third.synchronizer.make_message({"127.0.0.1", 2}, now), now);
        third.synchronizer.receive(second.synchronizer.make_message({"127.0.0.1", 3}, now), now);
    }
    EXPECT_EQ(second.streams.find_version("any", service, now), std::nullopt);
    EXPECT_EQ(third.streams.find_version("any", service, now), std::nullopt);
}

// Guards against a call that waits in the queue while the new version joins, and begins there at once.
TEST_F(new_version_joins, a_waiting_call_does_not_begin_at_it_early) {
    add_endpoint("e2", new_version);
    run_for(milliseconds{200});
    first.calls.unreachable(endpoint_id{"e1"}, now); // Only the new endpoint could take the call now.
    EXPECT_EQ(first.begin(now), std::nullopt);
    EXPECT_EQ(first.calls.waiting(), 1);
    now += milliseconds{200};
    first.calls.process_waiting(now);
    EXPECT_EQ(first.listener_of_calls.at, std::nullopt);
}

// Guards against endpoints of the new version that stay idle: it is used as soon as no router can be out of step.
TEST_F(new_version_joins, it_is_used_once_no_router_trusts_an_older_list) {
    add_endpoint("e2", new_version);
    const auto joined = now;
    const auto begun = run_until_new_version_begins();
    EXPECT_GT(begun - joined, trusted);
    EXPECT_LE(begun - joined, stream_version_registry::use_delay + milliseconds{300});
    run_for(milliseconds{200});
    EXPECT_EQ(resumed_at_second(), new_version.version) << "a router in touch goes on with the stream";
}

// Guards against a service without endpoints after a restart of all routers while two versions serve.
TEST_F(new_version_joins, a_router_that_starts_uses_the_versions_that_the_registry_names) {
    add_endpoint("e2", new_version);
    version_router fresh{"r4", 4};
    fresh.view.adopt(first.view.config());
    fresh.streams.note_in_use(old_version);
    fresh.read_list(registry, now);
    EXPECT_EQ(fresh.streams.holds(now).size(), 1);
    EXPECT_EQ(fresh.begin(now), old_version.version);
    fresh.streams.note_in_use(new_version);
    EXPECT_TRUE(fresh.streams.holds(now).empty());
}

// Guards against refusals on usual days: a single version is never held back, and any router goes on with its streams.
TEST_F(new_version_joins, a_single_version_is_used_at_once) {
    version_router fresh{"r4", 4};
    fresh.view.adopt(first.view.config());
    fresh.read_list(registry, now);
    EXPECT_EQ(fresh.begin(now), old_version.version);
    EXPECT_EQ(second.streams.find_version("any", service, now), old_version.version);
}

} // namespace
} // namespace dandelionbay
