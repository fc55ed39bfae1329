#include "dandelionbay/net/cut_answers.hpp"
#include "gateway_fleet.hpp"

namespace dandelionbay::platform {
namespace {

/*! Fields of an endpoint's answers. */
[[nodiscard]] std::string fields_for(const http_request& request) {
    return concat("Dandelionbay-Request-Id: ", find_field(request.fields, "Dandelionbay-Request-Id"),
                  "\r\nDandelionbay-Response-Seal: s\r\n");
}

// Guards against a success that a caller gets for an answer that was cut in its head, in a chunk's size or extension,
// in a trailer or after an interim answer.
TEST_F(gateway_fleet, an_answer_that_is_cut_in_its_head_is_no_success) {
    constexpr std::size_t step = 7; // The reader's test tries all positions.
    const auto count = cut_answers(concat(fields_for({}), "r100000")).size();
    const std::vector<std::pair<std::string, scripted_endpoint*>> calls_to{
        {"/book/", &desk_1}, {"/look/", &desk_1}, {"/chat/once/", &engine_1}};
    for (const auto& [path, endpoint] : calls_to) {
        for (const bool reset : {false, true}) {
            SCOPED_TRACE(concat(path, reset ? " ended by a reset" : " closed in order"));
            for (std::size_t n = reset ? 3 : 0; n < count; n += step) {
                // It may still write when the caller has its answer, and may not use what is this loop's then.
                endpoint->then([n, reset](const http_request& request, raw_server::connection& to) {
                    const auto all = cut_answers(fields_for(request));
                    to.write(all[std::min(n, all.size() - 1)]);
                    reset ? to.reset() : to.close();
                });
                const auto target = concat(path, "cut-", n);
                const auto answer = gateway->post(target);
                EXPECT_FALSE(calls(*endpoint, target).empty()) << answer;
                const bool repeated = path == "/look/" && answer.ends_with("\r\n\r\n" + desk_1.id());
                EXPECT_TRUE(repeated || answer.find("HTTP/1.1 2") == std::string::npos) << "cut " << n << ":\n"
                                                                                        << answer;
            }
        }
    }
    {
        SCOPED_TRACE("a length that was cut to another one, with as many bytes, can't be told from a whole answer");
        desk_1.then([](const http_request& request, raw_server::connection& to) {
            to.write(concat("HTTP/1.1 200 OK\r\n", fields_for(request), "Content-Length: 1\r\n\r\n{"));
            to.close();
        });
        EXPECT_TRUE(gateway->post("/book/short").ends_with("\r\n\r\n{"));
    }
    EXPECT_TRUE(gateway->post("/book/whole").starts_with("HTTP/1.1 200 "));
}

// Guards against endpoints that a gateway forgets because it took a cut answer of the store for a whole one, and
// against a gateway that does not read on afterwards.
TEST_F(gateway_fleet, cut_answers_of_the_store_change_nothing) {
    for (const bool reset : {false, true}) {
        SCOPED_TRACE(reset ? "ended by a reset" : "closed in order");
        const auto before = store.cut();
        store.cut_answers(reset ? standin_store::cutting::reset : standin_store::cutting::close);
        EXPECT_TRUE(eventually([&] { return store.cut() >= before + 6; }));
        EXPECT_TRUE(gateway->get("/look/cut").starts_with("HTTP/1.1 200 "));
        EXPECT_TRUE(gateway->post("/chat/once/cut").starts_with("HTTP/1.1 200 "));
        store.cut_answers(standin_store::cutting::none);
    }
    store.remove("servers", desk_1.id());
    store.put("servers", desk_2.id(), desk_2.entry("desk"));
    EXPECT_TRUE(eventually([&] { return gateway->get("/look/after").ends_with("\r\n\r\n" + desk_2.id()); }));
}

} // namespace
} // namespace dandelionbay::platform
