#include "dandelionbay/claim/claim_machine.hpp"

#include <algorithm>
#include <utility>

namespace dandelionbay {

namespace {

// Other attempts can make a conditional write fail again and again; this ends the attempt.
constexpr int most_calls = 8;

// Two calls without an answer take twice the store's time limit; more would hold the caller up.
constexpr int most_unanswered = 2;

claim_verdict refusal(result_code code, executed state) {
    claim_verdict verdict;
    verdict.code = code;
    verdict.state = state;
    return verdict;
}

claim_verdict proceed(std::uint64_t version) {
    claim_verdict verdict;
    verdict.action = claim_decision::kind::proceed;
    verdict.version = version;
    return verdict;
}

claim_verdict replay(const claim_row& row) {
    if (!row.answer_kept) {
        return refusal(result_code::answer_not_kept, executed::yes);
    }
    claim_verdict verdict;
    verdict.action = claim_decision::kind::replay;
    verdict.state = executed::yes;
    verdict.answer = row.answer;
    return verdict;
}

} // namespace

claim_machine::claim_machine(claim_row own, router_alive_function alive)
    : own_{std::move(own)}, alive_{std::move(alive)} {}

claim_step claim_machine::write(std::uint64_t expected_version) {
    if (calls_ >= most_calls) {
        return give_up();
    }
    ++calls_;
    expected_ = expected_version;
    return write_claim{encode_claim(own_), expected_version};
}

claim_step claim_machine::read() {
    if (calls_ >= most_calls) {
        return give_up();
    }
    ++calls_;
    return read_claim{};
}

claim_step claim_machine::no_answer() {
    ++unanswered_;
    return unanswered_ >= most_unanswered ? give_up() : read();
}

claim_step claim_machine::give_up() const {
    auto verdict = refusal(result_code::store_unavailable, executed::no);
    verdict.maybe_written = unconfirmed_;
    verdict.attempted_version = expected_;
    return verdict;
}

claim_step claim_machine::judge(const claim_row& row, std::uint64_t version) {
    if (row.change_id == own_.change_id && row.state == claim_state::started) {
        return proceed(version);
    }
    if (row.state == claim_state::released) {
        return write(version);
    }
    if (row.fingerprint != own_.fingerprint) {
        return refusal(result_code::idempotency_key_reused, executed::no);
    }
    if (row.state == claim_state::finished) {
        return replay(row);
    }
    const auto age = std::max<std::int64_t>(own_.started_unix_ms - row.started_unix_ms, 0);
    const bool running =
        row.state == claim_state::started && age <= row.limit_ms && (row.owner == own_.owner || alive_(row.owner));
    return refusal(running ? result_code::request_in_progress : result_code::outcome_unknown, executed::unknown);
}

claim_step claim_machine::start() {
    return write(0);
}

claim_step claim_machine::on_write(const absl::StatusOr<std::uint64_t>& result) {
    if (result.ok()) {
        return proceed(*result);
    }
    if (absl::IsAborted(result.status())) {
        return read();
    }
    unconfirmed_ = true;
    return no_answer();
}

claim_step claim_machine::on_read(const absl::StatusOr<table_row>& result) {
    if (absl::IsNotFound(result.status())) {
        return write(0);
    }
    if (!result.ok()) {
        return no_answer();
    }
    const auto row = decode_claim(result->value);
    // A row that can't be read may stand for a call that ran.
    return row ? judge(*row, result->version) : claim_step{refusal(result_code::outcome_unknown, executed::unknown)};
}

settlement_machine::settlement_machine(claim_row target, std::uint64_t version)
    : target_{std::move(target)}, version_{version} {}

settlement_machine settlement_machine::release_unconfirmed(claim_row target, std::uint64_t attempted_version) {
    settlement_machine machine{std::move(target), attempted_version};
    machine.confirmed_ = false;
    machine.must_read_ = true;
    return machine;
}

settlement_step settlement_machine::write(std::uint64_t expected_version) {
    if (calls_ >= most_calls) {
        return settlement::again;
    }
    ++calls_;
    return write_claim{encode_claim(target_), expected_version};
}

settlement_step settlement_machine::start() {
    calls_ = 1;
    return must_read_ ? settlement_step{read_claim{}} : settlement_step{write_claim{encode_claim(target_), version_}};
}

settlement_step settlement_machine::on_write(const absl::StatusOr<std::uint64_t>& result) {
    if (result.ok()) {
        return settlement::settled;
    }
    must_read_ = true;
    if (!absl::IsAborted(result.status()) || calls_ >= most_calls) {
        return settlement::again;
    }
    ++calls_;
    return read_claim{};
}

settlement_step settlement_machine::on_read(const absl::StatusOr<table_row>& result) {
    const bool missing = absl::IsNotFound(result.status());
    if (!missing && !result.ok()) {
        return settlement::again;
    }
    const auto version = missing ? 0 : result->version;
    const auto row = missing ? std::nullopt : decode_claim(result->value);
    if (row && row->change_id == target_.change_id) {
        if (row->state == claim_state::started) {
            return write(version);
        }
        return row->state == target_.state ? settlement::settled : settlement::superseded;
    }
    return !confirmed_ && version == version_ ? write(version) : settlement_step{settlement::superseded};
}

} // namespace dandelionbay
