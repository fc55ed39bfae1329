#include "dandelionbay/agent/answer_buffer.hpp"

#include <algorithm>

namespace dandelionbay::internal {

void answer_buffer::append(std::string_view data, std::uint32_t tokens) {
    bytes_.append(data);
    total_ += data.size();
    tokens_ += tokens;
    if (tokens > 0) {
        marks_.push_back(token_mark{total_, tokens});
    }
    while (!marks_.empty() && marks_.front().end < first_offset()) {
        marks_.pop_front();
    }
    if (bytes_.size() > 2 * capacity) {
        bytes_.erase(0, bytes_.size() - capacity);
    }
}

std::optional<std::vector<answer_piece>> answer_buffer::replay(std::uint64_t offset) const {
    if (offset < first_offset() || offset > total_) {
        return std::nullopt;
    }
    const auto base = total_ - bytes_.size();
    std::vector<answer_piece> pieces;
    auto it = std::ranges::find_if(marks_, [&](const token_mark& n) { return n.end > offset; });
    while (offset < total_) {
        const auto end = std::min(total_, offset + max_piece_size);
        answer_piece piece{.offset = offset, .data = bytes_.substr(offset - base, end - offset)};
        for (; it != marks_.end() && it->end <= end; ++it) {
            piece.tokens += it->tokens;
        }
        pieces.push_back(std::move(piece));
        offset = end;
    }
    return pieces;
}

} // namespace dandelionbay::internal
