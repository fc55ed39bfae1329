#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "dandelionbay/wire/codec.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    dandelionbay::frame_decoder decoder;
    decoder.feed({reinterpret_cast<const char*>(data), size});
    dandelionbay::frame_encoder encoder;
    dandelionbay::frame_decoder second;
    for (auto frame = decoder.next(); frame.ok() && frame->has_value(); frame = decoder.next()) {
        // What was decoded must survive a second link, whose numbers of names are its own.
        const auto again = encoder.encode((*frame)->body);
        if (!again.ok()) {
            std::abort();
        }
        second.feed(*again);
        const auto copy = second.next();
        if (!copy.ok() || !copy->has_value() || (*copy)->body != (*frame)->body) {
            std::abort();
        }
    }
    return 0;
}
