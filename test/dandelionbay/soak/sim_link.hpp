#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/wire/message.hpp"
#include "soak/event_queue.hpp"

namespace dandelionbay::soak {

/*! @brief A host as the links see it. */
class link_user {
public:
    link_user() = default;
    link_user(const link_user&) = delete;
    link_user(link_user&&) = delete;
    link_user& operator=(const link_user&) = delete;
    link_user& operator=(link_user&&) = delete;
    virtual ~link_user() = default;

    [[nodiscard]] virtual hello introduce() const = 0;
    virtual void link_up(const hello& peer) = 0;
    virtual void link_down(const host_id& peer) = 0;
    virtual void receive(const host_id& from, const message& body) = 0;
};

/*! @brief Ordered links between hosts that break, pause and, if asked to, lose, repeat or reorder messages. */
class sim_links {
    struct direction {
        time_point last_delivery{};
    };

    struct link {
        bool up{};
        bool blocked{};
        std::uint64_t epoch{};
        direction forward{};
        direction backward{};
    };

    using key_type = std::pair<host_id, host_id>;

    [[nodiscard]] static key_type key(const host_id& a, const host_id& b) { return std::minmax(a, b); }
    void connect(const key_type& ends);
    void deliver(const host_id& to, std::function<void(link_user&)> run);

public:
    sim_links(event_queue& events, std::uint64_t seed) : events_{&events}, random_{seed} {}

    void add(const host_id& host, link_user& user, region_id region);
    void join(const host_id& a, const host_id& b);
    void send(const host_id& from, const host_id& to, const message& body);

    /*! @brief Breaks a link; it is tried again until it stands. */
    void break_link(const host_id& a, const host_id& b);
    /*! @brief Breaks all links of a host. */
    void break_links(const host_id& host);
    /*! @brief Holds back what one host sends to another until a time; the order stays. */
    void stall(const host_id& from, const host_id& to, time_point until);
    /*! @brief Keeps a link from standing, or lets it stand again. */
    void block(const host_id& a, const host_id& b, bool blocked);
    /*! @brief Runs something at a host, after its pause if it is paused. */
    void run_at(const host_id& host, const std::function<void()>& run) {
        deliver(host, [run](link_user&) { run(); });
    }
    /*! @brief Holds back all that happens at a host until a time. */
    void pause(const host_id& host, time_point until);
    [[nodiscard]] time_point paused_until(const host_id& host) const;
    void set_message_faults(bool on) { message_faults_ = on; }
    [[nodiscard]] std::vector<std::pair<host_id, host_id>> ends() const;

private:
    event_queue* events_;
    std::mt19937_64 random_;
    std::map<host_id, link_user*> users_;
    std::map<host_id, region_id> regions_;
    std::map<host_id, time_point> paused_;
    std::map<key_type, link> links_;
    bool message_faults_{};
};

} // namespace dandelionbay::soak
