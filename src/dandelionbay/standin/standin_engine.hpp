#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "dandelionbay/standin/fwd.hpp"
#include "dandelionbay/store/host_list.hpp"

namespace dandelionbay {

/*! @brief Settings of the model engine stand-in. */
struct standin_engine_options {
    socket_address listen{"127.0.0.1", 0};
    std::uint32_t slots{8};                    //!< Full load; more requests than this slow each other down sharply.
    std::uint32_t cold_slots{1};               //!< Requests it bears at once while cold.
    std::chrono::milliseconds cold_time{0};    //!< Length of a cold start; zero starts warm.
    std::chrono::milliseconds first_token{50}; //!< Delay of the first token when warm.
    std::chrono::microseconds token_interval{10'000}; //!< Between tokens of one answer when it runs alone.
    double interval_growth{0.02};                     //!< Share of the interval that each further running request adds.
    std::chrono::milliseconds state_lag{500};         //!< Age of what GET /state reports.
    std::chrono::milliseconds restart_time{0};        //!< After a crash, calls are refused (503) for this long.
    std::string crash_marker{"CRASH-ENGINE"};         //!< A prompt that contains it crashes the engine.
    std::uint32_t default_tokens{16};                 //!< Answer length if the call sets no max_tokens.

    friend bool operator==(const standin_engine_options&, const standin_engine_options&) = default;
};

/*! @brief What an engine stand-in has done since it was created; crashes do not reset it. */
struct engine_stats {
    std::uint64_t started{};
    std::uint64_t completed{};
    std::uint64_t cancelled{}; //!< The caller closed its connection.
    std::uint64_t failed{};    //!< Failed by full load while cold.
    std::uint64_t crashes{};
    std::uint64_t cold_violations{}; //!< Requests that started above the cold bound.
    std::uint64_t output_tokens{};
    std::uint32_t max_running{};

    friend bool operator==(const engine_stats&, const engine_stats&) = default;
};

/*! @brief A token that an engine stand-in made. */
struct engine_token {
    std::string_view prompt{};      //!< Contents of all messages of the call, each followed by a newline.
    std::chrono::microseconds at{}; //!< Since the call came to the engine.

    friend bool operator==(const engine_token&, const engine_token&) = default;
};

/**
 * @brief Stand-in for a model engine with continuous batching.
 *
 * POST /v1/chat/completions with and without "stream"; GET /v1/models, /state, /stats; POST /faults with
 * {"cold_ms": n}, {"crash": true} or {"hang": true}.
 */
class standin_engine {
    class state;

public:
    /*! @brief Called by the threads of the connections. */
    using token_observer = std::function<void(const engine_token&)>;

    /*! @brief Creates an engine that does not serve yet. @param options Settings. */
    explicit standin_engine(standin_engine_options options);
    standin_engine(const standin_engine&) = delete;
    standin_engine(standin_engine&&) = delete;
    standin_engine& operator=(const standin_engine&) = delete;
    standin_engine& operator=(standin_engine&&) = delete;
    ~standin_engine();

    /*! @brief Listens and serves. @return Unavailable if the address can't be bound. */
    [[nodiscard]] absl::Status start();

    /*! @brief Breaks all connections and joins all threads. */
    void stop() noexcept;

    /*! @brief Port in use. @return The port; zero before start(). */
    [[nodiscard]] std::uint16_t port() const noexcept;

    /*! @brief Breaks all connections, takes a new process identity and starts cold for the time of the options. */
    void crash();

    /*! @brief As crash(). @param cold_time Length of the cold start. */
    void crash(std::chrono::milliseconds cold_time);

    /*! @brief Makes the engine cold without a new process identity. @param length Length of the cold state. */
    void make_cold(std::chrono::milliseconds length);

    /*! @brief While set, runs make no progress and connections stay open. @param hanging The state. */
    void set_hanging(bool hanging);

    /*! @brief Sets what is told of each token of a streamed answer that begins later. @param it It, or null. */
    void observe(token_observer it);

    /*! @brief Tells whether the engine is cold now; GET /state shows it later. */
    [[nodiscard]] bool cold() const;

    /*! @brief Requests running now. */
    [[nodiscard]] std::uint32_t running() const;

    /*! @brief Totals since creation. */
    [[nodiscard]] engine_stats stats() const;

    /**
     * @brief The answer that every engine gives.
     * @param prompt Contents of all messages of the call, each followed by a newline.
     * @param tokens Number of tokens.
     * @return The text, different for different prompts.
     */
    [[nodiscard]] static std::string expected_answer(std::string_view prompt, std::uint32_t tokens);

private:
    std::unique_ptr<state> state_;
};

} // namespace dandelionbay
