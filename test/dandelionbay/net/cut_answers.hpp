#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

/*! Answers that are whole: with a length, in chunks with an extension and a trailer, and after interim answers. */
[[nodiscard]] inline std::vector<std::string> whole_answers(std::string_view fields, bool with_trailer = true) {
    const auto head = concat("HTTP/1.1 200 OK\r\n", fields);
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const auto with_length = concat(head, "Content-Length: 18\r\n\r\n{\"a\": \"012345678\"}");
    const auto in_chunks =
        concat(head, "Transfer-Encoding: chunked\r\n\r\n12;part=\"first\"\r\n{\"a\": \"012345678\"}\r\n1\r\n \r\n0\r\n",
               with_trailer ? "X-Sum: 1\r\n" : "", "\r\n");
    return {with_length, in_chunks, interim + with_length, interim + in_chunks};
}

/*! Those answers, cut after each of their bytes, and some whose cut head or chunk is followed by more. None is whole.
 */
[[nodiscard]] inline std::vector<std::string> cut_answers(std::string_view fields) {
    std::vector<std::string> out;
    for (const auto& whole : whole_answers(fields)) {
        for (std::size_t n = 0; n < whole.size(); ++n) {
            out.push_back(whole.substr(0, n));
        }
    }
    const auto head = concat("HTTP/1.1 200 OK\r\n", fields);
    for (const std::string rest :
         {"Content-Length: \r\n\r\n", "Content-Length: 1x\r\n\r\n{",
          "Transfer-Encoding: chunked\r\n\r\n1\r\n0123\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n1\r\n\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n;part=\"fi\r\n\r\n"}) {
        out.push_back(head + rest);
    }
    return out;
}

} // namespace dandelionbay
