#include <thread>

#include <gtest/gtest.h>
#include <httplib.h>

namespace dandelionbay {
namespace {

/*!
 * @brief Serves one chunked answer before the first test, on one thread at a time.
 *
 * The HTTP library is not built with the thread sanitizer. Its function-local statics, such as the end marker of
 * chunked bodies, are initialised by the first answer; the sanitizer sees that write, but not the check of the guard by
 * which other threads are ordered after it, and reports a race. After this answer all threads of the tests start later.
 */
class library_start final : public testing::Environment {
public:
    void SetUp() override {
#if defined(__SANITIZE_THREAD__)
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
        ASSERT_TRUE(answer && answer->body == "a");
#endif
    }
};

// GoogleTest owns the environment.
[[maybe_unused]] const auto* const registered = testing::AddGlobalTestEnvironment(new library_start); // NOLINT

} // namespace
} // namespace dandelionbay
