#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include <httplib.h>

namespace dandelionbay {
namespace {

/*!
 * @brief Serves one chunked answer before `main`, on one thread at a time.
 *
 * The HTTP library is not built with the thread sanitizer. Its function-local statics, such as the end marker of
 * chunked bodies, are initialised by the first answer; the sanitizer sees that write, but not the check of the guard by
 * which other threads are ordered after it, and reports a race. All other threads of the program start after this
 * answer. Only builds with the thread sanitizer contain this file: in the test program, and in the program whose
 * processes the tests start.
 */
[[nodiscard]] bool serve_one_answer() {
    httplib::Server server;
    server.Get("/", [](const httplib::Request& /*request*/, httplib::Response& response) {
        response.set_chunked_content_provider("text/plain", [](std::size_t /*offset*/, httplib::DataSink& sink) {
            sink.write("a", 1);
            sink.done();
            return true;
        });
    });
    const auto port = server.bind_to_any_port("127.0.0.1");
    std::thread serving{[&server] { server.listen_after_bind(); }};
    const auto answer = httplib::Client{"127.0.0.1", port}.Get("/");
    server.stop();
    serving.join();
    return answer && answer->body == "a";
}

[[maybe_unused]] const bool started = [] {
    if (!serve_one_answer()) {
        std::fputs("the first answer of the HTTP library failed\n", stderr);
        std::abort();
    }
    return true;
}();

} // namespace
} // namespace dandelionbay
