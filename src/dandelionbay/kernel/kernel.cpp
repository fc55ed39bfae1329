#include "dandelionbay/kernel/kernel.hpp"

#include <algorithm>
#include <cassert>

#include "absl/strings/str_cat.h"

namespace dandelionbay {

service* kernel::find_any(std::string_view name) const noexcept {
    const auto it = std::ranges::find(entries_, name, &entry::name);
    return it != entries_.end() ? it->instance.get() : nullptr;
}

kernel::~kernel() {
    stop();
}

absl::Status kernel::add(std::string name, std::unique_ptr<service> instance) {
    assert(started_ == 0 && "services are registered before the start");
    if (find_any(name) != nullptr) {
        return absl::AlreadyExistsError(absl::StrCat("service ", name, " is registered twice"));
    }
    entries_.push_back(entry{std::move(name), std::move(instance)});
    return absl::OkStatus();
}

absl::Status kernel::start() {
    for (auto& it : entries_) {
        auto status = it.instance->start(*this);
        if (!status.ok()) {
            stop();
            return status;
        }
        ++started_;
    }
    return absl::OkStatus();
}

void kernel::stop() noexcept {
    while (started_ > 0) {
        --started_;
        entries_[started_].instance->stop();
    }
}

} // namespace dandelionbay
