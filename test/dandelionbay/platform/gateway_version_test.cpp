#include "two_gateways.hpp"

namespace dandelionbay::platform {
namespace {

/*! Two gateways before engines of two versions, which don't continue each other's streams. */
class two_versions : public two_gateways {
protected:
    /*! Names the stream that a caller resumes, and the last event that it has. */
    struct begun_stream {
        std::string id{};
        scripted_endpoint* engine{};

        [[nodiscard]] std::string resume(int last = 3) const {
            return concat("Last-Event-Id: ", last, "\r\nResumes: ", id, "\r\n");
        }
    };

    void add_second_version() {
        store.put("servers", engine_2.id(), engine_2.entry("m", "ready", "v2"));
        std::this_thread::sleep_for(milliseconds{1'200}); // Two readings of the list.
        std::this_thread::sleep_for(stream_version_registry::use_delay);
    }

    /*! Streams until an engine has begun a stream at a gateway. */
    [[nodiscard]] begun_stream begin(const running_gateway& at, scripted_endpoint& engine) {
        static std::atomic<int> last{0};
        for (int n = 0; n < 60; ++n) {
            const auto path = concat("/chat/begin-", ++last);
            static_cast<void>(at.post(path));
            if (const auto begun = calls(engine, path); !begun.empty()) {
                return {std::string{find_field(begun.front().fields, "Dandelionbay-Request-Id")}, &engine};
            }
        }
        ADD_FAILURE() << "no stream began at " << engine.id();
        return {};
    }

    void restart_all(const std::function<void()>& meanwhile) {
        gateway.reset();
        other.reset();
        meanwhile();
        start_gateway();
    }

    /*! Requests that went on with a stream at an engine. */
    [[nodiscard]] static std::size_t resumed(scripted_endpoint& at) {
        auto out = at.requests();
        std::erase_if(out, [](const auto& it) { return find_field(it.fields, "Last-Event-Id").empty(); });
        return out.size();
    }

    /*! A call for a stream that has to be refused as not run, at once. */
    void expect_refused(const running_gateway& at, const begun_stream& stream, const std::string& code) {
        const auto before = resumed(engine_1) + resumed(engine_2);
        const auto began = std::chrono::steady_clock::now();
        const auto answer = at.post("/chat/resume", stream.resume());
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
        EXPECT_NE(answer.find(code), std::string::npos) << answer;
        EXPECT_LT(std::chrono::steady_clock::now() - began, milliseconds{500});
        EXPECT_EQ(resumed(engine_1) + resumed(engine_2), before);
    }

    void expect_resumed(const running_gateway& at, const begun_stream& stream) {
        const auto before = resumed(*stream.engine);
        const auto answer = at.post("/chat/resume", stream.resume());
        EXPECT_TRUE(answer.ends_with(chunk(event(4)) + chunk(event(5)) + chunk(event(6)) + "0\r\n\r\n")) << answer;
        EXPECT_EQ(resumed(*stream.engine), before + 1);
    }
};

// Guards against the pattern "an endpoint breaks off a stream while a service is being updated": the answer went on at
// an endpoint of another version, and its text was joined from both (ORDER).
TEST_F(two_versions, an_answer_goes_on_only_at_the_version_that_began_it) {
    add_second_version();
    for (auto* const it : {&engine_1, &engine_2}) {
        it->otherwise([it](const http_request& request, raw_server::connection& to) {
            const auto after = find_field(request.fields, "Last-Event-Id");
            const int first = after.empty() ? 1 : std::stoi(std::string{after}) + 1;
            const bool breaks = first == 1;
            scripted_endpoint::stream(request, to, 1, 0, false);
            for (int n = first; n <= (breaks ? 2 : 6); ++n) {
                to.write(chunk(concat("id: ", n, "\ndata: ", it->id(), "\n\n")));
            }
            if (breaks) {
                std::this_thread::sleep_for(milliseconds{20}); // A reset drops what was not read yet.
                to.reset();
            } else {
                to.write("0\r\n\r\n");
            }
        });
    }
    for (int n = 0; n < 8; ++n) {
        const auto answer = gateway->post(concat("/chat/break-", n));
        const bool has_first = answer.find("data: engine-1") != std::string::npos;
        const bool has_second = answer.find("data: engine-2") != std::string::npos;
        EXPECT_NE(has_first, has_second) << answer;
    }
}

// Guards against the pattern "a caller takes a broken stream up": its next attempt went to any endpoint, and the caller
// got the rest from another version (ORDER).
TEST_F(two_versions, a_caller_resumes_a_stream_only_at_the_version_that_began_it) {
    add_second_version();
    start_other();
    ASSERT_TRUE(eventually([&] { return other->ready(); }));
    for (auto* const engine : {&engine_1, &engine_2}) {
        const auto stream = begin(*gateway, *engine);
        for (int n = 0; n < 4; ++n) {
            SCOPED_TRACE("at the same router");
            expect_resumed(*gateway, stream);
        }
        std::this_thread::sleep_for(milliseconds{300}); // Several messages between routers.
        for (int n = 0; n < 4; ++n) {
            SCOPED_TRACE("at another router");
            expect_resumed(*other, stream);
        }
    }
    {
        SCOPED_TRACE("once its version has left, the stream begins anew");
        const auto stream = begin(*gateway, engine_1);
        std::this_thread::sleep_for(milliseconds{300});
        store.remove("servers", engine_1.id());
        std::this_thread::sleep_for(milliseconds{1'200});
        expect_refused(*gateway, stream, "stream_version_gone");
        expect_refused(*other, stream, "stream_version_gone");
    }
}

// Guards against the pattern "all routers are killed while two versions serve, or just after the old one has left": a
// router that has just started can't know where a stream began, and went on at any version (ORDER).
TEST_F(two_versions, a_stream_of_which_nothing_is_known_is_not_resumed) {
    add_second_version();
    const auto old_stream = begin(*gateway, engine_1);
    const auto new_stream = begin(*gateway, engine_2);
    {
        SCOPED_TRACE("while both versions serve");
        restart_all([] {});
        expect_refused(*gateway, old_stream, "stream_version_unknown");
        expect_refused(*gateway, new_stream, "stream_version_unknown");
    }
    {
        SCOPED_TRACE("after the old version has left");
        restart_all([&] { store.remove("servers", engine_1.id()); });
        expect_refused(*gateway, old_stream, "stream_version_unknown");
    }
    {
        SCOPED_TRACE("new streams are served");
        EXPECT_TRUE(gateway->post("/chat/new").ends_with("0\r\n\r\n"));
    }
}

// Guards against the same pattern where the only version is replaced while no router runs.
TEST_F(two_versions, a_stream_is_not_resumed_if_its_version_was_replaced_meanwhile) {
    const auto stream = begin(*gateway, engine_1);
    std::this_thread::sleep_for(milliseconds{1'500}); // The versions are written.
    restart_all([&] {
        store.remove("servers", engine_1.id());
        store.put("servers", engine_2.id(), engine_2.entry("m", "ready", "v2"));
    });
    expect_refused(*gateway, stream, "stream_version_unknown");
}

// Guards against streams that are refused although only one version serves, as on usual days (LOST).
TEST_F(two_versions, streams_of_a_single_version_are_resumed_by_any_router) {
    const auto stream = begin(*gateway, engine_1);
    std::this_thread::sleep_for(milliseconds{1'500});
    restart_all([] {});
    expect_resumed(*gateway, stream);
    store.set_down(true);
    std::this_thread::sleep_for(seconds{2});
    expect_resumed(*gateway, stream);
}

} // namespace
} // namespace dandelionbay::platform
