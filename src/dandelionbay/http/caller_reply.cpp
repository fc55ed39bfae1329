#include "dandelionbay/http/caller_reply.hpp"

#include <utility>

#include "dandelionbay/http/caller_stream.hpp"

namespace dandelionbay::internal {

namespace {

// Interval at which a waiting request notices that its caller is gone.
constexpr std::chrono::milliseconds check_interval{100};

} // namespace

caller_reply::caller_reply(std::shared_ptr<answer_source> source, time_point deadline, bool cancellable,
                           const clock& time)
    : source_{std::move(source)}, deadline_{deadline}, clock_{&time}, cancellable_{cancellable} {}

caller_reply::~caller_reply() {
    cancel();
}

void caller_reply::cancel() noexcept {
    if (!std::exchange(ended_, true)) {
        source_->cancel();
    }
}

answer_event caller_reply::next() {
    for (;;) {
        if (auto event = source_->next(check_interval)) {
            ended_ = ended_ || std::holds_alternative<answer_end>(*event);
            return std::move(*event);
        }
        const auto* const stream = caller_stream::current();
        if (cancellable_ && stream != nullptr && stream->peer_gone()) {
            cancel();
            return answer_end{{}, result_code::caller_gone, executed::unknown, {}};
        }
        if (clock_->now() >= deadline_) {
            cancel();
            return answer_end{{}, result_code::outcome_unknown, executed::unknown, {}};
        }
    }
}

} // namespace dandelionbay::internal
