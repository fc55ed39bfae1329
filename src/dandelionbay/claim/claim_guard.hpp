#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/base/result_code.hpp"
#include "dandelionbay/claim/fwd.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/*! @brief Identifies a non-idempotent call; team, service and key are the claim's key. */
struct claim_request {
    team_id team{};
    service_id service{};
    std::string key{};           //!< Value of the caller's Idempotency-Key header.
    std::uint64_t fingerprint{}; //!< Hash of method, path and body.
    std::uint32_t timeout_ms{};  //!< Longest time in the queue and at the endpoint together.

    friend bool operator==(const claim_request&, const claim_request&) = default;
};

/*! @brief Answer of a finished call; the implementation keeps bodies of up to 64 KiB. */
struct stored_answer {
    std::int32_t status{};
    std::vector<header_field> headers{};
    std::string body{};

    friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

/**
 * @brief Right to run one non-idempotent call once.
 *
 * Exactly one of finish(), abandon() and release() is called. A handle that is destroyed without any of them leaves
 * the claim as it is, which is the same as abandon(). All calls may block for the time limits of the store.
 */
class claim_handle {
public:
    claim_handle() = default;
    claim_handle(const claim_handle&) = delete;
    claim_handle(claim_handle&&) = delete;
    claim_handle& operator=(const claim_handle&) = delete;
    claim_handle& operator=(claim_handle&&) = delete;
    virtual ~claim_handle() = default;

    /*! @brief The call ran and its whole answer was read. @param answer The answer for later resends. */
    virtual void finish(const stored_answer& answer) = 0;

    /*! @brief The call may have run and its answer is lost; the claim never runs again. */
    virtual void abandon() = 0;

    /*! @brief The call provably did not run; the key may be claimed again. */
    virtual void release() = 0;
};

/*! @brief What to do with a non-idempotent call. */
struct claim_decision {
    enum class kind : std::uint8_t {
        proceed, //!< Run the call; the handle is set.
        replay,  //!< Send the stored answer; do not run the call.
        refuse,  //!< Send an error; do not run the call.
    };

    kind action{kind::refuse};
    std::unique_ptr<claim_handle> handle{}; //!< Set for proceed only.
    stored_answer answer{};                 //!< Set for replay only.
    result_code code{result_code::ok};      //!< Set for refuse only.
    executed state{executed::no};           //!< Set for refuse only: whether the call of this key has run.
    duration retry_after{};                 //!< Set for refuse only; zero if retrying is of no use.
};

/*! @brief Admits non-idempotent calls at most once; safe for use by several threads. */
class claim_guard {
public:
    claim_guard() = default;
    claim_guard(const claim_guard&) = delete;
    claim_guard(claim_guard&&) = delete;
    claim_guard& operator=(const claim_guard&) = delete;
    claim_guard& operator=(claim_guard&&) = delete;
    virtual ~claim_guard() = default;

    /**
     * @brief Claims a call before it is queued; blocks for at most the time limits of the store.
     * @param request The call.
     * @return The decision. Without an answer of the store: refuse, store_unavailable, executed::no.
     */
    [[nodiscard]] virtual claim_decision begin(const claim_request& request) = 0;
};

} // namespace dandelionbay
