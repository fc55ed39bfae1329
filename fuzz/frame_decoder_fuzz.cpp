#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "dandelionbay/wire/codec.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    dandelionbay::frame_decoder decoder;
    decoder.feed({reinterpret_cast<const char*>(data), size});
    for (auto frame = decoder.next(); frame.ok() && frame->has_value(); frame = decoder.next()) {
        if (!dandelionbay::encode_frame((*frame)->body).ok()) {
            std::abort();
        }
    }
    return 0;
}
