#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <thread>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/claim/claim_guard.hpp"
#include "dandelionbay/claim/claim_machine.hpp"
#include "dandelionbay/store/table_store.hpp"

namespace dandelionbay {

/*! @brief Identity and limits of a router's claims. */
struct claim_settings {
    claim_owner self{};
    duration retry_after{std::chrono::seconds{1}};           //!< Advice with request_in_progress and store_unavailable.
    std::uint32_t default_limit_ms{150'000};                 //!< Longest run of a request without a timeout.
    std::uint32_t limit_slack_ms{5'000};                     //!< Added to a request's timeout for differing clocks.
    std::uint32_t settle_attempts{40};                       //!< Tries to write the end of a claim.
    duration settle_backoff{std::chrono::milliseconds{250}}; //!< Pause after the first try; doubles up to 16 s.
    std::size_t most_unsettled{256}; //!< Claims whose end waits for the store, up to 64 KiB each.

    friend bool operator==(const claim_settings&, const claim_settings&) = default;
};

/**
 * @brief At-most-once guard over the table service; safe for use by several threads.
 *
 * Ends of claims that the store did not confirm are written again in the background. Counters: claims_total by
 * decision, claim_settlements_total by result.
 */
class claim_service final : public claim_guard {
    class core;
    class handle;

    void work(const std::stop_token& stop);

public:
    /*! @brief Reads the time of day, in ms since 1970; used for the age of claims of other hosts. */
    using wall_clock_function = std::function<std::int64_t()>;

    /**
     * @brief Creates a guard.
     * @param settings Identity and limits.
     * @param store Table service; must outlive the guard and its handles, as must the next two.
     * @param time Clock for the pauses between tries.
     * @param metrics Counters.
     * @param alive Tells whether one life of a router may still be running.
     * @param wall Time of day; the system's if empty.
     */
    claim_service(claim_settings settings, table_store& store, const clock& time, counters& metrics,
                  router_alive_function alive, wall_clock_function wall = {});
    claim_service(const claim_service&) = delete;
    claim_service(claim_service&&) = delete;
    claim_service& operator=(const claim_service&) = delete;
    claim_service& operator=(claim_service&&) = delete;
    ~claim_service() override;

    /*! @brief Starts the background thread that writes the unconfirmed ends of claims. */
    void start();

    /*! @brief Ends the background thread; every unsettled claim gets one last try while the store answers. */
    void stop() noexcept;

    [[nodiscard]] claim_decision begin(const claim_request& request) override;

    /*! @brief Makes one try for each unsettled claim that is due; the background thread calls it. */
    void settle_due();

    /*! @brief Number of claims whose end the store has not confirmed. */
    [[nodiscard]] std::size_t unsettled() const;

private:
    std::shared_ptr<core> core_;
    std::jthread worker_;
};

} // namespace dandelionbay
