#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "dandelionbay/http/fwd.hpp"
#include "dandelionbay/store/host_list.hpp"

namespace httplib {
struct Request;
} // namespace httplib

namespace dandelionbay::internal {

/*! @brief HTTP status of an answer to a conditional read of what the caller has. */
inline constexpr int not_modified = 304;

/*! @brief Answer of the platform. */
struct http_answer {
    int status{};
    std::string etag{};
    std::string body{};
};

/**
 * @brief Calls of one HTTP server with a time limit; safe for use by several threads.
 *
 * Connections are kept between calls. Any error closes all of them: a connection may be silent for good while new
 * ones work.
 */
class http_caller {
    struct kept_connection {
        std::unique_ptr<framed_client> client;
        std::chrono::steady_clock::time_point since;
    };

    [[nodiscard]] std::unique_ptr<framed_client> take();
    void keep(std::unique_ptr<framed_client> client);
    void forget_all();

public:
    /**
     * @brief Creates a caller without connections.
     * @param server Address. @param time_limit Longest time until a silent server counts as failed.
     */
    http_caller(socket_address server, std::chrono::milliseconds time_limit);
    http_caller(const http_caller&) = delete;
    http_caller(http_caller&&) = delete;
    http_caller& operator=(const http_caller&) = delete;
    http_caller& operator=(http_caller&&) = delete;
    ~http_caller();

    /*! @brief Performs a call. @return The answer, whatever its status; Unavailable or DeadlineExceeded without one. */
    [[nodiscard]] absl::StatusOr<http_answer> call(httplib::Request& request);

    /**
     * @brief Reads a resource.
     * @param path Encoded path. @param known ETag of what the caller has; empty for none.
     * @return The answer, with status 304 only if an ETag was given; else the errors of call() and error_of().
     */
    [[nodiscard]] absl::StatusOr<http_answer> get(const std::string& path, const std::string& known = {});

private:
    const socket_address server_;
    const std::chrono::milliseconds time_limit_;
    std::mutex mutex_;
    std::vector<kept_connection> kept_;
};

/*! @brief Error for a status other than success. @param answer The answer. @return The status of table_store. */
[[nodiscard]] absl::Status error_of(const http_answer& answer);

} // namespace dandelionbay::internal
