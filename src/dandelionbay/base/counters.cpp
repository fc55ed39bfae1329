#include "dandelionbay/base/counters.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace dandelionbay {

void counters::add(std::string_view name, std::string_view reason, value_type n) {
    const std::lock_guard lock{mutex_};
    values_[key_type{name, reason}] += n;
}

void counters::set(std::string_view name, value_type value) {
    const std::lock_guard lock{mutex_};
    values_[key_type{name, ""}] = value;
}

counters::value_type counters::get(std::string_view name, std::string_view reason) const {
    const std::lock_guard lock{mutex_};
    const auto it = values_.find(key_type{name, reason});
    return it != values_.end() ? it->second : 0;
}

counters::value_type counters::total(std::string_view name) const {
    const std::lock_guard lock{mutex_};
    value_type sum = 0;
    for (const auto& [key, value] : values_) {
        sum += key.first == name ? value : 0;
    }
    return sum;
}

std::vector<std::pair<std::string, counters::value_type>> counters::values(std::string_view name) const {
    const std::lock_guard lock{mutex_};
    std::vector<std::pair<std::string, value_type>> out;
    for (auto it = values_.lower_bound(key_type{name, ""}); it != values_.end() && it->first.first == name; ++it) {
        out.emplace_back(it->first.second, it->second);
    }
    return out;
}

std::string counters::render() const {
    const std::lock_guard lock{mutex_};
    std::string text;
    for (const auto& [key, value] : values_) {
        const auto label = key.second.empty() ? std::string{} : absl::StrCat("{reason=\"", key.second, "\"}");
        absl::StrAppend(&text, "dandelionbay_", key.first, label, " ", value, "\n");
    }
    return text;
}

} // namespace dandelionbay
