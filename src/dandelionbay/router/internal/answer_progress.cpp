#include "dandelionbay/router/internal/answer_progress.hpp"

#include <utility>

namespace dandelionbay::internal {

bool answer_progress::accept_head() noexcept {
    return !std::exchange(has_head_, true);
}

answer_progress::chunk_status answer_progress::accept_chunk(const chunk& in, std::string& new_bytes) {
    const auto end = in.offset + in.data.size();
    if (end < in.offset || (end_ && end > end_->total_bytes)) {
        return chunk_status::beyond_end;
    }
    if (!has_head_ || in.offset > offset_) {
        return chunk_status::gap;
    }
    if (end <= offset_) {
        return chunk_status::duplicate;
    }
    new_bytes = in.data.substr(offset_ - in.offset);
    offset_ = end;
    return chunk_status::deliver;
}

bool answer_progress::accept_end(const finish& in) {
    if (end_) {
        return end_->total_bytes == in.total_bytes;
    }
    end_ = in;
    return true;
}

bool answer_progress::is_complete() const noexcept {
    return has_head_ && end_ && offset_ == end_->total_bytes;
}

bool answer_progress::is_overlong() const noexcept {
    return end_ && offset_ > end_->total_bytes;
}

} // namespace dandelionbay::internal
