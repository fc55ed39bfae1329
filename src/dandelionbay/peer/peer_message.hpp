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
#include "dandelionbay/gateway/stream_version_registry.hpp"
#include "dandelionbay/limit/lost_run_registry.hpp"
#include "dandelionbay/limit/part_crash_registry.hpp"
#include "dandelionbay/peer/fwd.hpp"

namespace dandelionbay {

/*! @brief The sender's own work at one endpoint. */
struct endpoint_work_entry {
    endpoint_id endpoint{};
    endpoint_work work{};

    friend bool operator==(const endpoint_work_entry&, const endpoint_work_entry&) = default;
};

/*! @brief State that a router requests from a peer, which answers at once and not in the next round. */
struct refresh_request {
    bool operators{}; //!< A recent confirmation of the operator state.
    bool config{};    //!< The configuration text.
    bool list{};      //!< The endpoints.

    /*! @brief Checks whether anything is requested. */
    [[nodiscard]] bool any() const noexcept { return operators || config || list; }

    friend bool operator==(const refresh_request&, const refresh_request&) = default;
};

/*! @brief A message from one router to another. Uses of prompt parts and losses add to those of earlier messages; all
 *  else replaces what earlier messages said. */
struct peer_message {
    host_id host{};
    std::uint64_t incarnation{};
    socket_address address{}; //!< Address on which the sender listens for peers.
    bool is_leaving{};        //!< The sender is about to end.
    std::int64_t sent_us{};   //!< Send time, by the sender's clock.
    std::int64_t echo_us{};   //!< sent_us of the newest message that the sender received from the receiver; 0 for none.
    std::int64_t echo_delay_us{}; //!< Time between the arrival of that message and sent_us.
    operator_state operators{};
    std::int64_t operators_age_us{-1}; //!< Age of the operator state's confirmation at sent_us; -1 for none.
    registry_version list_as_of{};
    std::int64_t list_age_us{-1};
    std::vector<endpoint_work_entry> loads{};
    std::vector<part_use> part_uses{};
    std::vector<team_usage_entry> teams{};
    std::vector<service_queue> queues{};
    std::vector<socket_address> peers{}; //!< Other routers that the sender knows.
    std::string config_text{};           //!< The configuration, if the receiver requested and lacks it; else empty.
    std::optional<endpoint_list> list{}; //!< The endpoints, if the receiver requested them.
    std::vector<endpoint_process> endpoints_leaving{}; //!< Endpoints that said in an answer that they are leaving.
    std::vector<call_losses> losses{}; //!< Losses that the receiver may not have; times by the sender's clock.
    region_id region{};                //!< The sender's region.
    refresh_request request{};
    part_evidence part_crashes{};        //!< Evidence that the receiver may not have; times by the sender's clock.
    std::vector<service_delay> delays{}; //!< How long the sender's calls waited at engines; ages at sent_us.
    version_report versions{};           //!< Ages are as of sent_us. Streams add to those of earlier messages.

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

/*! @brief Bound on an encoded message; a configuration of a thousand routes and teams takes a tenth of it. */
inline constexpr std::size_t max_peer_message_bytes = std::size_t{8} << 20U;

/*! @brief Encodes a message. @return msgpack bytes without the length prefix. */
[[nodiscard]] std::string encode(const peer_message& it);

/**
 * @brief Encodes the messages of one router.
 *
 * Caches the encoded lists and encodes a list again only if it differs from the one in the message before. Nearly all
 * of a message is the same for all peers of a round, and a router with a tenth of a core may have over a hundred peers.
 */
class peer_encoder {
public:
    /*! @brief A list of the last message, with its encoding. */
    template<typename Value>
    struct cached_list {
        std::vector<Value> values{};
        std::string bytes{}; //!< Empty if nothing was encoded yet.
    };

    /*! @brief Encodes a message. @return The same bytes as a new encoder returns. */
    [[nodiscard]] std::string encode(const peer_message& it);

private:
    cached_list<endpoint_work_entry> loads_{};
    cached_list<part_use> part_uses_{};
    cached_list<team_usage_entry> teams_{};
    cached_list<service_queue> queues_{};
    cached_list<endpoint_process> endpoints_leaving_{};
};

/*! @brief Decodes a message. @param bytes As returned by encode(). @return The message, or InvalidArgument. */
[[nodiscard]] absl::StatusOr<peer_message> decode_peer_message(std::string_view bytes);

} // namespace dandelionbay
