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

// Guards against an older configuration that replaces a newer one, because an answer of the store is late or a peer has
// not read the newer one yet.
TEST(registry_view, an_older_configuration_is_rejected) {
    registry_view view{{}};
    EXPECT_TRUE(view.adopt(config(7)));
    EXPECT_FALSE(view.adopt(config(7)));
    EXPECT_FALSE(view.adopt(config(6)));
    EXPECT_EQ(view.config()->version, 7);
    {
        SCOPED_TRACE("an older state does not return a zone to service");
        EXPECT_TRUE(view.update_operator_state(operator_state{50, 7, {zone_out{zone_id{"zone-1"}, 49}}}, start));
        EXPECT_FALSE(view.update_operator_state(operator_state{48, 7, {}}, start + seconds{1}));
        EXPECT_EQ(view.known_operator_state().zones_out.size(), 1);
    }
}

// Guards against older data that replaces newer data when messages of the store and of peers arrive out of order.
TEST(registry_view, older_data_is_rejected_in_any_order_of_messages) {
    const bool passed = rc::check("versions never decrease", [] {
        registry_view view{{}};
        auto now = start;
        std::uint64_t newest_config = 0;
        std::uint64_t newest_operator_state = 0;
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
                const bool renewed = view.update_operator_state(operator_state{as_of, version, {}}, read_at);
                RC_ASSERT(!renewed || (as_of >= newest_operator_state && version <= newest_config));
                newest_operator_state = std::max(newest_operator_state, as_of);
                break;
            }
            default:
                RC_ASSERT(view.merge_endpoints(endpoint_list{as_of, {entry("e", as_of)}}, read_at, now) ==
                          (as_of >= newest_list));
                newest_list = std::max(newest_list, as_of);
            }
            RC_ASSERT((view.config() == nullptr ? 0 : view.config()->version) == newest_config);
            RC_ASSERT(view.known_operator_state().as_of == newest_operator_state);
            RC_ASSERT(view.list().as_of == newest_list);
            if (newest_list != 0) {
                RC_ASSERT(only(view).entry.row_version == newest_list);
            }
            const auto age = view.operator_state_age(now);
            RC_ASSERT(!view.are_keys_fresh(now) || (age && *age < freshness_limits{}.max_key_age));
        }
    });
    EXPECT_TRUE(passed);
}

// Guards against a router that still accepts withdrawn API keys while it reaches neither the store nor its peers.
TEST(registry_view, keys_are_trusted_for_a_limited_time_after_the_last_read) {
    registry_view view{freshness_limits{milliseconds{4'500}, seconds{2}}};
    EXPECT_FALSE(view.are_keys_fresh(start)) << "nothing has been read";
    view.adopt(config(1));
    EXPECT_TRUE(view.update_operator_state(operator_state{10, 1, {}}, start));
    EXPECT_TRUE(view.are_keys_fresh(start + milliseconds{4'499}));
    EXPECT_FALSE(view.are_keys_fresh(start + milliseconds{4'500}));
    {
        SCOPED_TRACE(
            "a read that names a newer configuration does not renew the age until that configuration is in force");
        EXPECT_FALSE(view.update_operator_state(operator_state{20, 2, {}}, start + seconds{5}));
        EXPECT_FALSE(view.are_keys_fresh(start + seconds{5}));
        view.adopt(config(2));
        EXPECT_TRUE(view.update_operator_state(operator_state{20, 2, {}}, start + seconds{5}));
        EXPECT_TRUE(view.are_keys_fresh(start + seconds{5}));
    }
    {
        SCOPED_TRACE("a slow read with an earlier time does not change the age");
        EXPECT_TRUE(view.update_operator_state(operator_state{21, 2, {}}, start + seconds{2}));
        EXPECT_EQ(view.operator_state_age(start + seconds{6}), duration{seconds{1}});
    }
}

// Guards against the loss of all endpoints when their entries expire during an outage of the store, and against calls
// to endpoints that have ended.
TEST(registry_view, entries_that_expired_in_an_outage_are_kept_for_a_grace_period) {
    registry_view view{{}};
    view.merge_endpoints(endpoint_list{10, {entry("a", 9)}}, start, start);
    {
        SCOPED_TRACE("without an outage an endpoint is removed together with its entry");
        view.merge_endpoints(endpoint_list{20, {}}, start + seconds{1}, start + seconds{1});
        EXPECT_TRUE(view.endpoints().empty());
    }
    {
        SCOPED_TRACE("after an outage it is kept until 1.9 s after the return of the store, whenever it went missing");
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
        SCOPED_TRACE("an endpoint that was leaving is not kept");
        auto leaving = entry("b", 45);
        leaving.leaving = true;
        view.merge_endpoints(endpoint_list{50, {leaving}}, start, start + seconds{9});
        EXPECT_FALSE(view.accepts_work(only(view)));
        view.on_store_failed();
        view.merge_endpoints(endpoint_list{60, {}}, start, start + seconds{10});
        EXPECT_TRUE(view.endpoints().empty());
    }
}

// Guards against calls to an endpoint that was removed while the store was available: an answer that this router read
// too late is no outage of the store, and no entry expires in less than three heartbeats.
TEST(registry_view, a_missing_entry_is_removed_at_once_without_an_outage_of_the_store) {
    registry_view view{{}};
    view.adopt(config(1));
    view.merge_endpoints(endpoint_list{650, {entry("a", 640), entry("b", 645)}}, start, start);
    {
        SCOPED_TRACE("one answer is read too late; the next list has entries that were written in the meantime");
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
        SCOPED_TRACE("a peer that reaches the store sends the list while this router does not reach it");
        view.merge_endpoints(endpoint_list{800, {entry("a", 799), entry("b", 790)}}, start + seconds{2},
                             start + seconds{2});
        view.on_store_failed();
        view.update_operator_state(operator_state{840, 1, {}}, start + milliseconds{2'500});
        view.merge_endpoints(endpoint_list{860, {entry("b", 850)}}, start + seconds{3}, start + milliseconds{3'200});
        EXPECT_FALSE(view.endpoints().contains(endpoint_id{"a"}));
        view.on_store_restored(start + milliseconds{3'300});
    }
    {
        SCOPED_TRACE("the removal is the only transaction of the store between two lists");
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

// Guards against an ended endpoint that is kept as long as calls to the store keep failing, because each return of the
// store restarts the grace period also for entries that were already missing.
TEST(registry_view, a_missing_entry_is_removed_even_if_the_store_keeps_failing) {
    registry_view view{{}};
    view.merge_endpoints(endpoint_list{10, {entry("a", 9), entry("b", 9)}}, start, start);
    view.on_store_failed();
    for (int second = 6; second <= 12; ++second) {
        const auto now = start + seconds{second};
        view.on_store_failed();
        view.on_store_restored(now);
        view.merge_endpoints(endpoint_list{20, {entry("b", 15)}}, now, now);
    }
    EXPECT_FALSE(view.endpoints().contains(endpoint_id{"a"})) << "missing for 6 s, three times the grace period";
}

// Guards against running endpoints that count as ended, and against ended ones that count as running because another
// process has the same id.
TEST(registry_view, a_process_has_ended_when_its_entry_is_gone_or_names_a_later_process) {
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
    EXPECT_FALSE(view.has_ended(unknown_start)) << "it did not report when it started";
    view.merge_endpoints(endpoint_list{30, {}}, start, start);
    EXPECT_TRUE(view.has_ended({endpoint_id{"a"}, 2'000}));
}

// Guards against calls to an endpoint that said in an answer that it leaves. Its entry may say so much later or never,
// and may disappear and return in the meantime.
TEST(registry_view, an_endpoint_that_reported_leaving_gets_no_work_until_a_new_process_registers) {
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
    EXPECT_FALSE(view.note_leaving({endpoint_id{"a"}, first_start}, start)) << "already known";
    EXPECT_EQ(view.leaving_processes(), (std::vector<endpoint_process>{{endpoint_id{"a"}, first_start}}));
    {
        SCOPED_TRACE("its entry is written again, expires in an outage of the store, and returns");
        view.merge_endpoints(endpoint_list{20, {started("a", 19, first_start)}}, start, start + seconds{1});
        EXPECT_FALSE(view.accepts_work(only(view)));
        view.on_store_failed();
        view.merge_endpoints(endpoint_list{30, {}}, start, start + seconds{2});
        EXPECT_TRUE(view.endpoints().empty()) << "a leaving endpoint has no grace period";
        EXPECT_TRUE(view.leaving_processes().empty());
        view.on_store_restored(start + seconds{3});
        view.merge_endpoints(endpoint_list{40, {started("a", 39, first_start)}}, start, start + seconds{4});
        EXPECT_FALSE(view.accepts_work(only(view)));
    }
    {
        SCOPED_TRACE("a new process with the same id gets work; late reports of the old process are ignored");
        view.merge_endpoints(endpoint_list{50, {started("a", 49, second_start)}}, start, start + seconds{5});
        EXPECT_TRUE(view.accepts_work(only(view)));
        view.note_leaving({endpoint_id{"a"}, first_start}, start + seconds{5});
        EXPECT_TRUE(view.accepts_work(only(view)));
        EXPECT_TRUE(view.note_leaving({endpoint_id{"a"}, second_start}, start + seconds{5}));
        EXPECT_FALSE(view.accepts_work(only(view)));
    }
    {
        SCOPED_TRACE("a peer reports the new process before its entry is read");
        registry_view other{{}};
        other.merge_endpoints(endpoint_list{10, {started("a", 9, first_start)}}, start, start);
        EXPECT_TRUE(other.note_leaving({endpoint_id{"a"}, second_start}, start));
        EXPECT_TRUE(other.accepts_work(only(other)));
        other.merge_endpoints(endpoint_list{20, {started("a", 19, second_start)}}, start, start);
        EXPECT_FALSE(other.accepts_work(only(other)));
    }
    {
        SCOPED_TRACE("the report is dropped some time after the endpoint is gone");
        view.merge_endpoints(endpoint_list{60, {}}, start, start + seconds{6});
        view.expire(start + seconds{5} + registry_view::leaving_retention);
        view.merge_endpoints(endpoint_list{70, {started("a", 69, second_start)}}, start, start + seconds{700});
        EXPECT_TRUE(view.accepts_work(only(view)));
    }
}

// Guards against full load on an endpoint that became cold before its entry says so.
TEST(registry_view, an_endpoint_counts_as_cold_until_a_later_entry_says_otherwise) {
    registry_view view{{}};
    view.merge_endpoints(endpoint_list{10, {entry("a", 9, seconds{3})}}, start, start);
    EXPECT_TRUE(view.is_cold(only(view), start + milliseconds{2'999}));
    EXPECT_FALSE(view.is_cold(only(view), start + seconds{3}));
    {
        SCOPED_TRACE("it refused a connection: a list that is being read may still hold the entry from before");
        view.note_refused(endpoint_id{"a"}, start + seconds{4});
        view.merge_endpoints(endpoint_list{20, {entry("a", 15)}}, start, start + seconds{4});
        EXPECT_TRUE(view.is_cold(only(view), start + seconds{4}));
        view.merge_endpoints(endpoint_list{30, {entry("a", 25)}}, start, start + seconds{5});
        EXPECT_FALSE(view.is_cold(only(view), start + seconds{5}));
    }
    {
        SCOPED_TRACE("its zone returned to service");
        view.update_operator_state(operator_state{40, 0, {zone_out{zone_id{"zone-1"}, 40}}}, start);
        EXPECT_FALSE(view.accepts_work(only(view)));
        view.update_operator_state(operator_state{50, 0, {}}, start);
        EXPECT_TRUE(view.accepts_work(only(view)));
        EXPECT_TRUE(view.is_cold(only(view), start + seconds{60}));
        view.merge_endpoints(endpoint_list{55, {entry("a", 51)}}, start, start + seconds{60});
        EXPECT_FALSE(view.is_cold(only(view), start + seconds{60}));
    }
}

// Guards against calls on the wrong route. The longest prefix of the path is selected, only on the host of the call.
TEST(route_config, the_longest_matching_prefix_of_the_host_selects_the_route) {
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

/*! A view that knew two endpoints at a high version when the registry was restored from a backup. */
class restored_registry : public testing::Test {
protected:
    void SetUp() override {
        view.adopt(config(1));
        view.update_operator_state(operator_state{{1, 900}, 1, {zone_out{zone_id{"zone-2"}, {1, 890}}}}, start);
        view.merge_endpoints(endpoint_list{{1, 900}, {started("a", {1, 899}, 1'000), started("b", {1, 898}, 1'000)}},
                             start, start);
    }

    [[nodiscard]] static endpoint_entry started(const std::string& id, const registry_version& version,
                                                std::uint64_t at) {
        auto out = entry(id, 0);
        out.row_version = version;
        out.started = at;
        return out;
    }

    [[nodiscard]] const registry_view::known_endpoint& known(const std::string& id) const {
        return view.endpoints().at(endpoint_id{id});
    }

    /*! Merges a list of the new epoch some time after its begin. */
    [[nodiscard]] bool merge(std::uint64_t number, const std::vector<endpoint_entry>& entries, duration after) {
        return view.merge_endpoints(endpoint_list{{2, number}, entries}, restored + after, restored + after);
    }

    static constexpr time_point restored = start + seconds{2};
    registry_view view{{}};
};

// Guards against data that is thrown away because the registry counts from the version of a backup, and against data of
// the time before that comes late.
TEST_F(restored_registry, a_later_epoch_goes_before_any_version_of_an_earlier_one) {
    EXPECT_TRUE(merge(500, {started("a", {2, 499}, 1'000), started("b", {2, 400}, 1'000)}, {}));
    EXPECT_FALSE(view.merge_endpoints(endpoint_list{{1, 1'000}, {}}, restored, restored));
    EXPECT_FALSE(view.update_operator_state(operator_state{{1, 1'000}, 1, {}}, restored));
    EXPECT_TRUE(view.update_operator_state(operator_state{{2, 500}, 1, {}}, restored));
    EXPECT_EQ(view.epoch(), 2);
}

// Guards against an endpoint that is taken for warm after the return because its entry has a lower version.
TEST_F(restored_registry, a_cold_endpoint_is_known_at_once) {
    auto cold = started("a", {2, 499}, 1'000);
    cold.cold_for = seconds{3};
    EXPECT_TRUE(merge(500, {cold, started("b", {2, 400}, 1'000)}, {}));
    EXPECT_TRUE(view.is_cold(known("a"), restored + seconds{1}));
    {
        SCOPED_TRACE("its next entry says that it is warm");
        EXPECT_TRUE(merge(510, {started("a", {2, 509}, 1'000), started("b", {2, 400}, 1'000)}, milliseconds{600}));
        EXPECT_FALSE(view.is_cold(known("a"), restored + seconds{1}));
    }
}

// Guards against a cold endpoint that is taken for warm because the backup says so.
TEST_F(restored_registry, an_endpoint_stays_cold_until_its_entry_is_written_again) {
    view.note_cold(endpoint_id{"a"}, seconds{3}, restored);
    EXPECT_TRUE(merge(500, {started("a", {2, 400}, 1'000), started("b", {2, 400}, 1'000)}, {}));
    EXPECT_TRUE(view.is_cold(known("a"), restored + seconds{1}));
}

// Guards against new calls to an endpoint that leaves, which the backup doesn't know.
TEST_F(restored_registry, an_endpoint_that_leaves_gets_no_work_until_its_entry_is_written_again) {
    auto leaving = started("a", {1, 910}, 1'000);
    leaving.leaving = true;
    view.merge_endpoints(endpoint_list{{1, 911}, {leaving, started("b", {1, 898}, 1'000)}}, start, start);
    EXPECT_TRUE(merge(500, {started("a", {2, 400}, 1'000), started("b", {2, 400}, 1'000)}, {}));
    EXPECT_FALSE(view.accepts_work(known("a")));
    EXPECT_TRUE(view.accepts_work(known("b")));
    {
        SCOPED_TRACE("it has changed its mind");
        EXPECT_TRUE(merge(510, {started("a", {2, 509}, 1'000), started("b", {2, 400}, 1'000)}, milliseconds{600}));
        EXPECT_TRUE(view.accepts_work(known("a")));
    }
}

// Guards against calls to endpoints that had ended before the return, and whose entries the backup still has.
TEST_F(restored_registry, an_endpoint_that_was_removed_does_not_return) {
    view.merge_endpoints(endpoint_list{{1, 911}, {started("b", {1, 898}, 1'000)}}, start, start);
    EXPECT_TRUE(merge(500, {started("a", {2, 400}, 1'000), started("b", {2, 400}, 1'000)}, {}));
    EXPECT_FALSE(view.endpoints().contains(endpoint_id{"a"}));
    {
        SCOPED_TRACE("a new process of the same name does");
        EXPECT_TRUE(merge(510, {started("a", {2, 509}, 2'000), started("b", {2, 400}, 1'000)}, milliseconds{600}));
        EXPECT_TRUE(view.endpoints().contains(endpoint_id{"a"}));
    }
}

// Guards against the entry of an earlier process that replaces the one of the process that runs.
TEST_F(restored_registry, an_entry_of_an_earlier_process_is_ignored) {
    EXPECT_TRUE(merge(500, {started("a", {2, 400}, 500), started("b", {2, 400}, 1'000)}, {}));
    EXPECT_EQ(known("a").entry.started, 1'000);
}

// Guards against the loss of endpoints that registered after the backup was made and register again within seconds.
TEST_F(restored_registry, a_missing_endpoint_stays_known_while_it_may_register_again) {
    EXPECT_TRUE(merge(500, {started("b", {2, 400}, 1'000)}, {}));
    EXPECT_TRUE(view.endpoints().contains(endpoint_id{"a"}));
    view.expire(restored + seconds{3});
    EXPECT_FALSE(view.endpoints().contains(endpoint_id{"a"}));
}

// Guards against a zone that returns to service because the backup lacks its row, and against one that stays out.
TEST_F(restored_registry, a_zone_stays_out_of_service_until_its_row_could_be_written_again) {
    const auto is_out = [&] {
        auto elsewhere = known("a");
        elsewhere.entry.zone = zone_id{"zone-2"};
        return !view.accepts_work(elsewhere);
    };
    EXPECT_TRUE(view.update_operator_state(operator_state{{2, 500}, 1, {}}, restored));
    EXPECT_TRUE(is_out());
    EXPECT_TRUE(view.update_operator_state(operator_state{{2, 510}, 1, {}}, restored + milliseconds{1'900}));
    EXPECT_TRUE(is_out());
    EXPECT_TRUE(view.update_operator_state(operator_state{{2, 520}, 1, {}}, restored + milliseconds{2'100}));
    EXPECT_FALSE(is_out());
    {
        SCOPED_TRACE("a zone that is taken out in the new epoch is out at once");
        EXPECT_TRUE(view.update_operator_state(operator_state{{3, 1}, 1, {zone_out{zone_id{"zone-2"}, {3, 1}}}},
                                               restored + seconds{5}));
        EXPECT_TRUE(is_out());
    }
}

// Guards against peers that can't agree after the return: one of them has read the restored registry, the other has
// not.
TEST_F(restored_registry, peers_of_both_epochs_agree_on_the_later_one) {
    registry_view peer{{}};
    peer.adopt(config(1));
    EXPECT_TRUE(merge(500, {started("a", {2, 499}, 1'000)}, {}));
    EXPECT_TRUE(peer.merge_endpoints(endpoint_list{{1, 900}, {started("a", {1, 899}, 1'000)}}, restored, restored));
    EXPECT_FALSE(view.merge_endpoints(peer.list(), restored, restored));
    EXPECT_TRUE(peer.merge_endpoints(view.list(), restored, restored));
    EXPECT_EQ(peer.list(), view.list());
}

} // namespace
} // namespace dandelionbay
