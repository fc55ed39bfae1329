#include "dandelionbay/wire/codec.hpp"

#include <algorithm>
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
            heartbeat{9, 3, 256, true, 63, 64, 4'064},
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
    return encode_frame(body).value();
}

// Both sides' first messages on a link of the router and agent that the samples name.
const link_context from_router{{.host = host_id{"r1"}, .role = host_role::router, .incarnation = id.incarnation},
                               {.host = host_id{"a1"}, .role = host_role::agent, .incarnation = 7}};
const link_context from_agent{from_router.receiver, from_router.sender};

// Guards against fields that are lost, swapped or cut on the wire, and against frames split by the network.
TEST(codec, every_message_survives_a_byte_by_byte_transfer) {
    ASSERT_EQ(samples().size(), std::variant_size_v<message>);
    for (const auto& link : {link_context{}, from_router, from_agent}) {
        SCOPED_TRACE(link.sender.host.value);
        frame_decoder decoder;
        decoder.set_link(link);
        for (const auto& body : samples()) {
            SCOPED_TRACE(body.index());
            const auto frame = encode_frame(body, link).value();
            for (const char byte : frame.substr(0, frame.size() - 1)) {
                decoder.feed(std::string_view{&byte, 1});
                ASSERT_EQ(decoder.next().value(), std::nullopt);
            }
            decoder.feed(frame.substr(frame.size() - 1));
            EXPECT_EQ(decoder.next().value(), (decoded_frame{body, frame.size()}));
        }
        EXPECT_EQ(decoder.buffered(), 0U);
    }
}

// Guards against an id or a row of another host or of an earlier life that is taken for the link's own.
TEST(codec, names_of_the_link_are_left_out_and_others_are_kept) {
    const auto transfer = [](const message& body, const link_context& link) {
        frame_decoder decoder;
        decoder.set_link(link);
        decoder.feed(encode_frame(body, link).value());
        return decoder.next().value().value().body;
    };
    const auto size = [](const message& body, const link_context& link) {
        return encode_frame(body, link).value().size();
    };
    const request_id earlier{id.router, id.incarnation - 1, id.sequence};
    const request_id other{host_id{"r2"}, id.incarnation, id.sequence};
    for (const auto& link : {from_router, from_agent}) {
        EXPECT_EQ(size(cancel{id}, link), 4U);
        for (const auto& it : {id, earlier, other}) {
            EXPECT_EQ(transfer(cancel{it}, link), message{cancel{it}});
        }
        for (const incarnation_type life : {0, 6, 7, 8}) {
            EXPECT_EQ(transfer(recall{{{life, 5}}}, link), (message{recall{{{life, 5}}}}));
        }
    }
    {
        SCOPED_TRACE("heartbeat: incarnation left out, revision as a difference, also a lower or the highest one");
        auto link = from_agent;
        link.sender.config_revision = 299'300;
        EXPECT_LE(size(heartbeat{7, 299'301, 2'000, false, 63, 63, 3'000}, link), 9U);
        for (const std::uint64_t revision : {0ULL, 299'299ULL, 299'301ULL, ~0ULL}) {
            const message beat{heartbeat{8, revision, 2'016, true, 1, 2, 32}};
            EXPECT_EQ(transfer(beat, link), beat);
        }
    }
    {
        SCOPED_TRACE("ledger: the sender's rows and those that it passes on");
        ledger_rows rows;
        for (const auto& [host, life] : {std::pair{"r1", id.incarnation}, {"r1", 3}, {"r2", id.incarnation}}) {
            rows.rows.push_back({pool_id{"p"}, team_id{"t"}, host_id{host}, life, 2, 0.1, 0.5, 6});
        }
        EXPECT_EQ(transfer(rows, from_router), message{rows});
    }
}

// Guards against a chunk that reaches another answer or another offset: interleaved answers, more than a link
// remembers, repeated and skipped pieces, and a piece that was too long to be sent.
TEST(codec, chunks_of_many_answers_keep_their_id_and_offset) {
    std::mt19937_64 random{20'261'203};
    frame_encoder encoder;
    frame_decoder decoder;
    encoder.set_link(from_agent);
    decoder.set_link(from_agent);
    std::vector<std::uint64_t> offsets(3 * internal::chunk_streams::most);
    for (int round = 0; round < 20'000; ++round) {
        const auto n = random() % (round < 10'000 ? 20 : offsets.size());
        const bool foreign = n % 7 == 0;
        chunk piece{{host_id{foreign ? "r2" : "r1"}, id.incarnation - n % 2, n},
                    offsets[n],
                    std::string(n % 5, 'x'),
                    static_cast<std::uint32_t>(random() % 3)};
        if (random() % 20 == 0) {
            piece.offset = random() % 2 == 0 ? 0 : piece.offset + 10;
        }
        if (random() % 1'000 == 0) {
            EXPECT_FALSE(encoder.encode(chunk{piece.id, piece.offset, std::string(max_frame_bytes, 'x'), 1}).ok());
        }
        offsets[n] = piece.offset + piece.data.size();
        decoder.feed(encoder.encode(piece).value());
        ASSERT_EQ(decoder.next().value().value().body, message{piece});
    }
    {
        SCOPED_TRACE("bytes beside the data: the first piece and the next ones");
        const chunk first{{id.router, id.incarnation, 5'000'000}, 0, "0123456789", 1};
        EXPECT_LE(encoder.encode(first).value().size(), 11U + 10U);
        EXPECT_EQ(encoder.encode(chunk{first.id, 10, "0123456789", 1}).value().size(), 5U + 10U);
    }
    {
        SCOPED_TRACE("an answer that was never begun on this link, a number out of range, wrong fields");
        for (const std::string_view bytes : {"\x04\x93\x11\x01\xa0", "\x05\x93\x11\xcc\x80\xa0", "\x04\x93\x11\xff\xa0",
                                             "\x03\x92\x11\x01", "\x06\x95\x11\x01\xa0\x01\x01"}) {
            frame_decoder fresh;
            fresh.feed(encode_frame(chunk{id, 0, "x", 1}).value());
            ASSERT_TRUE(fresh.next().ok());
            fresh.feed(bytes);
            EXPECT_TRUE(absl::IsInvalidArgument(fresh.next().status()));
        }
    }
}

// Guards against a name that turns into another one or is refused: mixed frames of both sides, more names than a table
// holds, names that are too long for it, frames that are too long to be sent, and sizes that differ from the frames.
TEST(codec, names_have_numbers_on_a_link) {
    for (const auto& link : {link_context{}, from_router, from_agent}) {
        std::mt19937_64 random{20'261'203};
        frame_encoder encoder;
        frame_decoder decoder;
        frame_sizer sizer{link};
        encoder.set_link(link);
        decoder.set_link(link);
        const auto size = [&](const message& body) {
            const auto frame = encoder.encode(body).value();
            decoder.feed(frame);
            EXPECT_EQ(decoder.next().value(), (decoded_frame{body, frame.size()}));
            if (!std::holds_alternative<chunk>(body)) {
                EXPECT_EQ(sizer.add(body), frame.size());
            }
            return frame.size();
        };
        const auto round = [&](std::size_t names) {
            demand wish{pool_id{"p"}, random(), {}, 7.5};
            ledger_rows rows;
            for (int n = 0; n < 8; ++n) {
                const team_id team{"team-" + std::to_string(random() % names)};
                wish.teams.push_back({team, 5, 1.5, 1.0, false});
                rows.rows.push_back({pool_id{"p"}, team, host_id{"r" + std::to_string(n)}, 9, 2, 3.5, 0.5, 6});
            }
            size(wish);
            size(rows);
            size(submit{id, {}, wish.teams[0].team, service_id{"s"}});
            decoder.feed(encode_frame(wish, link).value());
            EXPECT_EQ(decoder.next().value()->body, message{wish});
        };
        for (int n = 0; n < 2; ++n) {
            std::ranges::for_each(samples(), size);
        }
        const message known{demand{pool_id{"p"}, 1, {{team_id{"early"}, 1, 0.0, 0.0, false}}}};
        const auto first = size(known);
        EXPECT_EQ(size(known), first - 6);
        const std::string wide(internal::name_table::longest + 1, 'w');
        EXPECT_EQ(size(demand{pool_id{wide}, 1}), size(demand{pool_id{wide}, 1}));
        const submit too_long{.team = team_id{"unsent"}, .request = {.body = std::string(max_frame_bytes, 'x')}};
        EXPECT_FALSE(encoder.encode(too_long).ok());
        for (int n = 0; n < 1'000; ++n) {
            round(n < 100 ? 20 : 3 * internal::name_table::most);
        }
        const message late{demand{pool_id{"p"}, 1, {{team_id{"late"}, 1, 0.0, 0.0, false}}}};
        EXPECT_EQ(size(late), size(late));
        EXPECT_EQ(size(known), first - 6);
    }
}

// Guards against names of an earlier connection in a new one, whose other side does not know them.
TEST(codec, a_new_link_starts_without_names) {
    const message body{demand{pool_id{"p"}, 4, {{team_id{"t"}, 5, 1.5, 1.0, false}}, 7.5}};
    frame_encoder before;
    const auto first = before.encode(body).value();
    const auto second = before.encode(body).value();
    EXPECT_EQ(frame_encoder{}.encode(body).value(), first);
    frame_decoder after;
    after.feed(second);
    EXPECT_TRUE(absl::IsInvalidArgument(after.next().status()));
}

// Guards against a peer that names something undefined, defines a name twice, or fills the memory with names.
TEST(codec, broken_numbers_of_names_are_refused) {
    // A demand for a pool without teams; the pool is what the case is about.
    const auto demand_for = [](const std::string& pool) {
        const auto body = "\x95\x02" + pool + std::string("\x01\x90\x00", 3);
        return std::string{static_cast<char>(body.size())} + body;
    };
    const auto definition = [](const std::string& name) {
        return "\xc4" + std::string{static_cast<char>(name.size())} + name;
    };
    frame_encoder encoder;
    const auto first = encoder.encode(demand{pool_id{"p"}, 1}).value();
    ASSERT_EQ(first, demand_for(definition("p")));
    const auto status = [&](const std::string& pool) {
        frame_decoder decoder;
        decoder.feed(first + demand_for(pool));
        EXPECT_TRUE(decoder.next().ok());
        return decoder.next().status();
    };
    for (const auto& good : {std::string(1, '\0'), std::string("\xa1p"), definition("q"),
                             definition(std::string(internal::name_table::longest, 'x'))}) {
        EXPECT_TRUE(status(good).ok()) << good;
    }
    for (const auto& bad : {std::string("\x01"), std::string("\xff"),
                            std::string("\xcf\xff\xff\xff\xff\xff\xff\xff\xff"), definition("p"), definition(""),
                            definition(std::string(internal::name_table::longest + 1, 'x')), std::string("\xc0")}) {
        EXPECT_TRUE(absl::IsInvalidArgument(status(bad))) << bad;
    }
    {
        SCOPED_TRACE("hello has no numbers, so that its content does not depend on the table");
        const auto good = frame_of(hello{host_id{"a"}});
        const auto at = good.find("\xa1\x61");
        for (const std::string_view host : {std::string_view{"\x00", 1}, std::string_view{"\xc4\x01\x61"}}) {
            auto bad = std::string{good}.replace(at, 2, host);
            bad[0] = static_cast<char>(bad.size() - 1);
            frame_decoder decoder;
            decoder.feed(first + bad);
            EXPECT_TRUE(decoder.next().ok());
            EXPECT_TRUE(absl::IsInvalidArgument(decoder.next().status()));
        }
    }
    for (const std::size_t length : {std::size_t{5}, internal::name_table::longest}) {
        SCOPED_TRACE("definitions beyond the bound of names or of their bytes");
        frame_decoder decoder;
        std::size_t defined = 0;
        absl::Status last;
        while (last.ok() && defined <= internal::name_table::most) {
            auto name = std::to_string(10'000 + defined);
            name.resize(length, 'x');
            decoder.feed(demand_for(definition(name)));
            last = decoder.next().status();
            defined += last.ok() ? 1 : 0;
        }
        EXPECT_TRUE(absl::IsInvalidArgument(last));
        EXPECT_EQ(defined, std::min(internal::name_table::most, internal::name_table::most_bytes / length));
    }
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
    const auto framed = [](const std::string& body) { return std::string{static_cast<char>(body.size())} + body; };
    const auto good = frame_of(cancel{id});
    {
        SCOPED_TRACE("length over the bound, before any of its bytes arrive");
        EXPECT_TRUE(absl::IsInvalidArgument(refused("\x81\x80\x80\x04")));
        EXPECT_TRUE(absl::IsInvalidArgument(refused("\xff\xff\xff\xff")));
        EXPECT_TRUE(absl::IsInvalidArgument(refused({"\x80\x00", 2})));
        EXPECT_FALSE(encode_frame(config_document{1, std::string(max_frame_bytes, 'x')}).ok());
    }
    {
        SCOPED_TRACE("another protocol, before as many bytes arrive as its first ones seem to announce");
        EXPECT_TRUE(absl::IsInvalidArgument(refused("GET")));
        EXPECT_TRUE(absl::IsInvalidArgument(refused({"\0\0\0\x2a\x95\x01", 6})));
        EXPECT_TRUE(absl::IsInvalidArgument(refused("\x7f\x90")));
        EXPECT_TRUE(absl::IsInvalidArgument(refused("\x7f\x92\x12")));
    }
    {
        SCOPED_TRACE("foreign protocol version, also with another number of fields");
        auto foreign = frame_of(hello{host_id{"a1"}});
        foreign[3] = 99;
        EXPECT_TRUE(absl::IsFailedPrecondition(refused(foreign)));
        EXPECT_TRUE(absl::IsFailedPrecondition(refused(framed({"\x92\x00\x63", 3}))));
        EXPECT_TRUE(absl::IsInvalidArgument(refused(framed({"\x91\x00", 2}))));
    }
    {
        SCOPED_TRACE("unknown type, wrong field count, trailing byte, empty frame, wrong kind");
        auto unknown = good;
        unknown[2] = 99;
        EXPECT_TRUE(absl::IsInvalidArgument(refused(unknown)));
        EXPECT_TRUE(absl::IsInvalidArgument(refused(framed("\x93\x0f\x01\x02"))));
        EXPECT_TRUE(absl::IsInvalidArgument(refused(framed(good.substr(1) + "\x01"))));
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
        const auto bad = encode_frame(rejected{id, {}, static_cast<result_code>(1234)}).value();
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
    for (int round = 0; round < 100'000; ++round) {
        const auto& link = round % 2 == 0 ? from_router : from_agent;
        frame_encoder encoder;
        encoder.set_link(link);
        std::string bytes;
        // The chunks and the repeated messages, so that the short forms of answers and names are mutated too.
        const auto& one = all[random() % all.size()];
        const auto parts = round % 4 < 2 ? std::vector<message>{chunk{id, 0, "ab", 1}, chunk{id, 2, "cd", 2}}
                                         : std::vector{one, all[random() % all.size()], one};
        for (const auto& body : parts) {
            bytes += encoder.encode(body).value();
        }
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
        decoder.set_link(link);
        decoder.feed(bytes);
        for (auto frame = decoder.next(); frame.ok() && frame->has_value(); frame = decoder.next()) {
            ++accepted;
            EXPECT_TRUE(encode_frame((*frame)->body, link).ok());
        }
    }
    EXPECT_GT(accepted, 0);
}

} // namespace
} // namespace dandelionbay
