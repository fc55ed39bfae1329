#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "absl/status/statusor.h"
#include "dandelionbay/claim/claim_guard.hpp"
#include "dandelionbay/claim/claim_row.hpp"
#include "dandelionbay/store/table_store.hpp"

namespace dandelionbay {

/*! @brief Read the claim's row. */
struct read_claim {
    friend bool operator==(const read_claim&, const read_claim&) = default;
};

/*! @brief Write the claim's row on condition of its version. */
struct write_claim {
    std::string value{};
    std::uint64_t expected_version{};

    friend bool operator==(const write_claim&, const write_claim&) = default;
};

/*! @brief Result of an attempt to claim a key. */
struct claim_verdict {
    claim_decision::kind action{claim_decision::kind::refuse};
    result_code code{result_code::ok};
    executed state{executed::no};
    stored_answer answer{};
    std::uint64_t version{}; //!< Version of the own row; proceed only.

    /*! @brief The attempt is refused, but its row may exist or appear later; it must be released. */
    bool maybe_written{};
    std::uint64_t attempted_version{}; //!< Version that the unconfirmed write demanded; maybe_written only.

    friend bool operator==(const claim_verdict&, const claim_verdict&) = default;
};

/*! @brief What to do next: one store call, whose result goes back to the machine, or the verdict. */
using claim_step = std::variant<read_claim, write_claim, claim_verdict>;

/*! @brief Tells whether one life of a router may still be running. */
using router_alive_function = std::function<bool(const claim_owner&)>;

/**
 * @brief One attempt to claim a key, without input or output.
 *
 * start() gives the first step; each further step follows from the result of the store call before it. There are at
 * most 8 store calls, of which at most 2 end without an answer.
 */
class claim_machine {
    [[nodiscard]] claim_step write(std::uint64_t expected_version);
    [[nodiscard]] claim_step read();
    [[nodiscard]] claim_step no_answer();
    [[nodiscard]] claim_step judge(const claim_row& row, std::uint64_t version);
    [[nodiscard]] claim_step give_up() const;

public:
    /**
     * @brief Creates an attempt.
     * @param own Row to be written; its change id must be unique to this attempt.
     * @param alive Tells whether the owner of another row may still be running.
     */
    claim_machine(claim_row own, router_alive_function alive);

    /*! @brief Begins. @return The first step. */
    [[nodiscard]] claim_step start();

    /*! @brief A write ended. @param result Result of the store. @return The next step. */
    [[nodiscard]] claim_step on_write(const absl::StatusOr<std::uint64_t>& result);

    /*! @brief A read ended. @param result Result of the store. @return The next step. */
    [[nodiscard]] claim_step on_read(const absl::StatusOr<table_row>& result);

private:
    claim_row own_;
    router_alive_function alive_;
    std::uint64_t expected_{0};
    bool unconfirmed_{false}; // A write has ended without an answer.
    int unanswered_{0};
    int calls_{0};
};

/*! @brief Result of one try to settle a claim. */
enum class settlement : std::uint8_t {
    settled,    //!< The row says what it should.
    superseded, //!< The row belongs to another attempt; nothing to do.
    again,      //!< The store did not answer; try again later.
};

/*! @brief Next step of a settlement. */
using settlement_step = std::variant<read_claim, write_claim, settlement>;

/**
 * @brief Writes the end of an attempt into its row, without input or output.
 *
 * Each try is start() and the steps that follow; after `again` start() begins the next try.
 */
class settlement_machine {
    [[nodiscard]] settlement_step write(std::uint64_t expected_version);

public:
    /**
     * @brief Creates the settlement of a confirmed claim.
     * @param target Row to be written; its change id is that of the attempt.
     * @param version Version of the attempt's row.
     */
    settlement_machine(claim_row target, std::uint64_t version);

    /**
     * @brief Creates the release of a claim that could not be confirmed.
     *
     * If the claim's write has not taken effect, the released row is written in its place, so that the claim's write
     * can't take effect later.
     * @param target Released row. @param attempted_version Version that the claim's write demanded.
     */
    [[nodiscard]] static settlement_machine release_unconfirmed(claim_row target, std::uint64_t attempted_version);

    /*! @brief Begins a try. @return The first step. */
    [[nodiscard]] settlement_step start();

    /*! @brief A write ended. @param result Result of the store. @return The next step. */
    [[nodiscard]] settlement_step on_write(const absl::StatusOr<std::uint64_t>& result);

    /*! @brief A read ended. @param result Result of the store. @return The next step. */
    [[nodiscard]] settlement_step on_read(const absl::StatusOr<table_row>& result);

    /*! @brief The row to be written. */
    [[nodiscard]] const claim_row& target() const noexcept { return target_; }

private:
    claim_row target_;
    std::uint64_t version_;
    bool confirmed_{true};  // The attempt's row is known to exist.
    bool must_read_{false}; // The version of the row is not certain.
    int calls_{0};
};

} // namespace dandelionbay
