#pragma once

#include <cstdint>
#include <map>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/fair/fwd.hpp"
#include "dandelionbay/fair/ledger.hpp"

namespace dandelionbay {

/*! @brief Cost in cost units of a token, of a plain (non-model) call and of a KiB of a plain call's body. */
struct cost_weights {
    double input_token{1.0};
    double output_token{2.0};
    double plain_call{1.0};
    double plain_kib{1.0};

    friend bool operator==(const cost_weights&, const cost_weights&) = default;
};

/*! @brief Computes the cost of requests and estimates the output length of each team's next request. */
class cost_model {
public:
    /*! @brief Expected output, in tokens, of a team without history. */
    static constexpr double initial_output_tokens = 256.0;

    /*! @brief Weight of the newest request in the exponential moving average of the output length. */
    static constexpr double sample_weight = 0.1;

private:
    struct average {
        double output_tokens{initial_output_tokens};
        bool has_history{};
        double refund{}; // charged counters never decrease, so an overcharge is deducted from later input charges
    };

public:
    /*! @brief Creates a model without history. @param weights Costs in cost units. */
    explicit cost_model(cost_weights weights = {}) : weights_{weights} {}

    /**
     * @brief Returns the expected output of a team's next request.
     * @param key Team and pool.
     * @param max_output Caller's limit in tokens; zero if there is none.
     * @return Output tokens, at most the caller's limit.
     */
    [[nodiscard]] double expected_output(const team_key& key, std::uint32_t max_output) const;

    /**
     * @brief Adds the output of a finished request to the average.
     * @param key Team and pool.
     * @param tokens Output tokens.
     */
    void observe_output(const team_key& key, std::uint32_t tokens);

    /*! @brief Records that a team was overcharged. @param key Team and pool. @param cost Overcharge in cost units. */
    void add_refund(const team_key& key, double cost);

    /**
     * @brief Deducts the team's pending refund from a cost.
     * @param key Team and pool.
     * @param cost Cost units.
     * @return Cost units that remain to be charged.
     */
    [[nodiscard]] double apply_refund(const team_key& key, double cost);

    /*! @brief Returns the cost of input and output tokens. @return Cost units. */
    [[nodiscard]] double token_cost(double input, double output) const noexcept;

    /*! @brief Returns the cost of a plain call. @param body_bytes Length of the body in bytes. @return Cost units. */
    [[nodiscard]] double plain_call_cost(std::uint64_t body_bytes) const noexcept;

private:
    cost_weights weights_;
    std::map<team_key, average> averages_;
};

/**
 * @brief Reservation and charges of one attempt to run a request.
 *
 * The destructor doesn't release the reservation: each attempt has to be ended with settle().
 */
class cost_account {
    void release(double cost, ledger& target, time_point now);
    void charge(double cost, ledger& target, time_point now);

public:
    cost_account() = default;

    /**
     * @brief Reserves the estimated cost of the attempt.
     * @param key Team and pool.
     * @param weight Weight of the team, greater than 0.
     * @param input Cost units of the input, charged when the run starts.
     * @param output Estimated cost units of the output.
     * @param target Ledger that holds the reservation and the charges.
     * @param now Current time.
     */
    cost_account(team_key key, double weight, double input, double output, ledger& target, time_point now);

    /*! @brief Charges the input when the run starts; does nothing if it was charged before. */
    void charge_input(ledger& target, time_point now);

    /*! @brief Charges output as it is streamed; charges the input first if necessary. @param cost Cost units. */
    void charge_output(double cost, ledger& target, time_point now);

    /**
     * @brief Ends the attempt: charges the difference to the exact cost and releases the remaining reservation.
     * @param exact Exact cost in cost units; if it is not above charged(), nothing more is charged.
     * @param target Ledger that holds the reservation and the charges.
     * @param now Current time.
     * @return Cost units charged beyond the exact cost; zero if the run never started.
     */
    double settle(double exact, ledger& target, time_point now);

    /*! @brief Returns the cost units charged so far. */
    [[nodiscard]] double charged() const noexcept { return charged_; }

private:
    team_key key_{};
    double weight_{1.0};
    double input_{};
    double reserved_{};
    double charged_{};
    bool started_{};
};

} // namespace dandelionbay
