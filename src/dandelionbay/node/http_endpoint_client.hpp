#pragma once

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/node/endpoint_client.hpp"
#include "dandelionbay/store/host_list.hpp"

namespace dandelionbay {

/**
 * @brief Endpoint over HTTP: a model engine whose answers are event streams, or a plain service.
 *
 * Each run has its own thread and its own connection, because a kept connection may be closed by the endpoint while a
 * request is written, after which its outcome is unknown. Counters: endpoint_runs_total by end.
 */
class http_endpoint_client final : public endpoint_client {
    class run;

    [[nodiscard]] bool crashed_since(const std::string& process);
    void perform(run& it, run_events& events);
    void reap();

public:
    /*! @brief Creates a client. @param endpoint Address. @param time Clock. @param metrics Counters; both must outlive
     *  the client. @param crash_watch Time for which a broken run waits for a new process identity, which endpoints
     *  report with a lag. */
    http_endpoint_client(socket_address endpoint, const clock& time, counters& metrics,
                         std::chrono::milliseconds crash_watch = std::chrono::milliseconds{1'200});
    http_endpoint_client(const http_endpoint_client&) = delete;
    http_endpoint_client(http_endpoint_client&&) = delete;
    http_endpoint_client& operator=(const http_endpoint_client&) = delete;
    http_endpoint_client& operator=(http_endpoint_client&&) = delete;
    ~http_endpoint_client() override;

    void start_run(const submit& work, run_events& events) override;
    void cancel_run(const request_id& id) override;
    [[nodiscard]] absl::StatusOr<load_report> state() override;
    void expire(time_point now) override;
    void stop() noexcept override;

private:
    socket_address endpoint_;
    const clock* clock_;
    counters* counters_;
    std::chrono::milliseconds crash_watch_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::string process_;
    std::map<request_id, std::shared_ptr<run>> runs_;
    std::vector<std::shared_ptr<run>> finished_;
    bool stopping_{false};
};

} // namespace dandelionbay
