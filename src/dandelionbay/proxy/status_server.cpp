#include "dandelionbay/proxy/status_server.hpp"

#include <utility>

#include "dandelionbay/proxy/http_reader.hpp"

namespace dandelionbay {

namespace {

constexpr std::uint32_t max_header = 8'192;
constexpr std::uint64_t max_body = 1'024;

} // namespace

class status_server::client final : public channel_handler, public std::enable_shared_from_this<client> {
public:
    client(status_server& owner, channel::tcp::socket socket)
        : owner_{&owner}, channel_{std::make_shared<channel>(std::move(socket), *this)} {}
    client(const client&) = delete;
    client(client&&) = delete;
    client& operator=(const client&) = delete;
    client& operator=(client&&) = delete;
    ~client() override {
        if (!channel_->is_finishing()) {
            channel_->close();
        }
    }

    void start() {
        channel_->set_options();
        channel_->open();
    }

    void on_bytes(std::string_view bytes) override {
        const auto self = shared_from_this();
        reader_.append(bytes);
        auto result = reader_.read();
        while (result == read_result::complete) {
            const auto request = reader_.take();
            answer(request);
            if (!request.keep_alive) {
                finish();
                return;
            }
            result = reader_.read();
        }
        if (result != read_result::incomplete) {
            finish();
        }
    }

    void on_end(channel_close_reason end) override {
        static_cast<void>(end);
        owner_->clients_.erase(shared_from_this());
    }

private:
    void answer(const http_request& request) {
        const auto page = owner_->source_(request.path());
        response_head head;
        head.status = page.status;
        head.fields = {{"Content-Type", "text/plain; version=0.0.4"},
                       {"Content-Length", std::to_string(page.text.size())}};
        channel_->write(write_head(head) + page.text);
    }

    void finish() {
        channel_->finish();
        owner_->clients_.erase(shared_from_this());
    }

    status_server* owner_;
    std::shared_ptr<channel> channel_;
    request_reader reader_{max_header, max_body};
};

status_server::status_server(boost::asio::io_context& loop, bounded_log& log, page_source source)
    : source_{std::move(source)}, listener_{loop, log} {}

status_server::~status_server() = default;

absl::Status status_server::start(const socket_address& listen) {
    return listener_.start(listen, [this](channel::tcp::socket it) { accept(std::move(it)); });
}

void status_server::accept(channel::tcp::socket socket) {
    if (clients_.size() < max_clients) {
        const auto it = std::make_shared<client>(*this, std::move(socket));
        clients_.insert(it);
        it->start();
    }
}

void status_server::stop() {
    listener_.stop();
    clients_.clear();
}

} // namespace dandelionbay
