#pragma once

#include <httplib.h>

#include <functional>
#include <string>

namespace dandelionbay {

/**
 * @brief Client of the HTTP library whose calls succeed only if the answer's framing is complete and valid.
 *
 * Version 0.11.4 of the library ends a chunked body without an error where no line end follows a chunk, and takes the
 * digits of a malformed length, or zero if there are none. It reports no error code for a call that fails here.
 */
class framed_client final : public httplib::ClientImpl {
    bool process_socket(const Socket& socket, std::function<bool(httplib::Stream&)> callback) override;

public:
    /*! @brief Creates a client. @param host Name or address of the server. @param port Its port. */
    framed_client(const std::string& host, int port) : ClientImpl{host, port} {}
};

} // namespace dandelionbay
