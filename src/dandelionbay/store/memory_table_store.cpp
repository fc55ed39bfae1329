#include "dandelionbay/store/memory_table_store.hpp"

#include <utility>

#include "absl/status/status.h"

namespace dandelionbay {

namespace {

absl::Status no_answer(store_fault fault) {
    return absl::UnavailableError(fault == store_fault::before ? "injected fault before the effect"
                                                               : "injected fault after the effect");
}

} // namespace

memory_table_store::memory_table_store(std::shared_ptr<table_map> rows)
    : rows_{rows != nullptr ? std::move(rows) : std::make_shared<table_map>()} {}

void memory_table_store::set_faults(fault_function faults) {
    const std::lock_guard lock{mutex_};
    faults_ = faults ? std::make_shared<const fault_function>(std::move(faults)) : nullptr;
}

std::uint64_t memory_table_store::calls() const {
    const std::lock_guard lock{mutex_};
    return calls_;
}

store_fault memory_table_store::next_fault(store_operation operation, std::string_view table, std::string_view key) {
    std::shared_ptr<const fault_function> faults;
    store_call call{operation, std::string{table}, std::string{key}, 0};
    {
        const std::lock_guard lock{mutex_};
        call.index = calls_++;
        faults = faults_;
    }
    return faults != nullptr ? (*faults)(call) : store_fault::none;
}

absl::StatusOr<table_row> memory_table_store::get(std::string_view table, std::string_view key) {
    if (const auto fault = next_fault(store_operation::get, table, key); fault != store_fault::none) {
        return no_answer(fault);
    }
    return rows_->get(table, key);
}

absl::StatusOr<std::optional<table_row>> memory_table_store::get_unless(std::string_view table, std::string_view key,
                                                                        std::uint64_t known) {
    auto row = get(table, key);
    if (!row.ok()) {
        return row.status();
    }
    return row->version == known ? std::nullopt : std::optional{*std::move(row)};
}

absl::StatusOr<std::uint64_t> memory_table_store::put(std::string_view table, std::string_view key,
                                                      std::string_view value, std::uint64_t expected_version) {
    const auto fault = next_fault(store_operation::put, table, key);
    if (fault == store_fault::before) {
        return no_answer(fault);
    }
    auto version = rows_->put(table, key, value, expected_version);
    if (fault == store_fault::after) {
        return no_answer(fault);
    }
    return version;
}

absl::StatusOr<std::vector<std::string>> memory_table_store::list(std::string_view table) {
    if (const auto fault = next_fault(store_operation::list, table, ""); fault != store_fault::none) {
        return no_answer(fault);
    }
    return rows_->list(table);
}

} // namespace dandelionbay
