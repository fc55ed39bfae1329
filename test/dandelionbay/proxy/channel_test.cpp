#include "dandelionbay/proxy/channel.hpp"

#include <optional>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "dandelionbay/net/reserved_address.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

class recording_owner final : public channel_owner {
public:
    void on_connected() override { connected = true; }
    void on_bytes(std::string_view /*bytes*/) override {}
    void on_end(channel_end end) override { ended = end; }

    bool connected{};
    std::optional<channel_end> ended{};
};

// Guards against a sound endpoint that counts as unreachable because the event loop was busy, as with a large
// configuration, for longer than a connection may take.
TEST(channel, a_connection_that_was_made_while_the_loop_was_busy_has_not_failed) {
    constexpr milliseconds limit{20};
    boost::asio::io_context loop;
    tcp::acceptor endpoint{loop, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}};
    recording_owner owner;
    const auto it = std::make_shared<channel>(tcp::socket{loop}, owner);
    it->connect({"127.0.0.1", endpoint.local_endpoint().port()}, limit);
    std::this_thread::sleep_for(3 * limit);
    loop.run_for(limit);
    EXPECT_TRUE(owner.connected);
    EXPECT_EQ(owner.ended, std::nullopt);
    it->close();
    {
        SCOPED_TRACE("a refused one has");
        const reserved_address nobody;
        recording_owner other;
        const auto refused = std::make_shared<channel>(tcp::socket{loop}, other);
        refused->connect(nobody.get(), limit);
        std::this_thread::sleep_for(3 * limit);
        loop.restart();
        loop.run_for(limit);
        EXPECT_FALSE(other.connected);
        EXPECT_EQ(other.ended, channel_end::refused);
    }
}

} // namespace
} // namespace dandelionbay
