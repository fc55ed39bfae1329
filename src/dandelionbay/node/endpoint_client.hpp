#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "dandelionbay/agent/agent_action.hpp"
#include "dandelionbay/node/fwd.hpp"

namespace dandelionbay {

/*! @brief Receives what happens to the runs at the endpoint; called by the threads of the runs. */
class run_events {
public:
    run_events() = default;
    run_events(const run_events&) = delete;
    run_events(run_events&&) = delete;
    run_events& operator=(const run_events&) = delete;
    run_events& operator=(run_events&&) = delete;
    virtual ~run_events() = default;

    /*! @brief The endpoint began to answer. @param id The run. @param status HTTP status. @param headers Header. */
    virtual void run_head(const request_id& id, std::int32_t status, std::vector<header_field> headers) = 0;

    /*! @brief Bytes of an answer. @param id The run. @param data The bytes. @param tokens Output tokens in them. */
    virtual void run_data(const request_id& id, std::string data, std::uint32_t tokens) = 0;

    /*! @brief The connection of a run broke; run_ended() follows when it is known why. @param id The run. */
    virtual void run_broke(const request_id& id) = 0;

    /*! @brief The last event of a run. @param id The run. @param end How it ended. @param input_tokens Zero if unknown.
     */
    virtual void run_ended(const request_id& id, run_end end, std::uint32_t input_tokens) = 0;
};

/*! @brief The endpoint beside an agent. */
class endpoint_client {
public:
    endpoint_client() = default;
    endpoint_client(const endpoint_client&) = delete;
    endpoint_client(endpoint_client&&) = delete;
    endpoint_client& operator=(const endpoint_client&) = delete;
    endpoint_client& operator=(endpoint_client&&) = delete;
    virtual ~endpoint_client() = default;

    /*! @brief Sends a request to the endpoint; does not block. @param work It. @param events Outlives the run. */
    virtual void start_run(const submit& work, run_events& events) = 0;

    /*! @brief Closes the call to the endpoint; its end is still reported. @param id The run. */
    virtual void cancel_run(const request_id& id) = 0;

    /*! @brief Asks the endpoint for its state; blocks. @return DeadlineExceeded if it is silent for the time limit,
     *  Unavailable if it refuses the connection, another error if the connection ends or the report is malformed. */
    [[nodiscard]] virtual absl::StatusOr<load_report> state() = 0;

    /*! @brief Ends runs whose time limit has passed. @param now Current time. */
    virtual void expire(time_point now) = 0;

    /*! @brief Closes all calls and waits for their ends. */
    virtual void stop() noexcept = 0;
};

} // namespace dandelionbay
