#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "dandelionbay/base/socket_address.hpp"
#include "dandelionbay/proxy/channel.hpp"
#include "dandelionbay/proxy/http_reader.hpp"

namespace dandelionbay::platform {

/*! @brief Server whose handler writes the bytes of each answer itself; one thread for each connection. */
class raw_server {
    using tcp = boost::asio::ip::tcp;

public:
    /*! @brief One connection, as the handler sees it. */
    class connection {
    public:
        connection(tcp::socket socket, const std::atomic<bool>& dark)
            : socket_{std::move(socket)}, handle_{socket_.native_handle()}, dark_{&dark} {}

        /*! @brief Writes bytes. @return False if the other side has gone. */
        bool write(const std::string& bytes) {
            if (*dark_) {
                return true;
            }
            boost::system::error_code ec;
            boost::asio::write(socket_, boost::asio::buffer(bytes), ec);
            return !ec;
        }

        /*! @brief Ends the connection with a reset. */
        void reset() {
            ended_ = true;
            boost::system::error_code ec;
            socket_.set_option(boost::asio::socket_base::linger{true, 0}, ec);
            socket_.close(ec);
        }

        void close() {
            boost::system::error_code ec;
            socket_.shutdown(tcp::socket::shutdown_both, ec);
        }

        /*! @brief Wakes the thread that reads; to be called by another one. */
        void interrupt() const {
            if (!ended_) {
                shutdown(handle_, SHUT_RDWR);
            }
        }

        /*! @brief Tells whether the other side is still there. */
        [[nodiscard]] bool open() {
            char byte = 0;
            const auto n = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            return n > 0 || (n < 0 && errno == EAGAIN);
        }

        std::size_t read(char* data, std::size_t size) {
            boost::system::error_code ec;
            return socket_.read_some(boost::asio::buffer(data, size), ec);
        }

        /*! @brief Has a thread serve it. */
        template<typename Function>
        void serve(Function function) {
            thread_ = std::thread{[this, function = std::move(function)] {
                function(*this);
                served_ = true;
            }};
        }

        /*! @brief Tells whether its thread has ended its work. */
        [[nodiscard]] bool served() const { return served_; }

        void join() { thread_.join(); }

    private:
        tcp::socket socket_;
        const int handle_;
        const std::atomic<bool>* dark_;
        std::atomic<bool> ended_{};
        std::atomic<bool> served_{};
        std::thread thread_{};
    };

    using handler = std::function<void(const http_request&, connection&)>;

    explicit raw_server(handler serve)
        : serve_{std::move(serve)}, acceptor_{loop_, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}},
          accepting_{[this] { accept(); }} {}
    raw_server(const raw_server&) = delete;
    raw_server(raw_server&&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    raw_server& operator=(raw_server&&) = delete;
    ~raw_server() { stop(); }

    [[nodiscard]] socket_address address() const { return address_; }

    /*! @brief Ends like a killed process: connections break and new ones are refused. From a handler or elsewhere. */
    void crash() {
        const std::scoped_lock lock{mutex_};
        if (stopped_) {
            return;
        }
        shutdown(acceptor_.native_handle(), SHUT_RDWR); // The system refuses connections from here on.
        for (auto& it : connections_) {
            it.interrupt();
        }
    }

    /*! @brief Falls silent like a host without power: connections stay open and nothing comes on them, and new ones are
     *  neither accepted nor refused. From a handler or elsewhere. */
    void go_dark() {
        if (dark_.exchange(true)) {
            return;
        }
        boost::system::error_code ec;
        acceptor_.listen(0, ec);
        last_accepted_.connect(to_tcp_endpoint(address_), ec);
        while (!accept_ended_) {
            std::this_thread::yield();
        }
        never_accepted_.connect(to_tcp_endpoint(address_), ec); // With one that waits the queue is full.
    }

    void stop() {
        if (stopped_.exchange(true)) {
            return;
        }
        boost::system::error_code ec;
        shutdown(acceptor_.native_handle(), SHUT_RDWR); // Wakes the accepting thread.
        accepting_.join();
        {
            const std::scoped_lock lock{mutex_};
            acceptor_.close(ec);
            for (auto& it : connections_) {
                it.interrupt();
            }
        }
        for (auto& it : connections_) { // None is added any more; their handlers may wait for the lock.
            it.join();
        }
    }

private:
    void accept() {
        while (!stopped_) {
            boost::system::error_code ec;
            tcp::socket socket{loop_};
            acceptor_.accept(socket, ec);
            if (ec || stopped_ || dark_) {
                break;
            }
            const std::scoped_lock lock{mutex_};
            drop_served();
            connections_.emplace_back(std::move(socket), dark_).serve([this](connection& it) { serve(it); });
        }
        accept_ended_ = true;
    }

    /*! Joins the threads that have ended, of which the system has room for a limited number. */
    void drop_served() {
        connections_.remove_if([](connection& it) {
            if (!it.served()) {
                return false;
            }
            it.join();
            return true;
        });
    }

    void serve(connection& it) {
        request_reader reader{65'536, 1U << 20U};
        std::array<char, 4'096> buf{};
        while (!stopped_) {
            const auto n = it.read(buf.data(), buf.size());
            if (n == 0) {
                return;
            }
            reader.append({buf.data(), n});
            while (!dark_ && reader.read() == read_result::complete) {
                serve_(reader.take(), it);
            }
        }
    }

    handler serve_;
    boost::asio::io_context loop_{};
    tcp::acceptor acceptor_;
    socket_address address_{"127.0.0.1", acceptor_.local_endpoint().port()};
    std::atomic<bool> stopped_{};
    std::atomic<bool> dark_{};
    std::atomic<bool> accept_ended_{};
    tcp::socket last_accepted_{loop_};
    tcp::socket never_accepted_{loop_};
    std::mutex mutex_{};
    std::list<connection> connections_{};
    std::thread accepting_;
};

} // namespace dandelionbay::platform
