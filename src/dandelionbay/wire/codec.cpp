#include "dandelionbay/wire/codec.hpp"

#include <algorithm>
#include <span>
#include <type_traits>
#include <utility>

#include <msgpack.hpp>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"
#include "dandelionbay/wire/pack.hpp"
#include "dandelionbay/wire/unpack.hpp"

namespace dandelionbay {

namespace {

using namespace internal;

// Bounds the memory that a short frame with large array headers can demand. 1,000 teams in 5 pools with 10 routers
// have 50,000 ledger rows.
constexpr std::size_t max_elements = 65'536;

// Nesting of the deepest message: frame, body, list, row, id.
constexpr std::size_t max_depth = 8;

// Received bytes are moved to the front of the buffer when at least this many were consumed.
constexpr std::size_t compact_bytes = std::size_t{64} << 10U;

// A message has fewer than 15 members, so that the array of its type and members has a header of one byte.
constexpr unsigned char array_header = 0x90U;
constexpr std::size_t most_members = 15;

// Chunk that continues an answer; see internal::chunk_streams.
constexpr std::size_t continuation_type = std::variant_size_v<message>;

// Only the first message carries the protocol version; a link accepts no other message before it.
constexpr std::size_t hello_type = 0;
static_assert(std::is_same_v<std::variant_alternative_t<hello_type, message>, hello>);

// Bits of a length in each byte of its field; the highest bit says that another byte follows.
constexpr unsigned length_bits = 7;
constexpr unsigned char length_more = 0x80U;

template<std::size_t Type = 0>
message unpack_body(std::size_t type, std::span<const msgpack::object> items, const frame_context& link) {
    if constexpr (Type == std::variant_size_v<message>) {
        throw malformed{"unknown message type"};
    } else {
        if (type != Type) {
            return unpack_body<Type + 1>(type, items, link);
        }
        std::variant_alternative_t<Type, message> body;
        unpack_members(items, body, link);
        return body;
    }
}

bool reference_all(msgpack::type::object_type /*type*/, std::size_t /*size*/, void* /*user*/) {
    return true;
}

// Number of the answer, data and the tokens unless there is one.
chunk unpack_continuation(std::span<const msgpack::object> items, const frame_context& link,
                          const chunk_streams& streams) {
    if (items.size() != 2 && items.size() != 3) {
        throw malformed{"wrong number of fields"};
    }
    const auto* const stream = streams.at(integer<std::size_t>(items[0]));
    if (stream == nullptr) {
        throw malformed{"chunk continues an unknown answer"};
    }
    chunk piece{.id = stream->id, .offset = stream->offset, .output_tokens = 1};
    unpack(items[1], piece.data, link);
    if (items.size() == 3) {
        unpack(items[2], piece.output_tokens, link);
    }
    return piece;
}

message decode(std::string_view frame, const link_context& link, const chunk_streams& streams, name_table& names) {
    const msgpack::unpack_limit limits{max_elements, 0, max_frame_bytes, name_table::longest, 0, max_depth};
    std::size_t end = 0;
    bool referenced = false;
    const auto handle = msgpack::unpack(frame.data(), frame.size(), end, referenced, &reference_all, nullptr, limits);
    if (end != frame.size()) {
        throw malformed{"bytes after the frame's array"};
    }
    auto items = elements(handle.get());
    if (items.empty()) {
        throw malformed{"wrong number of fields"};
    }
    const auto type = integer<std::size_t>(items[0]);
    items = items.subspan(1);
    if (type == hello_type) {
        // Before the other fields, whose number may differ in another version.
        if (items.empty()) {
            throw malformed{"wrong number of fields"};
        }
        if (const auto version = integer<std::uint32_t>(items[0]); version != protocol_version) {
            throw absl::FailedPreconditionError(
                absl::StrCat("protocol version ", version, ", expected ", protocol_version));
        }
        items = items.subspan(1);
    }
    const frame_context context{link.sender, link.receiver, type == hello_type ? nullptr : &names};
    if (type == continuation_type) {
        return unpack_continuation(items, context, streams);
    }
    return unpack_body(type, items, context);
}

std::size_t size_of(const std::vector<header_field>& headers) noexcept {
    std::size_t sum = 0;
    for (const auto& it : headers) {
        sum += it.name.size() + it.value.size();
    }
    return sum;
}

absl::StatusOr<std::string> framed(const msgpack::sbuffer& buf) {
    if (buf.size() > max_frame_bytes) {
        return absl::InvalidArgumentError(absl::StrCat("frame of ", buf.size(), " bytes, at most ", max_frame_bytes));
    }
    std::string frame;
    frame.reserve(max_length_bytes + buf.size());
    auto rest = buf.size();
    for (; rest >= length_more; rest >>= length_bits) {
        frame += static_cast<char>((rest & (length_more - 1U)) | length_more);
    }
    frame += static_cast<char>(rest);
    frame.append(buf.data(), buf.size());
    return frame;
}

template<typename Packer>
void pack_body(Packer& out, const message& body, const link_context& link, name_table* names) {
    std::visit(
        [&](const auto& it) {
            constexpr auto members = std::tuple_size_v<decltype(internal::fields(it))>;
            static_assert(members + 2 <= most_members, "the array's header has one byte");
            constexpr bool first = std::is_same_v<std::decay_t<decltype(it)>, hello>;
            out.pack_array(static_cast<std::uint32_t>(members + (first ? 2 : 1)));
            out.pack(static_cast<std::uint32_t>(body.index()));
            if constexpr (first) {
                out.pack(protocol_version);
            }
            pack_members(out, it, frame_context{link.sender, link.receiver, first ? nullptr : names});
        },
        body);
}

absl::StatusOr<std::string> encode_body(const message& body, const link_context& link, name_table* names) {
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> out{buf};
    pack_body(out, body, link, names);
    return framed(buf);
}

} // namespace

namespace internal {

std::optional<std::size_t> chunk_streams::find(const chunk& piece) const noexcept {
    const auto it = std::ranges::find_if(
        streams_, [&](const stream& known) { return known.offset == piece.offset && known.id == piece.id; });
    if (it == streams_.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - streams_.begin());
}

const chunk_streams::stream* chunk_streams::at(std::size_t number) const noexcept {
    return number < streams_.size() ? &streams_[number] : nullptr;
}

void chunk_streams::note(const chunk& piece) {
    const auto offset = piece.offset + piece.data.size();
    // Compares the sequence first: the ids of a link mostly differ there only.
    const auto it = std::ranges::find_if(
        streams_, [&](const stream& known) { return known.id.sequence == piece.id.sequence && known.id == piece.id; });
    if (it != streams_.end()) {
        it->offset = offset;
    } else if (streams_.size() < most) {
        streams_.push_back({piece.id, offset});
    } else {
        streams_[next_] = {piece.id, offset};
        next_ = (next_ + 1) % most;
    }
}

} // namespace internal

absl::StatusOr<std::string> encode_frame(const message& body, const link_context& link) {
    return encode_body(body, link, nullptr);
}

absl::StatusOr<std::string> frame_encoder::encode(const message& body) {
    const auto known = names_.size();
    const auto* const piece = std::get_if<chunk>(&body);
    const auto number = piece != nullptr ? streams_.find(*piece) : std::nullopt;
    absl::StatusOr<std::string> frame;
    if (number.has_value()) {
        msgpack::sbuffer buf;
        msgpack::packer<msgpack::sbuffer> out{buf};
        const bool one_token = piece->output_tokens == 1;
        out.pack_array(one_token ? 3 : 4);
        out.pack(static_cast<std::uint32_t>(continuation_type));
        out.pack(static_cast<std::uint32_t>(*number));
        pack(out, piece->data, frame_context{link_.sender, link_.receiver, nullptr});
        if (!one_token) {
            out.pack(piece->output_tokens);
        }
        frame = framed(buf);
    } else {
        frame = encode_body(body, link_, &names_);
    }
    if (!frame.ok()) {
        // A frame that is too long is not sent, so the receiver notes neither its names nor its answer.
        names_.truncate(known);
    } else if (piece != nullptr) {
        streams_.note(*piece);
    }
    return frame;
}

std::size_t frame_sizer::add(const message& body) {
    byte_counter count;
    msgpack::packer<byte_counter> out{count};
    pack_body(out, body, link_, &names_);
    auto size = count.size + 1;
    for (auto rest = count.size; rest >= length_more; rest >>= length_bits) {
        ++size;
    }
    return size;
}

std::size_t payload_bytes(const message& body) noexcept {
    if (const auto* work = std::get_if<submit>(&body)) {
        const auto& it = work->request;
        return it.method.size() + it.path.size() + it.body.size() + size_of(it.headers);
    }
    if (const auto* start = std::get_if<head>(&body)) {
        return size_of(start->headers);
    }
    const auto* piece = std::get_if<chunk>(&body);
    return piece != nullptr ? piece->data.size() : 0;
}

void frame_decoder::feed(std::string_view data) {
    if (offset_ >= compact_bytes || offset_ == buffer_.size()) {
        buffer_.erase(0, offset_);
        offset_ = 0;
    }
    buffer_.append(data);
}

void frame_decoder::check_start(std::size_t at) const {
    // Bytes of another protocol are refused as soon as they arrive; their supposed length may never be reached.
    if (at < buffer_.size()) {
        const auto header = static_cast<unsigned char>(buffer_[at]);
        if (header <= array_header || header > (array_header | most_members)) {
            throw malformed{"array of a message expected"};
        }
    }
    if (at + 1 < buffer_.size() && static_cast<unsigned char>(buffer_[at + 1]) > continuation_type) {
        throw malformed{"unknown message type"};
    }
}

absl::StatusOr<std::optional<decoded_frame>> frame_decoder::next() {
    std::size_t size = 0;
    std::size_t length = 0;
    bool more = true;
    while (more && length < max_length_bytes) {
        if (length == buffered()) {
            return std::nullopt;
        }
        const auto byte = static_cast<unsigned char>(buffer_[offset_ + length]);
        size |= std::size_t{byte & (length_more - 1U)} << (length_bits * length);
        more = (byte & length_more) != 0;
        ++length;
        if (!more && byte == 0) {
            return absl::InvalidArgumentError("malformed frame: empty or with a length field that is too long");
        }
    }
    if (more || size > max_frame_bytes) {
        return absl::InvalidArgumentError(absl::StrCat("frame of ", size, " bytes or more, at most ", max_frame_bytes));
    }
    try {
        check_start(offset_ + length);
        if (buffered() < length + size) {
            return std::nullopt;
        }
        const auto frame = std::string_view{buffer_}.substr(offset_ + length, size);
        offset_ += length + size;
        decoded_frame item{decode(frame, link_, streams_, names_), length + size};
        if (const auto* const piece = std::get_if<chunk>(&item.body)) {
            streams_.note(*piece);
        }
        return item;
    } catch (const malformed& error) {
        return absl::InvalidArgumentError(absl::StrCat("malformed frame: ", error.reason));
    } catch (const absl::Status& status) {
        return status;
    } catch (const msgpack::unpack_error& error) {
        return absl::InvalidArgumentError(absl::StrCat("malformed frame: ", error.what()));
    }
}

} // namespace dandelionbay
