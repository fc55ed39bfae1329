#pragma once

#include <chrono>
#include <memory>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/http/caller_gate.hpp"

namespace dandelionbay::internal {

/*! @brief Reads the answer to one request and watches the caller's connection meanwhile. */
class caller_reply {
public:
    /**
     * @brief Begins to read.
     * @param source The answer. @param deadline Time at which the request is given up.
     * @param cancellable False if the request must run to its end although its caller is gone.
     * @param time Clock; must outlive the reply.
     */
    caller_reply(std::shared_ptr<answer_source> source, time_point deadline, bool cancellable, const clock& time);
    caller_reply(const caller_reply&) = delete;
    caller_reply(caller_reply&&) = delete;
    caller_reply& operator=(const caller_reply&) = delete;
    caller_reply& operator=(caller_reply&&) = delete;

    /*! @brief Cancels a request whose answer was not read to its end. */
    ~caller_reply();

    /*! @brief Waits for the next part. @return It; answer_end also if the caller is gone or the deadline passed. */
    [[nodiscard]] answer_event next();

    /*! @brief Cancels the request; its caller is gone. */
    void cancel() noexcept;

private:
    std::shared_ptr<answer_source> source_;
    time_point deadline_;
    const clock* clock_;
    bool cancellable_;
    bool ended_{false};
};

} // namespace dandelionbay::internal
