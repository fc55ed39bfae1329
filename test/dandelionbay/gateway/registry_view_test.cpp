#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "dandelionbay/gateway/registry_view.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{100}};

[[nodiscard]] std::shared_ptr<const route_config> config(std::uint64_t version) {
    route_config it;
    it.version = version;
    return std::make_shared<const route_config>(make_route_config(std::move(it)));
}

[[nodiscard]] endpoint_entry entry(const std::string& id, std::uint64_t row_version, duration cold_for = {}) {
    endpoint_entry it;
    it.id = endpoint_id{id};
    it.service = service_id{"model"};
    it.zone = zone_id{"zone-1"};
    it.slots = 8;
    it.cold_for = cold_for;
    it.row_version = row_version;
    return it;
}

[[nodiscard]] const registry_view::known_endpoint& only(const registry_view& view) {
    return view.endpoints().begin()->second;
}

// Guards against a configuration that goes back: from an old answer of the store, or from a peer that is behind.
TEST(registry_view, a_configuration_never_goes_back) {
    registry_view view{{}};
    EXPECT_TRUE(view.adopt(config(7)));
    EXPECT_FALSE(view.adopt(config(7)));
    EXPECT_FALSE(view.adopt(config(6)));
    EXPECT_EQ(view.config()->version, 7);
    {
        SCOPED_TRACE("an older reading does not bring back a zone either");
        EXPECT_TRUE(view.update_operator_state(operator_state{50, 7, {zone_out{zone_id{"zone-1"}, 49}}}, start));
        EXPECT_FALSE(view.update_operator_state(operator_state{48, 7, {}}, start + seconds{1}));
        EXPECT_EQ(view.known_operator_state().zones_out.size(), 1);
    }
}

// Guards against facts that go back, whatever order messages of the store and of peers come in.
TEST(registry_view, no_order_of_messages_brings_an_older_fact_back) {
    const bool held = rc::check("facts only get newer", [] {
        registry_view view{{}};
        auto now = start;
        std::uint64_t newest_config = 0;
        std::uint64_t newest_zones = 0;
        std::uint64_t newest_list = 0;
        const auto steps = *rc::gen::inRange(1, 60);
        for (int n = 0; n < steps; ++n) {
            now += milliseconds{*rc::gen::inRange(0, 3'000)};
            const auto read_at = now - milliseconds{*rc::gen::inRange(0, 5'000)};
            const auto version = *rc::gen::inRange<std::uint64_t>(1, 40);
            const auto as_of = *rc::gen::inRange<std::uint64_t>(1, 400);
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                RC_ASSERT(view.adopt(config(version)) == (version > newest_config));
                newest_config = std::max(newest_config, version);
                break;
            case 1: {
                const bool counted = view.update_operator_state(operator_state{as_of, version, {}}, read_at);
                RC_ASSERT(!counted || (as_of >= newest_zones && version <= newest_config));
                newest_zones = std::max(newest_zones, as_of);
                break;
            }
            default:
                RC_ASSERT(view.merge_endpoints(endpoint_list{as_of, {entry("e", as_of)}}, read_at, now) ==
                          (as_of >= newest_list));
                newest_list = std::max(newest_list, as_of);
            }
            RC_ASSERT((view.config() == nullptr ? 0 : view.config()->version) == newest_config);
            RC_ASSERT(view.known_operator_state().as_of == newest_zones);
            RC_ASSERT(view.list().as_of == newest_list);
            if (newest_list != 0) {
                RC_ASSERT(only(view).entry.row_version == newest_list);
            }
            const auto age = view.operator_state_age(now);
            RC_ASSERT(!view.are_keys_fresh(now) || (age && *age < freshness_limits{}.max_key_age));
        }
    });
    EXPECT_TRUE(held);
}

// Guards against withdrawn API keys that a router cut off from the store and from its peers goes on to accept.
TEST(registry_view, keys_are_trusted_only_for_a_time_after_a_confirmation) {
    registry_view view{freshness_limits{milliseconds{4'500}, seconds{2}}};
    EXPECT_FALSE(view.are_keys_fresh(start)) << "nothing was read yet";
    view.adopt(config(1));
    EXPECT_TRUE(view.update_operator_state(operator_state{10, 1, {}}, start));
    EXPECT_TRUE(view.are_keys_fresh(start + milliseconds{4'499}));
    EXPECT_FALSE(view.are_keys_fresh(start + milliseconds{4'500}));
    {
        SCOPED_TRACE("a reading that names a newer configuration confirms nothing until that is in force");
        EXPECT_FALSE(view.update_operator_state(operator_state{20, 2, {}}, start + seconds{5}));
        EXPECT_FALSE(view.are_keys_fresh(start + seconds{5}));
        view.adopt(config(2));
        EXPECT_TRUE(view.update_operator_state(operator_state{20, 2, {}}, start + seconds{5}));
        EXPECT_TRUE(view.are_keys_fresh(start + seconds{5}));
    }
    {
        SCOPED_TRACE("a reading that took long does not make the facts younger than an earlier one did");
        EXPECT_TRUE(view.update_operator_state(operator_state{21, 2, {}}, start + seconds{2}));
        EXPECT_EQ(view.operator_state_age(start + seconds{6}), duration{seconds{1}});
    }
}

// Guards against the loss of all endpoints when their entries lapse during an outage of the store, and against calls
// to endpoints that are really gone.
TEST(registry_view, entries_that_lapsed_in_an_outage_get_time_to_come_back) {
    registry_view view{{}};
    view.merge_endpoints(endpoint_list{10, {entry("a", 9)}}, start, start);
    {
        SCOPED_TRACE("without an outage an endpoint whose entry is removed is gone at once");
        view.merge_endpoints(endpoint_list{20, {}}, start + seconds{1}, start + seconds{1});
        EXPECT_TRUE(view.endpoints().empty());
    }
    {
        SCOPED_TRACE(
            "after one it is kept until nearly two seconds after the store's return, whenever it went missing");
        view.merge_endpoints(endpoint_list{30, {entry("a", 29)}}, start, start + seconds{2});
        view.on_store_failed();
        view.on_store_restored(start + seconds{6});
        view.merge_endpoints(endpoint_list{40, {}}, start + seconds{6}, start + seconds{7});
        view.expire(start + seconds{6} + milliseconds{1'899});
        EXPECT_EQ(view.endpoints().size(), 1);
        view.expire(start + seconds{6} + milliseconds{1'900});
        EXPECT_TRUE(view.endpoints().empty());
        view.merge_endpoints(endpoint_list{42, {entry("a", 41)}}, start, start + seconds{8});
        view.merge_endpoints(endpoint_list{44, {}}, start, start + seconds{8});
        EXPECT_TRUE(view.endpoints().empty()) << "the outage is over";
    }
    {
        SCOPED_TRACE("one that had said that it leaves is not kept");
        auto leaving = entry("b", 45);
        leaving.leaving = true;
        view.merge_endpoints(endpoint_list{50, {leaving}}, start, start + seconds{9});
        EXPECT_FALSE(view.accepts_work(only(view)));
        view.on_store_failed();
        view.merge_endpoints(endpoint_list{60, {}}, start, start + seconds{10});
        EXPECT_TRUE(view.endpoints().empty());
    }
}

// Guards against calls to an endpoint that was removed while the store served everybody: an answer that this router did
// not read in time is no outage of the store, and nothing lapses in less than three heartbeats.
TEST(registry_view, a_missing_entry_is_gone_at_once_if_the_store_was_read_all_the_while) {
    registry_view view{{}};
    view.adopt(config(1));
    view.merge_endpoints(endpoint_list{650, {entry("a", 640), entry("b", 645)}}, start, start);
    {
        SCOPED_TRACE("one answer is read too late; the next list names entries written meanwhile");
        view.update_operator_state(operator_state{700, 1, {}}, start + milliseconds{700});
        view.on_store_failed();
        view.update_operator_state(operator_state{730, 1, {}}, start + milliseconds{1'100});
        view.on_store_restored(start + milliseconds{1'500});
        view.merge_endpoints(endpoint_list{796, {entry("b", 790)}}, start + milliseconds{1'300},
                             start + milliseconds{1'500});
        EXPECT_FALSE(view.endpoints().contains(endpoint_id{"a"}));
        EXPECT_TRUE(view.endpoints().contains(endpoint_id{"b"}));
    }
    {
        SCOPED_TRACE("the list comes from a peer that reads the store while this router can't");
        view.merge_endpoints(endpoint_list{800, {entry("a", 799), entry("b", 790)}}, start + seconds{2},
                             start + seconds{2});
        view.on_store_failed();
        view.update_operator_state(operator_state{840, 1, {}}, start + milliseconds{2'500});
        view.merge_endpoints(endpoint_list{860, {entry("b", 850)}}, start + seconds{3}, start + milliseconds{3'200});
        EXPECT_FALSE(view.endpoints().contains(endpoint_id{"a"}));
        view.on_store_restored(start + milliseconds{3'300});
    }
    {
        SCOPED_TRACE("in calm the removal may be the only transaction of the store between two lists");
        view.merge_endpoints(endpoint_list{870, {entry("a", 865), entry("b", 850)}}, start + seconds{10},
                             start + seconds{10});
        view.update_operator_state(operator_state{870, 1, {}}, start + milliseconds{10'600});
        view.on_store_failed();
        view.on_store_restored(start + milliseconds{11'400});
        view.merge_endpoints(endpoint_list{871, {entry("b", 850)}}, start + milliseconds{11'200},
                             start + milliseconds{11'400});
        EXPECT_FALSE(view.endpoints().contains(endpoint_id{"a"}));
    }
}

// Guards against an endpoint that is kept for as long as calls to the store go on to fail: each return of the store
// starts the grace anew, also for entries that have been missing since an earlier one.
TEST(registry_view, an_entry_that_stays_missing_is_dropped_however_often_the_store_fails) {
    registry_view view{{}};
    view.merge_endpoints(endpoint_list{10, {entry("a", 9), entry("b", 9)}}, start, start);
    view.on_store_failed();
    for (int second = 6; second <= 12; ++second) {
        const auto now = start + seconds{second};
        view.on_store_failed();
        view.on_store_restored(now);
        view.merge_endpoints(endpoint_list{20, {entry("b", 15)}}, now, now);
    }
    EXPECT_FALSE(view.endpoints().contains(endpoint_id{"a"})) << "missing for 6 s, three times the grace";
}

// Guards against endpoints that count as ended although they run, and against ended ones that count as alive because
// another process has their name.
TEST(registry_view, a_process_has_ended_when_its_entry_is_gone_or_names_a_later_one) {
    const auto started = [](std::uint64_t row_version, std::uint64_t at) {
        auto out = entry("a", row_version);
        out.started = at;
        return out;
    };
    const endpoint_process first{endpoint_id{"a"}, 1'000};
    const endpoint_process unknown_start{endpoint_id{"a"}, 0};
    registry_view view{{}};
    view.merge_endpoints(endpoint_list{10, {started(9, 1'000)}}, start, start);
    EXPECT_FALSE(view.has_ended(first));
    view.merge_endpoints(endpoint_list{20, {started(19, 2'000)}}, start, start);
    EXPECT_TRUE(view.has_ended(first));
    EXPECT_FALSE(view.has_ended({endpoint_id{"a"}, 2'000}));
    EXPECT_FALSE(view.has_ended(unknown_start)) << "it did not say when it started";
    view.merge_endpoints(endpoint_list{30, {}}, start, start);
    EXPECT_TRUE(view.has_ended({endpoint_id{"a"}, 2'000}));
}

// Guards against calls to an endpoint that said in an answer that it leaves: its entry may say so much later or never,
// and may go and come back in the meantime.
TEST(registry_view, an_endpoint_that_says_that_it_leaves_gets_no_work_until_it_is_a_new_process) {
    constexpr std::uint64_t first_start = 1'000;
    constexpr std::uint64_t second_start = 2'000;
    const auto started = [](const std::string& id, std::uint64_t row_version, std::uint64_t at) {
        auto out = entry(id, row_version);
        out.started = at;
        return out;
    };
    registry_view view{{}};
    view.merge_endpoints(endpoint_list{10, {started("a", 9, first_start)}}, start, start);
    EXPECT_TRUE(view.accepts_work(only(view)));
    EXPECT_TRUE(view.note_leaving({endpoint_id{"a"}, first_start}, start));
    EXPECT_FALSE(view.accepts_work(only(view)));
    EXPECT_FALSE(view.note_leaving({endpoint_id{"a"}, first_start}, start)) << "that is known";
    EXPECT_EQ(view.leaving_processes(), (std::vector<endpoint_process>{{endpoint_id{"a"}, first_start}}));
    {
        SCOPED_TRACE("its entry is written again, is lost in an outage of the store, and comes back");
        view.merge_endpoints(endpoint_list{20, {started("a", 19, first_start)}}, start, start + seconds{1});
        EXPECT_FALSE(view.accepts_work(only(view)));
        view.on_store_failed();
        view.merge_endpoints(endpoint_list{30, {}}, start, start + seconds{2});
        EXPECT_TRUE(view.endpoints().empty()) << "it is gone, it needs no time to come back";
        EXPECT_TRUE(view.leaving_processes().empty());
        view.on_store_restored(start + seconds{3});
        view.merge_endpoints(endpoint_list{40, {started("a", 39, first_start)}}, start, start + seconds{4});
        EXPECT_FALSE(view.accepts_work(only(view)));
    }
    {
        SCOPED_TRACE("a new process under the same name works; what the old one still says does not matter");
        view.merge_endpoints(endpoint_list{50, {started("a", 49, second_start)}}, start, start + seconds{5});
        EXPECT_TRUE(view.accepts_work(only(view)));
        view.note_leaving({endpoint_id{"a"}, first_start}, start + seconds{5});
        EXPECT_TRUE(view.accepts_work(only(view)));
        EXPECT_TRUE(view.note_leaving({endpoint_id{"a"}, second_start}, start + seconds{5}));
        EXPECT_FALSE(view.accepts_work(only(view)));
    }
    {
        SCOPED_TRACE("a peer knows the new process before its entry is read here");
        registry_view other{{}};
        other.merge_endpoints(endpoint_list{10, {started("a", 9, first_start)}}, start, start);
        EXPECT_TRUE(other.note_leaving({endpoint_id{"a"}, second_start}, start));
        EXPECT_TRUE(other.accepts_work(only(other)));
        other.merge_endpoints(endpoint_list{20, {started("a", 19, second_start)}}, start, start);
        EXPECT_FALSE(other.accepts_work(only(other)));
    }
    {
        SCOPED_TRACE("what is remembered of endpoints that are gone is forgotten some time");
        view.merge_endpoints(endpoint_list{60, {}}, start, start + seconds{6});
        view.expire(start + seconds{5} + registry_view::leaving_retention);
        view.merge_endpoints(endpoint_list{70, {started("a", 69, second_start)}}, start, start + seconds{700});
        EXPECT_TRUE(view.accepts_work(only(view)));
    }
}

// Guards against the full load for an endpoint that turned cold before its entry says so.
TEST(registry_view, an_endpoint_is_cold_until_an_entry_written_later_says_otherwise) {
    registry_view view{{}};
    view.merge_endpoints(endpoint_list{10, {entry("a", 9, seconds{3})}}, start, start);
    EXPECT_TRUE(view.is_cold(only(view), start + milliseconds{2'999}));
    EXPECT_FALSE(view.is_cold(only(view), start + seconds{3}));
    {
        SCOPED_TRACE("it refused a connection: the list that is being read may still hold its entry of before");
        view.note_refused(endpoint_id{"a"}, start + seconds{4});
        view.merge_endpoints(endpoint_list{20, {entry("a", 15)}}, start, start + seconds{4});
        EXPECT_TRUE(view.is_cold(only(view), start + seconds{4}));
        view.merge_endpoints(endpoint_list{30, {entry("a", 25)}}, start, start + seconds{5});
        EXPECT_FALSE(view.is_cold(only(view), start + seconds{5}));
    }
    {
        SCOPED_TRACE("its zone was taken back into service");
        view.update_operator_state(operator_state{40, 0, {zone_out{zone_id{"zone-1"}, 40}}}, start);
        EXPECT_FALSE(view.accepts_work(only(view)));
        view.update_operator_state(operator_state{50, 0, {}}, start);
        EXPECT_TRUE(view.accepts_work(only(view)));
        EXPECT_TRUE(view.is_cold(only(view), start + seconds{60}));
        view.merge_endpoints(endpoint_list{55, {entry("a", 51)}}, start, start + seconds{60});
        EXPECT_FALSE(view.is_cold(only(view), start + seconds{60}));
    }
}

// Guards against calls on the wrong route: the longest prefix that begins the path wins, on its own host only.
TEST(route_config, the_longest_prefix_of_the_host_selects_the_route) {
    route_config it;
    for (const auto& [name, host, prefix] :
         {std::tuple{"short", "a", "/x/"}, {"long", "a", "/x/y/"}, {"other", "b", "/"}}) {
        route added;
        added.name = name;
        added.host = host;
        added.prefix = prefix;
        it.routes.push_back(added);
    }
    const auto config = make_route_config(it);
    EXPECT_EQ(config.find_route("a", "/x/y/z")->name, "long");
    EXPECT_EQ(config.find_route("a", "/x/z")->name, "short");
    EXPECT_EQ(config.find_route("a", "/x"), nullptr);
    EXPECT_EQ(config.find_route("b", "/x/y/")->name, "other");
    EXPECT_EQ(config.find_route("c", "/x/"), nullptr);
}

} // namespace
} // namespace dandelionbay
