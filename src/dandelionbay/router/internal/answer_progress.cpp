#include "dandelionbay/router/internal/answer_progress.hpp"

#include <utility>

namespace dandelionbay::internal {

bool answer_progress::take_head() noexcept {
    return !std::exchange(head_, true);
}

answer_progress::verdict answer_progress::take(const chunk& in, std::string& fresh) {
    const auto end = in.offset + in.data.size();
    if (end < in.offset || (end_ && end > end_->total_bytes)) {
        return verdict::beyond;
    }
    if (!head_ || in.offset > offset_) {
        return verdict::gap;
    }
    if (end <= offset_) {
        return verdict::duplicate;
    }
    fresh = in.data.substr(offset_ - in.offset);
    offset_ = end;
    return verdict::deliver;
}

bool answer_progress::take_end(const finish& in) {
    if (end_) {
        return end_->total_bytes == in.total_bytes;
    }
    end_ = in;
    return true;
}

bool answer_progress::complete() const noexcept {
    return head_ && end_ && offset_ == end_->total_bytes;
}

bool answer_progress::overlong() const noexcept {
    return end_ && offset_ > end_->total_bytes;
}

} // namespace dandelionbay::internal
