#include "dandelionbay/claim/claim_machine.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "dandelionbay/store/table_map.hpp"

namespace dandelionbay {
namespace {

const std::string key = "t/s/k";
const absl::Status lost = absl::UnavailableError("lost");

claim_row row_of(std::uint64_t attempt) {
    claim_row row;
    row.change_id = "c" + std::to_string(attempt);
    row.owner = {host_id{"r"}, attempt};
    row.limit_ms = 1'000;
    return row;
}

enum class fate : unsigned { answered, lost_before, lost_after, delayed, dies, count };

// Attempts of several routers at one key. Each event is one store call of one attempt, with any fate, or the late
// arrival of a write that was given up.
class world {
    struct attempt {
        claim_row row{};
        std::optional<claim_machine> claiming{};
        std::optional<settlement_machine> settling{};
        claim_step step{};
        settlement_step settle_step{};
        std::optional<claim_verdict> verdict{};
        bool alive{true};
        bool done{false};
    };

    absl::StatusOr<std::uint64_t> put(const write_claim& write, fate how) {
        if (how == fate::delayed) {
            late.push_back(write);
        }
        if (how == fate::lost_before || how == fate::delayed) {
            return lost;
        }
        auto version = rows.put(claims_table, key, write.value, write.expected_version);
        return how == fate::answered ? version : absl::StatusOr<std::uint64_t>{lost};
    }

    absl::StatusOr<table_row> get(fate how) {
        return how == fate::answered ? rows.get(claims_table, key) : absl::StatusOr<table_row>{lost};
    }

    template<typename Machine, typename Step>
    Step call(Machine& machine, const Step& step, fate how) {
        if (const auto* const write = std::get_if<write_claim>(&step)) {
            return machine.on_write(put(*write, how));
        }
        return machine.on_read(get(how));
    }

    void settle(attempt& it, settlement_machine machine) {
        it.settling.emplace(std::move(machine));
        it.settle_step = it.settling->start();
    }

    void judged(attempt& it, unsigned choice) {
        const auto& verdict = *it.verdict;
        if (verdict.action == claim_decision::kind::proceed) {
            auto target = it.row;
            const bool run = choice % 3 != 0;
            runs += run ? 1 : 0;
            target.state = !run ? claim_state::released : choice % 3 == 1 ? claim_state::finished : claim_state::lost;
            settle(it, {target, verdict.version});
            return;
        }
        answered_with_run = answered_with_run && (verdict.state != executed::yes || runs == 1);
        if (verdict.maybe_written) {
            auto target = it.row;
            target.state = claim_state::released;
            settle(it, settlement_machine::release_unconfirmed(target, verdict.attempted_version));
            return;
        }
        it.done = true;
    }

public:
    explicit world(std::uint64_t attempts) {
        for (std::uint64_t n = 0; n < attempts; ++n) {
            add();
        }
    }

    void add() {
        attempt it;
        it.row = row_of(all.size());
        it.claiming.emplace(it.row, [this](const claim_owner& owner) { return all[owner.incarnation].alive; });
        it.step = it.claiming->start();
        all.push_back(std::move(it));
    }

    void event(std::size_t actor, fate how, unsigned choice) {
        if (actor >= all.size()) {
            if (!late.empty()) {
                (void)rows.put(claims_table, key, late.front().value, late.front().expected_version);
                late.pop_front();
            }
            return;
        }
        auto& it = all[actor];
        if (it.done || !it.alive) {
            return;
        }
        if (how == fate::dies) {
            // Its current write may still be on the way.
            const auto& write =
                it.settling ? std::get_if<write_claim>(&it.settle_step) : std::get_if<write_claim>(&it.step);
            if (write != nullptr) {
                late.push_back(*write);
            }
            it.alive = false;
            return;
        }
        if (it.settling) {
            it.settle_step = call(*it.settling, it.settle_step, how);
            if (const auto* const end = std::get_if<settlement>(&it.settle_step)) {
                it.done = *end != settlement::again;
                it.settle_step = it.done ? it.settle_step : it.settling->start();
            }
            return;
        }
        it.step = call(*it.claiming, it.step, how);
        if (const auto* const verdict = std::get_if<claim_verdict>(&it.step)) {
            it.verdict = *verdict;
            judged(it, choice);
        }
    }

    void heal() {
        for (int n = 0; n < 100; ++n) {
            for (std::size_t actor = 0; actor <= all.size(); ++actor) {
                event(actor, fate::answered, 1);
            }
        }
    }

    table_map rows;
    std::deque<write_claim> late;
    std::vector<attempt> all;
    int runs{0};
    bool answered_with_run{true};
};

// Fates of a random event; deaths are rare, so that schedules get long.
constexpr std::array fates{fate::answered,    fate::answered,   fate::answered,   fate::answered,
                           fate::answered,    fate::answered,   fate::answered,   fate::lost_before,
                           fate::lost_before, fate::lost_after, fate::lost_after, fate::lost_after,
                           fate::delayed,     fate::delayed,    fate::delayed,    fate::dies};

// Guards against a second run of a call under any order of store calls, lost answers, late writes and deaths, and
// against a key that stays blocked although its call never ran.
TEST(claim_machine, runs_at_most_once_under_any_schedule) {
    const bool held = rc::check("at most one run", [] {
        for (int round = 0; round < 50; ++round) {
            const auto schedule = *rc::gen::container<std::vector<unsigned>>(60, rc::gen::inRange(0U, 1'000'000U));
            world now{3};
            bool died = false;
            for (const auto it : schedule) {
                const auto how = fates[(it / 4) % fates.size()];
                now.event(it % 4, how, it / 64);
                died = died || how == fate::dies;
                RC_ASSERT(now.runs <= 1);
                RC_ASSERT(now.answered_with_run);
            }
            now.heal();
            RC_ASSERT(now.runs <= 1);
            now.add();
            now.heal();
            RC_ASSERT(now.runs <= 1);
            RC_ASSERT(now.all.back().done);
            RC_ASSERT(died || now.runs == 1);
        }
    });
    EXPECT_TRUE(held);
}

// Guards against the same, for every sequence of fates of one attempt that another one follows.
TEST(claim_machine, every_sequence_of_fates_of_one_attempt_leaves_at_most_one_run) {
    constexpr auto kinds = static_cast<unsigned>(fate::count);
    constexpr unsigned sequences = kinds * kinds * kinds * kinds * kinds * kinds;
    for (unsigned sequence = 0; sequence < sequences; ++sequence) {
        for (unsigned choice = 0; choice < 3; ++choice) {
            world now{1};
            for (auto rest = sequence; rest > 0; rest /= kinds) {
                now.event(0, static_cast<fate>(rest % kinds), choice);
            }
            const bool ran = now.runs == 1;
            now.add();
            for (int n = 0; n < 20; ++n) {
                now.event(1, fate::answered, 1);
            }
            ASSERT_TRUE(now.all[1].done) << sequence;
            ASSERT_LE(now.runs, 1) << sequence << " " << choice;
            ASSERT_FALSE(ran && now.all[1].verdict->state == executed::no) << sequence << " " << choice;
        }
    }
}

// Guards against rows that lose bytes, and against unreadable rows taken for free keys.
TEST(claim_row, keeps_binary_answers_and_refuses_malformed_rows) {
    auto row = row_of(7);
    row.state = claim_state::finished;
    row.fingerprint = ~0ULL;
    row.answer_kept = true;
    row.answer = {201, {{"X-Name", "\xFFv"}}, std::string{"\0\xFE{", 3}};
    const auto value = encode_claim(row);
    EXPECT_EQ(decode_claim(value), row);
    for (std::size_t n = 0; n < value.size(); ++n) {
        EXPECT_EQ(decode_claim(std::string_view{value}.substr(0, n)), std::nullopt);
    }
    claim_machine machine{row_of(1), [](const claim_owner&) { return true; }};
    (void)machine.start();
    const auto verdict = std::get<claim_verdict>(machine.on_read(table_row{"junk", 3}));
    EXPECT_EQ(verdict.code, result_code::outcome_unknown);
    EXPECT_EQ(verdict.state, executed::unknown);
}

} // namespace
} // namespace dandelionbay
