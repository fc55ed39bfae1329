#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/claim/claim_guard.hpp"
#include "dandelionbay/http/bounded_server.hpp"
#include "dandelionbay/http/caller_gate.hpp"
#include "dandelionbay/http/caller_reply.hpp"
#include "dandelionbay/kernel/kernel.hpp"

namespace dandelionbay {

/*! @brief Settings of the caller API. */
struct caller_front_options {
    socket_address listen{};
    std::uint32_t threads{512};
    internal::connection_limits limits{};
    std::size_t max_collected_bytes{std::size_t{32} << 20U}; //!< Longest answer that is held as a whole.
    std::chrono::milliseconds slack{10'000}; //!< Beyond the time limits of a service; then the request is given up.

    friend bool operator==(const caller_front_options&, const caller_front_options&) = default;
};

/**
 * @brief HTTP API of the callers.
 *
 * A caller that closes its connection is noticed within 100 ms while its request waits or runs, and at the next write
 * while its answer is sent.
 */
class caller_front final : public service {
    using reply_pointer = std::shared_ptr<internal::caller_reply>;

    struct identity {
        std::shared_ptr<const fleet_config> config;
        const team_config* team{};
    };

    [[nodiscard]] std::optional<identity> authenticate(const httplib::Request& request, httplib::Response& response);
    void count(result_code code);
    void refuse(httplib::Response& response, const answer_end& why, std::string_view text = {});
    void refuse(httplib::Response& response, result_code code, std::string_view text = {});

    /*! Refuses a call if the service is null or of another kind, or if the body exceeds its limit. */
    [[nodiscard]] bool check_offer(const service_config* offer, service_kind kind, std::size_t body_bytes,
                                   httplib::Response& response);

    void get_models(const httplib::Request& request, httplib::Response& response);
    void get_health(httplib::Response& response) const;
    void post_chat(const httplib::Request& request, httplib::Response& response);
    void call_service(const httplib::Request& request, httplib::Response& response);

    void stream_chat(reply_pointer answer, httplib::Response& response);
    void collect_chat(internal::caller_reply& answer, httplib::Response& response);
    void pass_on(reply_pointer answer, const answer_head& start, httplib::Response& response);
    [[nodiscard]] answer_end collect(internal::caller_reply& answer, stored_answer& whole) const;
    void run_claimed(accepted_request work, const service_config& offer, const std::string& key,
                     httplib::Response& response);
    void send_whole(const stored_answer& answer, httplib::Response& response);
    [[nodiscard]] reply_pointer submit(accepted_request work, const service_config& offer, bool cancellable);

public:
    /**
     * @brief Creates the API; it serves after start().
     * @param options Settings. @param gate The router. @param claims Guard of non-idempotent calls; null refuses them.
     * @param time Clock. @param metrics Counters. All but the options must outlive the API.
     */
    caller_front(caller_front_options options, caller_gate& gate, claim_guard* claims, const clock& time,
                 counters& metrics);
    caller_front(const caller_front&) = delete;
    caller_front(caller_front&&) = delete;
    caller_front& operator=(const caller_front&) = delete;
    caller_front& operator=(caller_front&&) = delete;
    ~caller_front() override;

    /*! @brief Listens and serves. @param host Not used. @return Unavailable if the address can't be bound. */
    [[nodiscard]] absl::Status start(kernel& host) override;

    /*! @brief Stops listening, lets the answers in progress end and joins all threads. */
    void stop() noexcept override;

    /*! @brief Closes each connection after its present answer from now on. */
    void begin_close() noexcept { server_.begin_close(); }

    /*! @brief Requests whose answer is not yet sent. */
    [[nodiscard]] std::int64_t active() const noexcept { return server_.active(); }

    /*! @brief Port in use; valid after start(). */
    [[nodiscard]] std::uint16_t port() const noexcept { return server_.port(); }

private:
    caller_front_options options_;
    caller_gate* gate_;
    claim_guard* claims_;
    const clock* clock_;
    counters* counters_;
    bounded_server server_;
};

} // namespace dandelionbay
