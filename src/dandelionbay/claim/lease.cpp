#include "dandelionbay/claim/lease.hpp"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace dandelionbay {

namespace {

using nlohmann::json;

bool unanswered(const absl::Status& status) {
    return !status.ok() && !absl::IsAborted(status) && !absl::IsNotFound(status);
}

} // namespace

std::string lease_holder::encode(const row_content& content) {
    return json{{"holder", content.holder}, {"change_id", content.change_id}, {"token", content.token}}.dump();
}

std::optional<lease_holder::row_content> lease_holder::decode(std::string_view value) {
    try {
        const auto document = json::parse(value);
        return row_content{document.at("holder").get<std::string>(), document.at("change_id").get<std::string>(),
                           document.at("token").get<std::uint64_t>()};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

lease_holder::lease_holder(lease_settings settings, table_store& store, const clock& time, counters& metrics)
    : settings_{std::move(settings)}, store_{&store}, time_{&time}, metrics_{&metrics} {
    assert(!settings_.holder.empty() && "an empty holder marks a free lease");
}

void lease_holder::lapse() {
    if (token_ != 0) {
        metrics_->add("lease_events_total", "lapsed");
    }
    token_ = 0;
}

// Writes the row and reads it back if the answer is lost. Ok only if the row is known to say what was written.
absl::Status lease_holder::write(const std::string& holder, std::uint64_t token, std::uint64_t expected_version) {
    const auto sent = time_->now();
    const row_content content{holder, absl::StrCat(settings_.holder, "/", ++writes_), token};
    const auto version = store_->put(leases_table, settings_.name, encode(content), expected_version);
    if (version.ok()) {
        version_ = *version;
    } else if (unanswered(version.status())) {
        const auto row = store_->get(leases_table, settings_.name);
        const auto found = row.ok() ? decode(row->value) : std::nullopt;
        if (!found || found->change_id != content.change_id) {
            return version.status();
        }
        version_ = row->version;
    } else {
        return version.status();
    }
    token_ = holder.empty() ? 0 : token;
    valid_until_ = sent + settings_.length;
    return absl::OkStatus();
}

absl::Status lease_holder::take_over(const absl::StatusOr<table_row>& row, time_point now) {
    if (absl::IsNotFound(row.status())) {
        return write(settings_.holder, 1, 0);
    }
    if (!row.ok()) {
        return row.status();
    }
    const auto content = decode(row->value);
    if (!content) {
        return absl::FailedPreconditionError("the lease's row is malformed");
    }
    if (row->version != seen_version_) {
        seen_version_ = row->version;
        seen_since_ = now;
    }
    const bool own = content->holder == settings_.holder;
    const bool free = content->holder.empty() || now - seen_since_ >= settings_.length + settings_.margin;
    if (!own && !free) {
        return absl::FailedPreconditionError(absl::StrCat("the lease is held by ", content->holder));
    }
    return write(settings_.holder, content->token + 1, row->version);
}

absl::Status lease_holder::tick() {
    if (token()) {
        auto renewed = write(settings_.holder, token_, version_);
        if (!absl::IsAborted(renewed)) {
            // Without an answer the lease stays valid until its time ends. The lost write may still arrive, so the
            // next renewal can fail on the version; it then reads the row.
            return renewed;
        }
        const auto row = store_->get(leases_table, settings_.name);
        const auto content = row.ok() ? decode(row->value) : std::nullopt;
        if (content && content->holder == settings_.holder && content->token == token_) {
            return write(settings_.holder, token_, row->version);
        }
        if (row.ok()) {
            lapse();
            return absl::FailedPreconditionError("the lease was taken over");
        }
        return row.status();
    }
    const auto row = store_->get(leases_table, settings_.name);
    const auto taken = take_over(row, time_->now());
    if (taken.ok()) {
        metrics_->add("lease_events_total", "acquired");
    }
    return absl::IsAborted(taken) ? absl::FailedPreconditionError("another took the lease") : taken;
}

std::optional<std::uint64_t> lease_holder::token() {
    if (token_ != 0 && time_->now() >= valid_until_) {
        lapse();
    }
    return token_ != 0 ? std::optional{token_} : std::nullopt;
}

absl::Status lease_holder::release() {
    if (!token()) {
        return absl::OkStatus();
    }
    const auto held = std::exchange(token_, 0);
    metrics_->add("lease_events_total", "released");
    const auto freed = write("", held, version_);
    return absl::IsAborted(freed) ? absl::OkStatus() : freed;
}

absl::Status fencing_gate::admit(std::string_view name, std::uint64_t token) {
    if (token == 0) {
        return absl::InvalidArgumentError("a command needs a fencing token");
    }
    const std::lock_guard lock{mutex_};
    const auto it = highest_.try_emplace(std::string{name}, token).first;
    if (token < it->second) {
        return absl::FailedPreconditionError(
            absl::StrCat("fencing token ", token, " is older than the highest seen, ", it->second));
    }
    it->second = token;
    return absl::OkStatus();
}

absl::Status fencing_gate::learn(std::string_view name, table_store& store) {
    const auto row = store.get(leases_table, name);
    if (absl::IsNotFound(row.status())) {
        return absl::OkStatus();
    }
    if (!row.ok()) {
        return row.status();
    }
    const auto document = json::parse(row->value, nullptr, false);
    if (!document.is_object() || !document.contains("token") || !document["token"].is_number_unsigned()) {
        return absl::DataLossError("the lease's row is malformed");
    }
    const auto token = document["token"].get<std::uint64_t>();
    const std::lock_guard lock{mutex_};
    auto& highest = highest_.try_emplace(std::string{name}, token).first->second;
    highest = std::max(highest, token);
    return absl::OkStatus();
}

} // namespace dandelionbay
