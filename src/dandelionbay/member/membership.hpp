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

/*! @brief What a node thinks of a host. */
enum class member_state : unsigned char {
    live,
    suspect, //!< Not heard for a while.
    leaving, //!< Heard, and it or the host list says that it is leaving.
    gone,    //!< Not heard for long, or stopped.
};

/*! @brief Name of a state as the administration API shows it. @param state The state. @return The name. */
[[nodiscard]] std::string_view to_string(member_state state) noexcept;

/*! @brief A host as a node knows it. */
struct member {
    host_entry entry{};
    member_state state{member_state::suspect};
    incarnation_type incarnation{}; //!< Zero until the host was heard.
    std::uint64_t config_revision{};

    friend bool operator==(const member&, const member&) = default;
};

/**
 * @brief The hosts that a node knows and whether it hears them.
 *
 * Hosts come from settings, from the host list and from their own messages. A host leaves the set of known hosts only
 * when it announced its stop and then fell silent, or when the host list as read from the store no longer has it and it
 * is not heard. So both parts of a partition judge their majority by the same set.
 *
 * What is heard takes precedence over the host list, which lags: a listed host that is silent is not live, and a host
 * that is heard is known though the list does not have it yet. Such a host also counts for the majority while it is
 * silent; otherwise the two parts of a partition would judge by different sets and could both see a majority.
 */
class membership {
    struct record {
        host_entry entry{};
        incarnation_type incarnation{};
        std::uint64_t config_revision{};
        std::optional<time_point> heard{};
        std::optional<time_point> confirmed{}; //!< It sent a heartbeat at this time or later.
        time_point known_since{};
        bool announced_leaving{};
        bool ever_listed{}; //!< Settings or the host list had it.
        bool delisted{};    //!< A later host list did not have it.
    };

    [[nodiscard]] member_state state_of(const record& it, time_point now) const;
    [[nodiscard]] static bool counts(const record& it, time_point now);
    record* accept(const host_id& from, incarnation_type incarnation, time_point now);
    [[nodiscard]] std::optional<time_point> majority_since(std::optional<time_point> record::*what,
                                                           time_point now) const;

public:
    /*! @brief A host that was not heard for this long is suspect. */
    static constexpr duration suspect_timeout = std::chrono::seconds{3};

    /*! @brief A host that the list never had counts as missing from it only when it was silent for this long. */
    static constexpr duration unlisted_timeout = std::chrono::seconds{60};

    /*! @brief A host that was not heard for this long is gone. */
    static constexpr duration gone_timeout = std::chrono::seconds{10};

    /**
     * @brief Starts with the hosts of the settings.
     * @param self This host; it always counts as heard.
     * @param hosts Hosts known before the host list was read; may contain this host. If there are others, they have to
     * be all: the majority is taken of them until the list is read.
     * @param metrics Counters; must outlive the object.
     * @param now Current time.
     */
    membership(host_entry self, const std::vector<host_entry>& hosts, counters& metrics, time_point now);

    /*! @brief The host list was read from the store. @param hosts Its content. @param now Current time. */
    void host_list_read(const std::vector<host_entry>& hosts, time_point now);

    /**
     * @brief A link's first message arrived.
     * @return False if it is of an older incarnation and has to be ignored with all that follows on its link.
     */
    [[nodiscard]] bool on_message(const hello& peer, time_point now);

    /*! @brief A heartbeat arrived. @param from Its sender. @param beat It. @return False if it has to be ignored. */
    [[nodiscard]] bool on_message(const host_id& from, const heartbeat& beat, time_point now);

    /*! @brief Any other message arrived. @param from Its sender. @param incarnation Of the link's hello. */
    [[nodiscard]] bool on_message(const host_id& from, incarnation_type incarnation, time_point now);

    /*! @brief A heartbeat that on_message() accepted was sent at a time or later. @param from Its sender. @param sent
     * The time. */
    void on_heartbeat_confirmed(const host_id& from, time_point sent);

    /*! @brief State of a host. @param host The host. @return It; gone for an unknown host. */
    [[nodiscard]] member_state state(const host_id& host, time_point now) const;

    /*! @brief Last known incarnation of a host. @param host The host. @return It, or zero. */
    [[nodiscard]] incarnation_type incarnation(const host_id& host) const;

    /*! @brief All known hosts, this one included. @param now Current time. @return Them, ordered by host. */
    [[nodiscard]] std::vector<member> members(time_point now) const;

    /*! @brief Number of hosts that the majority is taken of, this one included. @param now Current time. */
    [[nodiscard]] std::size_t known_count(time_point now) const;

    /*! @brief Tells whether more than half of the known hosts are heard, this one included. @param now Time. */
    [[nodiscard]] bool hears_majority(time_point now) const;

    /**
     * @brief Highest revision that more than half of the known hosts have, as far as they were heard.
     * @param own Revision of this host.
     * @param now Current time.
     * @return It; zero if there is none or the hosts are not known.
     */
    [[nodiscard]] std::uint64_t majority_revision(std::uint64_t own, time_point now) const;

    /**
     * @brief The newest time such that more than half of the known hosts sent a heartbeat at it or later, as told to
     * on_heartbeat_confirmed(); other messages do not count, because they may have been held up on their way.
     * @param now Current time.
     * @return The time, or nothing if a majority was never heard or neither the settings nor the host list named hosts.
     */
    [[nodiscard]] std::optional<time_point> majority_heard(time_point now) const;

private:
    host_entry self_;
    counters& metrics_;
    std::map<host_id, record> records_{};
    bool all_named_{}; //!< Settings or the host list named the hosts that a majority is taken of.
};

} // namespace dandelionbay
