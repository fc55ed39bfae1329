#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "dandelionbay/dispatch/dispatcher.hpp"
#include "dandelionbay/gateway/endpoint_entry.hpp"
#include "dandelionbay/gateway/registry_view.hpp"
#include "dandelionbay/limit/lost_run_registry.hpp"
#include "dandelionbay/peer/fwd.hpp"

namespace dandelionbay {

/*! @brief A router's own work at one endpoint. */
struct endpoint_work_entry {
    endpoint_id endpoint{};
    endpoint_work work{};

    friend bool operator==(const endpoint_work_entry&, const endpoint_work_entry&) = default;
};

/*! @brief What a router asks a peer for; a peer that is asked for anything answers at once. */
struct refresh_request {
    bool operators{}; //!< What operators want, as of lately.
    bool config{};    //!< The configuration's text.
    bool list{};      //!< The endpoints.

    /*! @brief Tells whether anything is asked for. */
    [[nodiscard]] bool any() const noexcept { return operators || config || list; }

    friend bool operator==(const refresh_request&, const refresh_request&) = default;
};

/*! @brief What one router tells another. All of it replaces what it told before, except uses of parts and losses. */
struct peer_message {
    host_id host{};
    std::uint64_t incarnation{};
    socket_address address{};    //!< Where the sender listens for its peers.
    bool leaving{};              //!< The sender is about to end.
    std::int64_t sent_us{};      //!< The sender's clock at the sending.
    std::int64_t echo_us{};      //!< The newest such time that the sender has from the receiver; 0 for none.
    std::int64_t echo_held_us{}; //!< Time since that arrived.
    operator_state operators{};
    std::int64_t operators_age_us{-1}; //!< Age of that evidence at the sending; -1 for none.
    std::uint64_t list_as_of{};
    std::int64_t list_age_us{-1};
    std::vector<endpoint_work_entry> loads{};
    std::vector<part_use> part_uses{};
    std::vector<team_usage_entry> teams{};
    std::vector<service_queue> queues{};
    std::vector<socket_address> peers{};               //!< Other routers that the sender knows.
    std::string config_text{};                         //!< The configuration, if the receiver lacks it; else empty.
    std::optional<endpoint_list> list{};               //!< The endpoints, if the receiver lacks them.
    std::vector<endpoint_process> endpoints_leaving{}; //!< Endpoints that said in an answer that they leave.
    std::vector<call_losses> losses{};                 //!< Those that the receiver may not know, by the sender's clock.
    region_id region{};                                //!< Where the sender stands.
    refresh_request request{};

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

/*! @brief Longest message, in bytes: a configuration of a thousand routes and teams takes a tenth of it. */
inline constexpr std::size_t max_peer_message_bytes = std::size_t{8} << 20U;

/*! @brief Encodes a message. @return msgpack bytes without length. */
[[nodiscard]] std::string encode(const peer_message& it);

/**
 * @brief Encodes the messages of one router.
 *
 * Nearly all of a message is the same for all peers of a round, and a host with a tenth of a core has over a hundred
 * peers. Lists that are the same as in the message before are not encoded again.
 */
class peer_encoder {
public:
    /*! @brief A list of the last message. */
    template<typename Value>
    struct section {
        std::vector<Value> values{};
        std::string bytes{}; //!< Empty if nothing was encoded yet.
    };

    /*! @brief Encodes the next message. @return The same bytes as those of a new encoder. */
    [[nodiscard]] std::string encode(const peer_message& it);

private:
    section<endpoint_work_entry> loads_{};
    section<part_use> part_uses_{};
    section<team_usage_entry> teams_{};
    section<service_queue> queues_{};
    section<endpoint_process> endpoints_leaving_{};
};

/*! @brief Decodes a message. @param bytes As from encode(). @return It, or InvalidArgument. */
[[nodiscard]] absl::StatusOr<peer_message> decode_peer_message(std::string_view bytes);

} // namespace dandelionbay
