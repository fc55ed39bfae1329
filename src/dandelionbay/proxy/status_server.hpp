#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "absl/status/status.h"
#include "dandelionbay/base/bounded_log.hpp"
#include "dandelionbay/gateway/endpoint_entry.hpp"
#include "dandelionbay/proxy/listener.hpp"

namespace dandelionbay {

/*! @brief Answers GET requests about the process: readiness and metrics. */
class status_server {
    class client;

    void accept(channel::tcp::socket socket);

public:
    /*! @brief Answer to a path. */
    struct page {
        int status{};
        std::string text{};
    };
    using page_source = std::function<page(std::string_view path)>;

    /*! @brief Connections at a time; the balancer and a scraper need one each. */
    static constexpr std::size_t max_clients = 32;

    /*! @brief Creates it. @param loop Event loop. @param log Takes failures. @param source Gives the pages. */
    status_server(boost::asio::io_context& loop, bounded_log& log, page_source source);
    status_server(const status_server&) = delete;
    status_server(status_server&&) = delete;
    status_server& operator=(const status_server&) = delete;
    status_server& operator=(status_server&&) = delete;
    ~status_server();

    /*! @brief Listens. @return Unavailable if the address can't be bound. */
    [[nodiscard]] absl::Status start(const socket_address& listen);

    /*! @brief Ends. */
    void stop();

private:
    page_source source_;
    listener listener_;
    std::set<std::shared_ptr<client>> clients_{};
};

} // namespace dandelionbay
