#include "dandelionbay/wire/name_table.hpp"

#include <algorithm>

namespace dandelionbay::internal {

std::vector<std::uint16_t>::const_iterator name_table::position(std::string_view name) const noexcept {
    return std::ranges::lower_bound(sorted_, name, {}, [this](std::uint16_t number) { return *at(number); });
}

std::optional<std::size_t> name_table::find(std::string_view name) const noexcept {
    const auto it = position(name);
    if (it == sorted_.end() || at(*it) != name) {
        return std::nullopt;
    }
    return *it;
}

std::optional<std::string_view> name_table::at(std::size_t number) const noexcept {
    if (number >= ends_.size()) {
        return std::nullopt;
    }
    const std::size_t begin = number == 0 ? 0 : ends_[number - 1];
    return std::string_view{text_}.substr(begin, ends_[number] - begin);
}

bool name_table::add(std::string_view name) {
    if (name.empty() || name.size() > longest || ends_.size() == most || text_.size() + name.size() > most_bytes) {
        return false;
    }
    const auto it = position(name);
    if (it != sorted_.end() && at(*it) == name) {
        return false;
    }
    sorted_.insert(it, static_cast<std::uint16_t>(ends_.size()));
    text_ += name;
    ends_.push_back(static_cast<std::uint32_t>(text_.size()));
    return true;
}

void name_table::truncate(std::size_t count) {
    std::erase_if(sorted_, [count](std::uint16_t number) { return number >= count; });
    ends_.resize(count);
    text_.resize(count == 0 ? 0 : ends_.back());
}

} // namespace dandelionbay::internal
