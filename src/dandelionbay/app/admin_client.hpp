#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "dandelionbay/store/host_list.hpp"

namespace dandelionbay::app {

/*! @brief Answer of the administration API, or the failure to get one. */
struct admin_reply {
    int status{};          //!< HTTP status; zero if no answer came.
    std::string etag{};    //!< Quoted revision; empty for none.
    nlohmann::json body{}; //!< Answer; an error object if the call failed.

    /*! @brief Tells whether the call succeeded. */
    [[nodiscard]] bool ok() const noexcept { return status == 200; }

    /*! @brief Revision in the ETag. @return The number; zero without an ETag. */
    [[nodiscard]] std::uint64_t revision() const;
};

/*! @brief Calls the administration API of one router; repeats nothing. */
class admin_client {
public:
    /*! @brief Creates a client. @param server The router. @param token The operators' bearer token. */
    admin_client(socket_address server, std::string token);

    /*! @brief Reads. @param path Path below "/admin/v1/". @return The reply. */
    [[nodiscard]] admin_reply get(const std::string& path) const;

    /**
     * @brief Writes.
     * @param method "PUT", "PATCH" or "DELETE".
     * @param path Path below "/admin/v1/".
     * @param etag Quoted revision that was read.
     * @param body JSON text.
     * @return The reply.
     */
    [[nodiscard]] admin_reply send(const std::string& method, const std::string& path, const std::string& etag,
                                   const std::string& body) const;

private:
    socket_address server_;
    std::string token_;
};

} // namespace dandelionbay::app
