#pragma once

#include <cstdint>
#include <map>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/fair/fwd.hpp"
#include "dandelionbay/fair/ledger.hpp"

namespace dandelionbay {

/*! @brief Cost units of one token and of one plain call. */
struct cost_weights {
    double input_token{1.0};
    double output_token{2.0};
    double plain_call{1.0};
    double plain_kib{1.0};

    friend bool operator==(const cost_weights&, const cost_weights&) = default;
};

/*! @brief Costs of requests and the expected output of each team. */
class cost_model {
public:
    /*! @brief Output tokens assumed for a team without history. */
    static constexpr double initial_output_tokens = 256.0;

    /*! @brief Share of the newest request in the moving average. */
    static constexpr double ewma_weight = 0.1;

private:
    struct average {
        double output{initial_output_tokens};
        bool known{};
        double refund{}; // counters never fall, so an overcharge is set off against the next input
    };

public:
    /*! @brief Creates a model without history. @param weights Cost units. */
    explicit cost_model(cost_weights weights = {}) : weights_{weights} {}

    /**
     * @brief Expected output of a team's next request.
     * @param key Team and pool.
     * @param max_output Caller's limit in tokens; zero if it gave none.
     * @return Tokens, not above the caller's limit.
     */
    [[nodiscard]] double expected_output(const team_key& key, std::uint32_t max_output) const;

    /*! @brief Enters the output of a finished request. @param key Team and pool. @param tokens Output tokens. */
    void observe_output(const team_key& key, std::uint32_t tokens);

    /*! @brief Remembers that a team was charged too much. @param key Team and pool. @param cost Cost units. */
    void add_refund(const team_key& key, double cost);

    /*! @brief Sets a cost off against refunds. @param cost Cost units. @return What remains to be charged. */
    [[nodiscard]] double apply_refund(const team_key& key, double cost);

    /*! @brief Cost of tokens. @return Cost units. */
    [[nodiscard]] double token_cost(double input, double output) const noexcept;

    /*! @brief Cost of a plain call. @param body_bytes Length of its body. @return Cost units. */
    [[nodiscard]] double plain_call_cost(std::uint64_t body_bytes) const noexcept;

private:
    cost_weights weights_;
    std::map<team_key, average> averages_;
};

/**
 * @brief Reservation and charges of one attempt to run a request.
 *
 * The destructor enters nothing: an attempt ends with settle().
 */
class cost_account {
    void release(double cost, ledger& book, time_point now);
    void charge(double cost, ledger& book, time_point now);

public:
    cost_account() = default;

    /**
     * @brief Reserves the estimate.
     * @param key Team and pool.
     * @param weight Weight of the team.
     * @param input Cost charged at the start.
     * @param output Estimated cost of the answer.
     */
    cost_account(team_key key, double weight, double input, double output, ledger& book, time_point now);

    /*! @brief The run has started: charges the input once. */
    void charge_input(ledger& book, time_point now);

    /*! @brief Charges output as it streams. @param cost Cost units. */
    void charge_output(double cost, ledger& book, time_point now);

    /**
     * @brief Ends the attempt: charges what is missing up to the exact cost and releases the rest of the estimate.
     * @param exact Exact cost, or a lower number to charge nothing more.
     * @return Cost units charged beyond the exact cost; zero if the run never started.
     */
    double settle(double exact, ledger& book, time_point now);

    /*! @brief Cost units charged so far. */
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
