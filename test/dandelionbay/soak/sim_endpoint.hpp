#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "dandelionbay/agent/agent_action.hpp"
#include "soak/event_queue.hpp"

namespace dandelionbay::soak {

/*! @brief Answer that an endpoint gives to a body of the form "key tokens". */
[[nodiscard]] std::string expected_answer(const std::string& key, std::uint32_t tokens);

/*! @brief What an endpoint tells its agent and the checker. */
class endpoint_events {
public:
    endpoint_events() = default;
    endpoint_events(const endpoint_events&) = delete;
    endpoint_events(endpoint_events&&) = delete;
    endpoint_events& operator=(const endpoint_events&) = delete;
    endpoint_events& operator=(endpoint_events&&) = delete;
    virtual ~endpoint_events() = default;

    virtual void run_head(const request_id& id) = 0;
    virtual void run_data(const request_id& id, std::string data) = 0;
    virtual void run_ended(const request_id& id, run_end end, std::uint32_t input_tokens) = 0;
    virtual void reported(const load_report& state) = 0;
    virtual void unreachable() = 0;
};

/*! @brief Small model of a back end: tokens at an interval, cold start, crashes and a load report with a lag. */
class sim_endpoint {
    struct run_state {
        std::string key;
        std::uint32_t tokens;
        std::uint32_t sent;
    };

    void step(std::uint64_t process, request_id id);
    void crash();
    void send_report();

public:
    sim_endpoint(event_queue& events, std::uint64_t seed, std::uint32_t slots, endpoint_events& sink)
        : events_{&events}, random_{seed}, slots_{slots}, sink_{&sink} {
        send_report();
    }

    /*! @brief Starts a request. @return False if more requests run than the endpoint bears. */
    bool start(const submit& work);
    void cancel(const request_id& id);

    /*! @brief Reports the state of the present process, as a read over a local connection does. */
    void check();

    /*! @brief Closes all calls without telling anyone, as when the agent's process ends. */
    void drop_calls() { runs_.clear(); }

    /*! @brief Tells whether a process listens; between two processes none does. */
    [[nodiscard]] bool reachable() const { return events_->now() >= listens_at_; }

    /*! @brief Restarts without warning: all calls break, the new process is cold. */
    void restart() { crash(); }

    [[nodiscard]] std::size_t running() const noexcept { return runs_.size(); }

private:
    event_queue* events_;
    std::mt19937_64 random_;
    std::uint32_t slots_;
    endpoint_events* sink_;
    std::map<request_id, run_state> runs_;
    std::uint64_t process_{1};
    time_point listens_at_{};
    time_point warm_at_{};
};

} // namespace dandelionbay::soak
