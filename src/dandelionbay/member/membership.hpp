#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/member/fwd.hpp"
#include "dandelionbay/store/host_list.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/*! @brief State of a host in the view of a node. */
enum class member_state : unsigned char {
    live,
    suspect, //!< No message for suspect_timeout, or none yet.
    leaving, //!< Live, and the host or the host list says that it is leaving.
    gone,    //!< No message for gone_timeout, or stopped as announced.
};

/*! @brief Returns the name of a state as shown by the administration API. */
[[nodiscard]] std::string_view to_string(member_state state) noexcept;

/*! @brief A known host and its state. */
struct member {
    host_entry entry{};
    member_state state{member_state::suspect};
    incarnation_type incarnation{}; //!< Zero before the first message of the host.
    std::uint64_t config_revision{};

    friend bool operator==(const member&, const member&) = default;
};

/**
 * @brief Known hosts of a node and their failure detection.
 *
 * Hosts are known from settings, from the host list and from their own messages. A host stops counting for the majority
 * only if it announced its stop and then became silent, or if the host list read from the store no longer contains it
 * and it is silent. Both sides of a partition therefore compute the majority over the same set.
 *
 * Received messages take precedence over the host list, which lags: a listed host that is silent is not live, and a
 * host that sends messages is known before the list contains it. Such a host also counts for the majority while it is
 * silent; otherwise the two sides of a partition could use different sets and both see a majority.
 */
class membership {
    struct record {
        host_entry entry{};
        incarnation_type incarnation{};
        std::uint64_t config_revision{};
        std::optional<time_point> last_message_at{};
        std::optional<time_point> confirmed_at{}; //!< The host sent a heartbeat at this time or later.
        time_point known_since{};
        bool has_announced_leaving{};
        bool was_listed{};  //!< The settings or a host list contained the host.
        bool is_delisted{}; //!< A later host list did not contain the host.
    };

    [[nodiscard]] member_state state_of(const record& host, time_point now) const;
    [[nodiscard]] static bool counts_for_majority(const record& host, time_point now);
    record* accept(const host_id& from, incarnation_type incarnation, time_point now);
    [[nodiscard]] std::optional<time_point> majority_since(std::optional<time_point> record::*time,
                                                           time_point now) const;

public:
    /*! @brief A host without messages for this time is suspect. */
    static constexpr duration suspect_timeout = std::chrono::seconds{3};

    /*! @brief A host that was never listed is delisted only after it was silent for this time, because the list lags.
     */
    static constexpr duration unlisted_timeout = std::chrono::seconds{60};

    /*! @brief A host without messages for this time is gone. */
    static constexpr duration gone_timeout = std::chrono::seconds{10};

    /**
     * @brief Creates a view with the hosts of the settings.
     * @param self This host, which is never suspect or gone by silence.
     * @param hosts Hosts known before the host list is read; may contain this host. If there are others, the list must
     * be complete, because the majority is computed over these hosts until the host list is read.
     * @param metrics Counters; must outlive the object.
     * @param now Current time.
     */
    membership(host_entry self, const std::vector<host_entry>& hosts, counters& metrics, time_point now);

    /*! @brief Applies the host list read from the store. @param hosts Content of the list. @param now Current time. */
    void update_host_list(const std::vector<host_entry>& hosts, time_point now);

    /**
     * @brief Records the first message of a link.
     * @return False if the message is of an older incarnation or of this host; it and all later messages of its link
     * must then be ignored.
     */
    [[nodiscard]] bool on_message(const hello& peer, time_point now);

    /**
     * @brief Records a heartbeat.
     * @param from Sender.
     * @param beat The heartbeat.
     * @param now Current time.
     * @return False if the heartbeat must be ignored.
     */
    [[nodiscard]] bool on_message(const host_id& from, const heartbeat& beat, time_point now);

    /**
     * @brief Records any other message.
     * @param from Sender.
     * @param incarnation Incarnation in the hello of the link.
     * @param now Current time.
     * @return False if the message must be ignored.
     */
    [[nodiscard]] bool on_message(const host_id& from, incarnation_type incarnation, time_point now);

    /**
     * @brief Records a lower bound of the send time of a heartbeat that on_message() accepted.
     * @param from Sender.
     * @param sent Time at or after which the heartbeat was sent.
     */
    void on_heartbeat_confirmed(const host_id& from, time_point sent);

    /*! @brief Returns the state of a host; member_state::gone for an unknown host. */
    [[nodiscard]] member_state state(const host_id& host, time_point now) const;

    /*! @brief Returns the last known incarnation of a host, or zero if there is none. */
    [[nodiscard]] incarnation_type incarnation(const host_id& host) const;

    /*! @brief Returns all known hosts including this one, ordered by host. @param now Current time. */
    [[nodiscard]] std::vector<member> members(time_point now) const;

    /*! @brief Number of hosts that count for the majority, this one included. @param now Current time. */
    [[nodiscard]] std::size_t known_count(time_point now) const;

    /*! @brief Tells whether more than half of the hosts that count for the majority, this one included, sent messages
     * recently. @param now Current time. */
    [[nodiscard]] bool has_majority(time_point now) const;

    /**
     * @brief Highest configuration revision that more than half of the hosts have reached, as far as announced.
     * @param own Revision of this host.
     * @param now Current time.
     * @return The revision; zero if there is none or neither the settings nor the host list named hosts.
     */
    [[nodiscard]] std::uint64_t majority_revision(std::uint64_t own, time_point now) const;

    /**
     * @brief Latest time such that more than half of the hosts sent a heartbeat at this time or later. Only the times
     * given to on_heartbeat_confirmed() are used, because other messages may have been delayed.
     * @param now Current time.
     * @return The time, or nothing if no majority is confirmed or neither the settings nor the host list named hosts.
     */
    [[nodiscard]] std::optional<time_point> majority_confirmed_at(time_point now) const;

private:
    host_entry self_;
    counters& metrics_;
    std::map<host_id, record> records_{};
    bool are_hosts_named_{}; //!< The settings or the host list named the hosts that count for the majority.
};

} // namespace dandelionbay
