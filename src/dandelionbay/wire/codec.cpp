#include "dandelionbay/wire/codec.hpp"

#include <algorithm>
#include <cmath>
#include <concepts>
#include <limits>
#include <span>
#include <type_traits>
#include <utility>

#include <msgpack.hpp>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"
#include "dandelionbay/wire/fields.hpp"

namespace dandelionbay {

namespace {

// Bounds the memory that a short frame with large array headers can demand. 1,000 teams in 5 pools with 10 routers
// have 50,000 ledger rows.
constexpr std::size_t max_elements = 65'536;

// Nesting of the deepest message: frame, body, list, row, id.
constexpr std::size_t max_depth = 8;

// Received bytes are moved to the front of the buffer when at least this many were consumed.
constexpr std::size_t compact_bytes = std::size_t{64} << 10U;

using packer = msgpack::packer<msgpack::sbuffer>;

struct malformed {
    const char* reason;
};

template<typename Type>
constexpr bool is_vector = false;
template<typename Item>
constexpr bool is_vector<std::vector<Item>> = true;

template<typename Type>
constexpr bool is_name = false;
template<typename Tag>
constexpr bool is_name<named_id<Tag>> = true;

void check_enum(host_role value) {
    if (value > host_role::agent) {
        throw malformed{"unknown host role"};
    }
}

void check_enum(executed value) {
    if (value > executed::unknown) {
        throw malformed{"unknown execution state"};
    }
}

void check_enum(result_code value) {
    if (describe(value).code != value) {
        throw malformed{"unknown result code"};
    }
}

template<typename Type>
void pack(packer& out, const Type& value) {
    if constexpr (std::is_same_v<Type, bool> || std::is_arithmetic_v<Type>) {
        out.pack(value);
    } else if constexpr (std::is_enum_v<Type>) {
        out.pack(static_cast<std::underlying_type_t<Type>>(value));
    } else if constexpr (std::is_same_v<Type, std::string>) {
        // A length over 32 bits is cut here; the check of the frame's size refuses it afterwards.
        out.pack_bin(static_cast<std::uint32_t>(value.size()));
        out.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
    } else if constexpr (is_name<Type>) {
        pack(out, value.value);
    } else if constexpr (is_vector<Type>) {
        out.pack_array(static_cast<std::uint32_t>(value.size()));
        for (const auto& it : value) {
            pack(out, it);
        }
    } else {
        const auto members = internal::fields(value);
        out.pack_array(std::tuple_size_v<decltype(members)>);
        std::apply([&](const auto&... it) { (pack(out, it), ...); }, members);
    }
}

// Every access to the library's union follows a check of its tag.
// NOLINTBEGIN(cppcoreguidelines-pro-type-union-access)

std::span<const msgpack::object> elements(const msgpack::object& from) {
    if (from.type != msgpack::type::ARRAY) {
        throw malformed{"array expected"};
    }
    return {from.via.array.ptr, from.via.array.size};
}

template<std::integral Type>
Type integer(const msgpack::object& from) {
    if (from.type == msgpack::type::POSITIVE_INTEGER && std::in_range<Type>(from.via.u64)) {
        return static_cast<Type>(from.via.u64);
    }
    if (from.type == msgpack::type::NEGATIVE_INTEGER && std::in_range<Type>(from.via.i64)) {
        return static_cast<Type>(from.via.i64);
    }
    throw malformed{"integer in range expected"};
}

template<typename Type>
void unpack(const msgpack::object& from, Type& value) {
    if constexpr (std::is_same_v<Type, bool>) {
        if (from.type != msgpack::type::BOOLEAN) {
            throw malformed{"boolean expected"};
        }
        value = from.via.boolean;
    } else if constexpr (std::is_integral_v<Type>) {
        value = integer<Type>(from);
    } else if constexpr (std::is_floating_point_v<Type>) {
        // The library packs whole numbers as integers.
        if (from.type == msgpack::type::POSITIVE_INTEGER) {
            value = static_cast<Type>(from.via.u64);
        } else if (from.type == msgpack::type::NEGATIVE_INTEGER) {
            value = static_cast<Type>(from.via.i64);
        } else if ((from.type == msgpack::type::FLOAT64 || from.type == msgpack::type::FLOAT32) &&
                   std::isfinite(from.via.f64)) {
            value = from.via.f64;
        } else {
            throw malformed{"finite number expected"};
        }
    } else if constexpr (std::is_enum_v<Type>) {
        value = static_cast<Type>(integer<std::underlying_type_t<Type>>(from));
        check_enum(value);
    } else if constexpr (std::is_same_v<Type, std::string>) {
        if (from.type != msgpack::type::BIN) {
            throw malformed{"bytes expected"};
        }
        value.assign(from.via.bin.ptr, from.via.bin.size);
    } else if constexpr (is_name<Type>) {
        unpack(from, value.value);
    } else if constexpr (is_vector<Type>) {
        const auto items = elements(from);
        value.resize(items.size());
        for (std::size_t n = 0; n < items.size(); ++n) {
            unpack(items[n], value[n]);
        }
    } else {
        auto members = internal::fields(value);
        const auto items = elements(from);
        if (items.size() != std::tuple_size_v<decltype(members)>) {
            throw malformed{"wrong number of fields"};
        }
        std::size_t n = 0;
        std::apply([&](auto&... it) { (unpack(items[n++], it), ...); }, members);
    }
}

template<std::size_t Type = 0>
message unpack_body(std::size_t type, const msgpack::object& from) {
    if constexpr (Type == std::variant_size_v<message>) {
        throw malformed{"unknown message type"};
    } else {
        if (type != Type) {
            return unpack_body<Type + 1>(type, from);
        }
        std::variant_alternative_t<Type, message> body;
        unpack(from, body);
        return body;
    }
}

bool reference_all(msgpack::type::object_type /*type*/, std::size_t /*size*/, void* /*user*/) {
    return true;
}

envelope decode(std::string_view frame) {
    const msgpack::unpack_limit limits{max_elements, 0, 0, max_frame_bytes, 0, max_depth};
    std::size_t end = 0;
    bool referenced = false;
    const auto handle = msgpack::unpack(frame.data(), frame.size(), end, referenced, &reference_all, nullptr, limits);
    if (end != frame.size()) {
        throw malformed{"bytes after the frame's array"};
    }
    const auto items = elements(handle.get());
    if (items.empty()) {
        throw malformed{"wrong number of fields"};
    }
    if (integer<std::uint32_t>(items[0]) != protocol_version) {
        throw absl::FailedPreconditionError(
            absl::StrCat("protocol version ", items[0].via.u64, ", expected ", protocol_version));
    }
    if (items.size() != 5) {
        throw malformed{"wrong number of fields"};
    }
    envelope item;
    unpack(items[2], item.correlation);
    unpack(items[3], item.deadline_ms);
    item.body = unpack_body(integer<std::size_t>(items[1]), items[4]);
    return item;
}

// NOLINTEND(cppcoreguidelines-pro-type-union-access)

std::size_t size_of(const std::vector<header_field>& headers) noexcept {
    std::size_t sum = 0;
    for (const auto& it : headers) {
        sum += it.name.size() + it.value.size();
    }
    return sum;
}

} // namespace

absl::StatusOr<std::string> encode_frame(const envelope& item) {
    msgpack::sbuffer buf;
    buf.write("\0\0\0\0", frame_length_bytes);
    packer out{buf};
    out.pack_array(5);
    pack(out, protocol_version);
    pack(out, static_cast<std::uint32_t>(item.body.index()));
    pack(out, item.correlation);
    pack(out, item.deadline_ms);
    std::visit([&](const auto& body) { pack(out, body); }, item.body);
    const auto size = buf.size() - frame_length_bytes;
    if (size > max_frame_bytes) {
        return absl::InvalidArgumentError(absl::StrCat("frame of ", size, " bytes, at most ", max_frame_bytes));
    }
    std::string frame{buf.data(), buf.size()};
    for (std::size_t n = 0; n < frame_length_bytes; ++n) {
        frame[n] = static_cast<char>((size >> (8U * (frame_length_bytes - 1 - n))) & 0xffU);
    }
    return frame;
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

absl::StatusOr<std::optional<decoded_frame>> frame_decoder::next() {
    if (buffered() < frame_length_bytes) {
        return std::nullopt;
    }
    std::size_t size = 0;
    for (std::size_t n = 0; n < frame_length_bytes; ++n) {
        size = (size << 8U) | static_cast<unsigned char>(buffer_[offset_ + n]);
    }
    if (size > max_frame_bytes) {
        return absl::InvalidArgumentError(absl::StrCat("frame of ", size, " bytes, at most ", max_frame_bytes));
    }
    if (buffered() < frame_length_bytes + size) {
        return std::nullopt;
    }
    const auto frame = std::string_view{buffer_}.substr(offset_ + frame_length_bytes, size);
    offset_ += frame_length_bytes + size;
    try {
        return decoded_frame{decode(frame), frame_length_bytes + size};
    } catch (const malformed& error) {
        return absl::InvalidArgumentError(absl::StrCat("malformed frame: ", error.reason));
    } catch (const absl::Status& status) {
        return status;
    } catch (const msgpack::unpack_error& error) {
        return absl::InvalidArgumentError(absl::StrCat("malformed frame: ", error.what()));
    }
}

} // namespace dandelionbay
