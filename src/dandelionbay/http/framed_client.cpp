#include "dandelionbay/http/framed_client.hpp"

#include <limits>
#include <string_view>
#include <utility>

#include "dandelionbay/proxy/http_reader.hpp"

namespace dandelionbay {

namespace {

/*! @brief Passes one call on to a stream and reads its answer's framing along with the library. */
class framed_stream final : public httplib::Stream {
    /*! The library reads heads byte by byte. */
    static constexpr std::size_t read_together = 16'384;

    void read_on() {
        reader_.append(pending_);
        pending_.clear();
        result_ = reader_.read();
        static_cast<void>(reader_.take_body());
    }

public:
    explicit framed_stream(httplib::Stream& under) : under_{&under} {}

    /*! Tells whether the answer that was read is whole. */
    [[nodiscard]] bool whole() {
        if (!pending_.empty()) {
            read_on();
        }
        return result_ == read_result::complete || (result_ == read_result::incomplete && ended_ && reader_.end());
    }

    bool is_readable() const override { return under_->is_readable(); }
    bool is_writable() const override { return under_->is_writable(); }

    ssize_t read(char* to, std::size_t size) override {
        const auto n = under_->read(to, size);
        ended_ = ended_ || n == 0;
        if (n > 0) {
            pending_.append(to, static_cast<std::size_t>(n));
        }
        if (pending_.size() >= read_together) {
            read_on();
        }
        return n;
    }

    ssize_t write(const char* from, std::size_t size) override {
        if (!std::exchange(sent_, true)) {
            reader_.expect(std::string_view{from, size}.starts_with("HEAD "));
        }
        return under_->write(from, size);
    }

    void get_remote_ip_and_port(std::string& ip, int& port) const override { under_->get_remote_ip_and_port(ip, port); }
    void get_local_ip_and_port(std::string& ip, int& port) const override { under_->get_local_ip_and_port(ip, port); }
    socket_t socket() const override { return under_->socket(); }

private:
    httplib::Stream* under_;
    response_reader reader_{std::numeric_limits<std::uint64_t>::max()}; // Those who keep a body bound it.
    std::string pending_{};
    read_result result_{read_result::incomplete};
    bool sent_{};
    bool ended_{};
};

} // namespace

bool framed_client::process_socket(const Socket& socket, std::function<bool(httplib::Stream&)> callback) {
    return httplib::detail::process_client_socket(socket.sock, read_timeout_sec_, read_timeout_usec_,
                                                  write_timeout_sec_, write_timeout_usec_,
                                                  [&callback](httplib::Stream& under) {
                                                      framed_stream stream{under};
                                                      return callback(stream) && stream.whole();
                                                  });
}

} // namespace dandelionbay
