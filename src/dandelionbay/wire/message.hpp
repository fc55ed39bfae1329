#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/base/result_code.hpp"
#include "dandelionbay/fair/ledger_row.hpp"
#include "dandelionbay/wire/fwd.hpp"

namespace dandelionbay {

/*! @brief Version of the frame format and the messages; hosts with different versions do not talk. */
inline constexpr std::uint32_t protocol_version = 3;

/*! @brief Role of a process in the fleet. */
enum class host_role : std::uint8_t { router = 0, agent = 1 };

/*! @brief First message in both directions on a new link. */
struct hello {
    host_id host{};
    host_role role{host_role::router};
    region_id region{};
    zone_id zone{};
    incarnation_type incarnation{};
    endpoint_id endpoint{}; //!< Set by agents only.
    std::uint64_t config_revision{};

    friend bool operator==(const hello&, const hello&) = default;
};

/*! @brief Shows that the sender lives. */
struct heartbeat {
    incarnation_type incarnation{};
    std::uint64_t config_revision{};
    std::uint32_t evidence_age_ms{}; //!< Age of the freshest evidence that the revision is the newest one.
    bool leaving{};

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/*! @brief A backlogged team at a router. */
struct team_demand {
    team_id team{};
    std::uint32_t queued{}; //!< Waiting requests.
    double counter{};       //!< Virtual counter, cost units per weight, reservations included.
    double charged{};       //!< Virtual counter without reservations; never falls.
    bool suspects_only{};   //!< All its waiting requests are suspected of crashing endpoints.

    friend bool operator==(const team_demand&, const team_demand&) = default;
};

/*! @brief Waiting work of one pool at a router; an empty list says that none waits. */
struct demand {
    pool_id pool{};
    std::uint64_t version{}; //!< Grows with each demand of this router; older ones are ignored.
    std::vector<team_demand> teams{};
    double gap{}; //!< Distance of counters beyond which a deficit is repaid, cost units per weight; 0 if unknown.

    friend bool operator==(const demand&, const demand&) = default;
};

/*! @brief Highest charged counter that an agent has heard for a team. */
struct team_floor {
    pool_id pool{};
    team_id team{};
    double charged{};

    friend bool operator==(const team_floor&, const team_floor&) = default;
};

/*! @brief Leave to submit one request for each id to the sender's endpoint. */
struct grant {
    pool_id pool{};
    std::vector<grant_id> ids{};
    std::uint32_t lifetime_ms{}; //!< Counted from receipt.
    bool spare{};                //!< Placed ahead of need.
    std::vector<team_floor> floors{};

    friend bool operator==(const grant&, const grant&) = default;
};

/*! @brief Takes unused grants back. */
struct recall {
    std::vector<grant_id> ids{};

    friend bool operator==(const recall&, const recall&) = default;
};

/*! @brief Gives unused grants back; they will not be used after this message. */
struct returned {
    std::vector<grant_id> ids{};

    friend bool operator==(const returned&, const returned&) = default;
};

/*! @brief Header field of an HTTP call. */
struct header_field {
    std::string name{};
    std::string value{};

    friend bool operator==(const header_field&, const header_field&) = default;
};

/*! @brief HTTP call as it goes to an endpoint. */
struct call {
    std::string method{};
    std::string path{};
    std::vector<header_field> headers{};
    std::string body{};

    friend bool operator==(const call&, const call&) = default;
};

/*! @brief Hands a request to an agent under a grant. */
struct submit {
    request_id id{};
    grant_id grant{};
    team_id team{};
    service_id service{};
    bool model_call{};           //!< The answer is a stream of tokens of a model engine.
    bool idempotent{true};       //!< May run again after a failure.
    std::uint64_t fingerprint{}; //!< Hash of team, call and body.
    std::uint32_t suspicion{};   //!< Number of endpoint crashes that count against this request.
    std::uint32_t timeout_ms{};  //!< Counted from receipt; the run is cancelled after it.
    call request{};
    std::vector<crash_id> crashes{}; //!< The crashes that count against it; cleared if it finishes.

    friend bool operator==(const submit&, const submit&) = default;
};

/*! @brief The agent did not and will not run this submission. */
struct rejected {
    request_id id{};
    grant_id grant{};
    result_code code{result_code::internal_error};

    friend bool operator==(const rejected&, const rejected&) = default;
};

/*! @brief Start of an answer. */
struct head {
    request_id id{};
    std::int32_t status{};
    std::vector<header_field> headers{};

    friend bool operator==(const head&, const head&) = default;
};

/*! @brief Piece of an answer's body. */
struct chunk {
    request_id id{};
    std::uint64_t offset{}; //!< Bytes of the body before this piece.
    std::string data{};
    std::uint32_t output_tokens{}; //!< Tokens in this piece.

    friend bool operator==(const chunk&, const chunk&) = default;
};

/*! @brief End of a run; the slot is free. */
struct finish {
    request_id id{};
    result_code code{result_code::ok};
    executed state{executed::yes};
    std::uint64_t total_bytes{}; //!< Length of the whole body.
    std::uint32_t input_tokens{};
    std::uint32_t output_tokens{};

    friend bool operator==(const finish&, const finish&) = default;
};

/*! @brief The caller is gone or the router gave up; the run ends. */
struct cancel {
    request_id id{};

    friend bool operator==(const cancel&, const cancel&) = default;
};

/*! @brief Asks for an answer again from an offset after a link broke. */
struct resume {
    request_id id{};
    std::uint64_t offset{};
    bool need_head{};

    friend bool operator==(const resume&, const resume&) = default;
};

/*! @brief Endpoint crashes a request was present at; merged by union. */
struct suspicion {
    std::uint64_t fingerprint{};
    std::vector<crash_id> crashes{}; //!< Crashes that count against it.
    std::vector<crash_id> cleared{}; //!< Crashes after which it ran and finished normally.

    friend bool operator==(const suspicion&, const suspicion&) = default;
};

/*! @brief Changed service counters. */
struct ledger_rows {
    std::vector<ledger_row> rows{};
    std::vector<lift_row> lifts{};

    friend bool operator==(const ledger_rows&, const ledger_rows&) = default;
};

/*! @brief Asks a peer for its configuration. */
struct config_query {
    std::uint64_t above_revision{};

    friend bool operator==(const config_query&, const config_query&) = default;
};

/*! @brief A configuration in force at the sender. */
struct config_document {
    std::uint64_t revision{};
    std::string document{}; //!< JSON text as stored.

    friend bool operator==(const config_document&, const config_document&) = default;
};

/*! @brief Any message between two hosts; the order of the alternatives is the type number on the wire. */
using message = std::variant<hello, heartbeat, demand, grant, recall, returned, submit, rejected, head, chunk, finish,
                             cancel, resume, suspicion, ledger_rows, config_query, config_document>;

} // namespace dandelionbay
