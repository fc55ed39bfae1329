#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <latch>
#include <memory>
#include <thread>
#include <vector>

#include "dandelionbay/bench/balancer.hpp"
#include "dandelionbay/bench/engine_times.hpp"
#include "dandelionbay/bench/fwd.hpp"
#include "dandelionbay/bench/recorder.hpp"
#include "dandelionbay/bench/scenario.hpp"

namespace dandelionbay::bench {

/**
 * @brief Sends planned calls to the routers at their times, whatever became of the earlier ones.
 *
 * The calls of each team to each router have threads of their own, so that the backlog of one team delays no other
 * team's calls before they reach a router. When all threads of a team wait, its next calls are late; their latency
 * counts from the planned time.
 */
class load_generator {
    struct lane {
        std::vector<arrival> calls{};
        std::atomic<std::size_t> next{0};
    };

    void work(lane& from);
    void send_chat(const arrival& it);
    void send_order(const arrival& it);

public:
    /**
     * @brief Prepares the load; sends nothing yet.
     * @param plan Arrivals, ordered by time.
     * @param routers Tells where each call goes; outlives the object.
     * @param length Time after the start of the load from which on no call is sent.
     * @param results Takes what the callers see. @param engines The engines' own times. Both outlive the object.
     */
    load_generator(std::vector<arrival> plan, const balancer& routers, duration length, recorder& results,
                   engine_times& engines);
    load_generator(const load_generator&) = delete;
    load_generator(load_generator&&) = delete;
    load_generator& operator=(const load_generator&) = delete;
    load_generator& operator=(load_generator&&) = delete;

    /*! @brief Waits until every call has ended. */
    ~load_generator();

    /**
     * @brief Starts the threads, and the recorder's time once all of them run.
     *
     * A time fixed before would pass on a busy machine while threads are still being made.
     * @return Start of the load, a little ahead.
     */
    time_point start();

    /*! @brief Waits until every call has ended. */
    void finish();

private:
    const balancer* balancer_;
    duration length_;
    recorder* results_;
    engine_times* engines_;
    std::array<lane, router_count*(team_count + 1)> lanes_; //!< For each router one per team and one for orders.
    std::latch running_;                                    //!< Open once all threads run.
    std::latch begun_{1};                                   //!< Open once the start is known.
    time_point start_{};                                    //!< Written before begun_ opens.
    std::vector<std::thread> threads_;
};

} // namespace dandelionbay::bench
