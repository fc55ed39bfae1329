#pragma once

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "dandelionbay/router/fake_fleet.hpp"

namespace dandelionbay::testing_support {

/*! Router core with links to scripted agents; records its actions and checks its invariants on destruction. */
class router_fixture {
public:
    explicit router_fixture(std::shared_ptr<const fleet_config> config = make_config(4, 2))
        : core{settings_of(0), metrics} {
        record(core.apply(std::move(config), now));
        record(core.set_fresh(true, now));
        record(core.link_up(agent_hello(0), now));
    }
    router_fixture(const router_fixture&) = delete;
    router_fixture(router_fixture&&) = delete;
    router_fixture& operator=(const router_fixture&) = delete;
    router_fixture& operator=(router_fixture&&) = delete;
    ~router_fixture() {
        EXPECT_EQ(metrics.total("invariant_violations_total"), 0) << metrics.render();
        std::map<request_id, int> count;
        for (const auto& it : ends()) {
            EXPECT_EQ(++count[it.id], 1) << "a request ends once";
        }
    }

    void record(const router_core::actions& actions) { log.insert(log.end(), actions.begin(), actions.end()); }

    request_id accept(const accepted_request& request) {
        request_id id;
        record(core.accept(request, now, id));
        return id;
    }

    void receive(const message& body, std::size_t agent = 0) { record(core.receive(host("agent", agent), body, now)); }

    void send_grant(std::uint64_t sequence, bool spare = false, std::size_t agent = 0) {
        receive(grant{pool, {grant_id{1, sequence}}, 3'000, spare, {}}, agent);
    }

    void answer(const request_id& id, const std::string& text, std::size_t agent = 0) {
        receive(head{id, 200, {}}, agent);
        receive(chunk{id, 0, text, 1}, agent);
        receive(finish{id, result_code::ok, executed::yes, text.size(), 100, 1}, agent);
    }

    /*! Accepts a request and sends a grant for it; returns the submission. */
    submit submit_request(const accepted_request& request, std::uint64_t grant, std::size_t agent = 0) {
        std::ignore = accept(request);
        send_grant(grant, false, agent);
        return sent<submit>().back();
    }

    void advance(duration time) {
        for (const auto until = now + time; now < until;) {
            now = std::min(until, now + milliseconds{20});
            record(core.tick(now));
        }
    }

    template<typename Message>
    [[nodiscard]] std::vector<Message> sent() const {
        std::vector<Message> found;
        for (const auto& it : log) {
            if (const auto* const out = std::get_if<send_message>(&it)) {
                if (const auto* const body = std::get_if<Message>(&out->body)) {
                    found.push_back(*body);
                }
            }
        }
        return found;
    }

    [[nodiscard]] std::vector<answer_end> ends() const {
        std::vector<answer_end> found;
        for (const auto& it : log) {
            if (const auto* const last = std::get_if<answer_end>(&it)) {
                found.push_back(*last);
            }
        }
        return found;
    }

    [[nodiscard]] std::string text(const request_id& id) const {
        std::string found;
        for (const auto& it : log) {
            const auto* const piece = std::get_if<answer_data>(&it);
            found += piece != nullptr && piece->id == id ? piece->data : "";
        }
        return found;
    }

    time_point now{seconds{100}};
    counters metrics{};
    router_core core;
    router_core::actions log{};
};

} // namespace dandelionbay::testing_support
