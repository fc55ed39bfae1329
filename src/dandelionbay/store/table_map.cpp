#include "dandelionbay/store/table_map.hpp"

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace dandelionbay {

absl::StatusOr<table_row> table_map::get(std::string_view table, std::string_view key) const {
    const std::lock_guard lock{mutex_};
    const auto it = rows_.find(key_type{table, key});
    if (it == rows_.end()) {
        return absl::NotFoundError("the table has no row with this key");
    }
    return it->second;
}

absl::StatusOr<std::uint64_t> table_map::put(std::string_view table, std::string_view key, std::string_view value,
                                             std::uint64_t expected_version) {
    const std::lock_guard lock{mutex_};
    const auto it = rows_.find(key_type{table, key});
    const auto version = it != rows_.end() ? it->second.version : 0;
    if (version != expected_version) {
        return absl::AbortedError(absl::StrCat("row has version ", version, ", expected ", expected_version));
    }
    rows_.insert_or_assign(key_type{table, key}, table_row{std::string{value}, version + 1});
    return version + 1;
}

std::vector<std::string> table_map::list(std::string_view table) const {
    const std::lock_guard lock{mutex_};
    std::vector<std::string> keys;
    for (auto it = rows_.lower_bound(key_type{table, ""}); it != rows_.end() && it->first.first == table; ++it) {
        keys.push_back(it->first.second);
    }
    return keys;
}

} // namespace dandelionbay
