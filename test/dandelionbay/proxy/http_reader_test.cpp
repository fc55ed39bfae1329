#include <gtest/gtest.h>

#include "dandelionbay/net/cut_answers.hpp"
#include "dandelionbay/proxy/event_scanner.hpp"
#include "dandelionbay/proxy/http_reader.hpp"

namespace dandelionbay {
namespace {

// Guards against request smuggling: requests hidden in the body of another request.
TEST(request_reader, ambiguous_lengths_are_malformed) {
    for (const std::string header :
         {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
          "Content-Length: 5\r\nContent-Length: 6\r\n"}) {
        request_reader reader{16'384, 1'024};
        reader.append("POST /a HTTP/1.1\r\nHost: h\r\n" + header + "\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n");
        EXPECT_EQ(reader.read(), read_result::malformed) << header;
    }
}

// Guards against bodies that are altered, and against requests of one connection that get mixed up.
TEST(request_reader, pipelined_requests_are_read_from_pieces_of_any_size) {
    const std::string bytes = "POST /a?q=1 HTTP/1.1\r\nHost: Name.Example:80\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    for (std::size_t piece = 1; piece <= bytes.size(); piece += 7) {
        request_reader reader{16'384, 1'024};
        std::vector<http_request> out;
        for (std::size_t at = 0; at < bytes.size(); at += piece) {
            reader.append(bytes.substr(at, piece));
            while (reader.read() == read_result::complete) {
                out.push_back(reader.take());
            }
        }
        ASSERT_EQ(out.size(), 2) << piece;
        EXPECT_EQ(out[0].body, "abcde");
        EXPECT_EQ(out[0].host, "name.example");
        EXPECT_EQ(out[0].path(), "/a");
        EXPECT_TRUE(out[0].keep_alive);
        EXPECT_EQ(out[1].target, "/b");
        EXPECT_FALSE(out[1].keep_alive);
    }
}

// Guards against requests that exceed the configured limits.
TEST(request_reader, reports_which_limit_is_exceeded) {
    request_reader header{64, 10};
    header.append("GET / HTTP/1.1\r\nHost: h\r\nLong: " + std::string(100, 'x') + "\r\n\r\n");
    EXPECT_EQ(header.read(), read_result::header_too_long);
    request_reader body{1'024, 10};
    body.append("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
    EXPECT_EQ(body.read(), read_result::body_too_long);
}

// Guards against an endless head of a message, a chunk or a trailer that is buffered until memory is exhausted.
TEST(message_readers, heads_of_messages_chunks_and_trailers_are_bounded) {
    const std::string filler(10'000, 'a');
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string begin : {"2;", "00000000", "2\r\nab\r\n1;", "0\r\nX-A: "}) {
        request_reader caller{16'384, 1'024};
        response_reader endpoint;
        caller.append(request + begin);
        endpoint.append(answer + begin);
        EXPECT_EQ(caller.read(), read_result::incomplete) << begin;
        EXPECT_EQ(endpoint.read(), read_result::incomplete) << begin;
        auto at_caller = read_result::incomplete;
        auto at_endpoint = read_result::incomplete;
        for (int n = 0; n < 10; ++n) {
            caller.append(filler);
            endpoint.append(filler);
            at_caller = caller.read();
            at_endpoint = endpoint.read();
        }
        EXPECT_NE(at_caller, read_result::incomplete) << begin;
        EXPECT_NE(at_endpoint, read_result::incomplete) << begin;
    }
}

// Guards against truncated answers that look complete, and against bytes after an answer that count as the next one.
TEST(response_reader, an_answer_ends_only_by_its_own_framing) {
    {
        SCOPED_TRACE("with a length");
        response_reader reader;
        reader.append("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
        EXPECT_EQ(reader.read(), read_result::incomplete);
        EXPECT_FALSE(reader.end());
    }
    {
        SCOPED_TRACE("in chunks");
        response_reader reader;
        reader.append("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
        EXPECT_EQ(reader.read(), read_result::incomplete);
        EXPECT_EQ(reader.take_head()->status, 200);
        EXPECT_EQ(reader.take_body(), "ab");
        EXPECT_FALSE(reader.end());
    }
    {
        SCOPED_TRACE("by the end of the connection");
        response_reader reader;
        reader.append("HTTP/1.1 200 OK\r\n\r\nab");
        EXPECT_EQ(reader.read(), read_result::incomplete);
        EXPECT_TRUE(reader.end());
        EXPECT_EQ(reader.take_body(), "ab");
    }
    {
        SCOPED_TRACE("an interim answer is skipped, and bytes after an answer stay buffered");
        response_reader reader;
        reader.append(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n");
        EXPECT_EQ(reader.read(), read_result::complete);
        EXPECT_EQ(reader.take_head()->status, 503);
        EXPECT_EQ(reader.take_body(), "x");
        EXPECT_GT(reader.buffered_bytes(), 0);
    }
    {
        SCOPED_TRACE("garbage");
        response_reader reader;
        reader.append("\x01\x02 no answer\r\n\r\n");
        EXPECT_EQ(reader.read(), read_result::malformed);
    }
}

// Guards against bytes that are passed on as an answer though their status is none (MIXED): after a change of the
// protocol, for which no call asks, whatever followed was read as the final answer.
TEST(response_reader, an_impossible_status_is_malformed) {
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    for (const std::string status : {"000", "001", "099", "101"}) {
        for (const std::string rest : {"Content-Length: 0\r\n\r\n", "\r\n", "\r\nab"}) {
            SCOPED_TRACE(status + " " + rest);
            response_reader reader;
            reader.append("HTTP/1.1 " + status + " X\r\n" + rest + answer);
            EXPECT_EQ(reader.read(), read_result::malformed);
            EXPECT_FALSE(reader.end());
        }
    }
}

// Guards against answers that are truncated in their head, in a chunk's size or extension, in a trailer or after an
// interim answer, and count as complete when the connection closes in order.
TEST(response_reader, a_truncated_answer_is_never_complete) {
    const std::string fields = "Content-Type: application/json\r\n";
    for (const auto& whole : whole_answers(fields)) {
        response_reader reader;
        reader.append(whole);
        EXPECT_EQ(reader.read(), read_result::complete) << whole;
    }
    for (const auto& cut : cut_answers(fields)) {
        for (const bool byte_by_byte : {false, true}) {
            response_reader reader;
            auto result = read_result::incomplete;
            for (std::size_t at = 0; at < cut.size() && result == read_result::incomplete;) {
                const auto n = byte_by_byte ? 1 : cut.size();
                reader.append(cut.substr(at, n));
                result = reader.read();
                at += n;
            }
            EXPECT_NE(result, read_result::complete) << cut;
            EXPECT_FALSE(result == read_result::incomplete && reader.end()) << cut;
        }
    }
}

// Guards against hop-by-hop header fields that are forwarded.
TEST(http_message, hop_by_hop_fields_are_removed) {
    field_list fields{{"Connection", "close, X-Mine"},  {"x-mine", "1"},
                      {"Transfer-Encoding", "chunked"}, {"Content-Length", "3"},
                      {"Content-Type", "text/x"},       {"Keep-Alive", "timeout=3"}};
    remove_hop_by_hop_fields(fields);
    EXPECT_EQ(fields, (field_list{{"Content-Type", "text/x"}}));
}

// Guards against partial events that are forwarded, which a resumed stream would repeat or tear.
TEST(event_scanner, returns_only_complete_events) {
    const std::string bytes = "versions: 3\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: none\n\nid: 4\ndata: c";
    for (std::size_t piece = 1; piece < bytes.size(); ++piece) {
        event_scanner scanner;
        std::vector<std::optional<std::uint64_t>> ids;
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += piece) {
            scanner.append(bytes.substr(at, piece));
            while (const auto event = scanner.next()) {
                ids.push_back(event->id);
                text += event->text;
            }
        }
        EXPECT_EQ(ids, (std::vector<std::optional<std::uint64_t>>{1, 2, std::nullopt}));
        EXPECT_EQ(text + scanner.partial_event(), bytes);
    }
}

} // namespace
} // namespace dandelionbay
