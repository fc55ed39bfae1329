#include "dandelionbay/wire/codec.hpp"

#include <cmath>
#include <random>

#include <gtest/gtest.h>

namespace dandelionbay {
namespace {

const request_id id{host_id{"r1"}, 1'700'000'000'000, 42};

std::vector<message> samples() {
    const std::vector<grant_id> grants{{7, 1}, {7, 2}};
    const call request{"POST", "/v1/chat/completions", {{"Accept", "*/*"}}, std::string("\0\xff{}", 4)};
    return {hello{host_id{"a1"}, host_role::agent, region_id{"r"}, zone_id{"z"}, 9, endpoint_id{"e"}, 3},
            heartbeat{9, 3, 250, true},
            demand{pool_id{"p"}, 4, {{team_id{"t"}, 5, 1.5, 1.0, false}, {team_id{"u"}, 1, -0.25, 1e300, true}}, 7.5},
            grant{pool_id{"p"}, grants, 3'000, true, {{pool_id{"p"}, team_id{"t"}, 12.0}}},
            recall{grants},
            returned{grants},
            submit{id, grants[0], team_id{"t"}, service_id{"s"}, true, false, ~0ULL, 1, 120'000, request, {~0ULL, 3}},
            rejected{id, grants[0], result_code::grant_unknown},
            head{id, 200, {{"Content-Type", "text/event-stream"}}},
            chunk{id, 1ULL << 40U, "data: {}\n\n", 1},
            finish{id, result_code::ok, executed::yes, 10, 3, 4},
            cancel{id},
            resume{id, 17, true},
            suspicion{5, {1, ~0ULL}, {2}},
            ledger_rows{{{pool_id{"p"}, team_id{"t"}, host_id{"r1"}, 9, 2, 3.5, 0.5, 6}},
                        {{pool_id{"p"}, team_id{"t"}, 2.5}}},
            config_query{8},
            config_document{8, "{}"}};
}

std::string frame_of(const message& body) {
    return encode_frame(envelope{1, 0, body}).value();
}

// Guards against fields that are lost, swapped or cut on the wire, and against frames split by the network.
TEST(codec, every_message_survives_a_byte_by_byte_transfer) {
    ASSERT_EQ(samples().size(), std::variant_size_v<message>);
    frame_decoder decoder;
    for (const auto& body : samples()) {
        SCOPED_TRACE(body.index());
        const envelope item{~0ULL, 77, body};
        const auto frame = encode_frame(item).value();
        for (const char byte : frame.substr(0, frame.size() - 1)) {
            decoder.feed(std::string_view{&byte, 1});
            ASSERT_EQ(decoder.next().value(), std::nullopt);
        }
        decoder.feed(frame.substr(frame.size() - 1));
        EXPECT_EQ(decoder.next().value(), (decoded_frame{item, frame.size()}));
    }
    EXPECT_EQ(decoder.buffered(), 0U);
}

// Guards against payload that is counted as control traffic, which is billed and limited.
TEST(codec, calls_and_answers_are_payload) {
    const auto all = samples();
    EXPECT_EQ(payload_bytes(all[6]), 4U + 20U + 9U + 4U);
    EXPECT_EQ(payload_bytes(all[8]), 12U + 17U);
    EXPECT_EQ(payload_bytes(all[9]), 10U);
    EXPECT_EQ(payload_bytes(all[0]), 0U);
}

// Guards against a damaged or foreign frame that is accepted, or that demands memory out of proportion.
TEST(codec, bad_frames_are_refused) {
    const auto refused = [](std::string_view bytes) {
        frame_decoder decoder;
        decoder.feed(bytes);
        return decoder.next().status();
    };
    const auto framed = [](const std::string& body) {
        return std::string{'\0', '\0', '\0', static_cast<char>(body.size())} + body;
    };
    const auto good = frame_of(cancel{id});
    {
        SCOPED_TRACE("length over the bound, before any of its bytes arrive");
        EXPECT_TRUE(absl::IsInvalidArgument(refused({"\x00\x80\x00\x01", 4})));
        EXPECT_TRUE(absl::IsInvalidArgument(refused("\xff\xff\xff\xff")));
        EXPECT_FALSE(encode_frame(envelope{1, 0, config_document{1, std::string(max_frame_bytes, 'x')}}).ok());
    }
    {
        SCOPED_TRACE("foreign protocol version");
        auto foreign = good;
        foreign[5] = 2;
        EXPECT_TRUE(absl::IsFailedPrecondition(refused(foreign)));
    }
    {
        SCOPED_TRACE("unknown type, wrong field count, trailing byte, empty frame, wrong kind");
        auto unknown = good;
        unknown[6] = 99;
        EXPECT_TRUE(absl::IsInvalidArgument(refused(unknown)));
        EXPECT_TRUE(
            absl::IsInvalidArgument(refused(framed("\x95\x01\x0f\x01" + std::string(1, '\0') + "\x92\x01\x02"))));
        EXPECT_TRUE(absl::IsInvalidArgument(refused(framed(good.substr(4) + "\x01"))));
        EXPECT_TRUE(absl::IsInvalidArgument(refused(framed(""))));
        EXPECT_TRUE(absl::IsInvalidArgument(refused(framed("\x01"))));
    }
    {
        SCOPED_TRACE("array of 4 billion elements in 5 bytes, and deep nesting");
        EXPECT_TRUE(absl::IsInvalidArgument(refused(framed("\xdd\xff\xff\xff\xff"))));
        EXPECT_TRUE(absl::IsInvalidArgument(refused(framed(std::string(100, '\x91')))));
    }
    {
        SCOPED_TRACE("value out of range of its enumeration");
        const auto bad = encode_frame(envelope{1, 0, rejected{id, {}, static_cast<result_code>(1234)}}).value();
        EXPECT_TRUE(absl::IsInvalidArgument(refused(bad)));
    }
    {
        SCOPED_TRACE("not a number as a counter");
        const auto bad = frame_of(demand{pool_id{"p"}, 1, {{team_id{"t"}, 1, std::nan(""), 0.0, false}}});
        EXPECT_TRUE(absl::IsInvalidArgument(refused(bad)));
    }
}

// Guards against a crash or an endless loop on any bytes: mutates valid frames with a fixed seed.
TEST(codec, random_mutation_never_crashes) {
    std::mt19937_64 random{20'261'203};
    const auto all = samples();
    int accepted = 0;
    for (int round = 0; round < 50'000; ++round) {
        auto bytes = frame_of(all[random() % all.size()]) + frame_of(all[random() % all.size()]);
        for (auto changes = 1 + random() % 4; changes > 0; --changes) {
            const auto at = random() % bytes.size();
            switch (random() % 3) {
            case 0:
                bytes[at] = static_cast<char>(random());
                break;
            case 1:
                bytes.erase(at, 1);
                break;
            default:
                bytes.insert(at, 1, static_cast<char>(random()));
            }
        }
        frame_decoder decoder;
        decoder.feed(bytes);
        for (auto frame = decoder.next(); frame.ok() && frame->has_value(); frame = decoder.next()) {
            ++accepted;
            EXPECT_TRUE(encode_frame((*frame)->item).ok());
        }
    }
    EXPECT_GT(accepted, 0);
}

} // namespace
} // namespace dandelionbay
