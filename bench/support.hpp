#pragma once

#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <string>

#include "dandelionbay/wire/codec.hpp"

namespace dandelionbay::bench {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const pool_id pool{"pool"};
inline const service_id service{"liner-llm"};

/*! @brief Names of the length that a fleet uses; a frame's size depends on it. */
inline team_id team(std::size_t n) {
    return team_id{"team-" + std::to_string(1'000 + n)};
}

inline host_id router_host(std::size_t n) {
    return host_id{"router-" + std::to_string(10 + n)};
}

inline host_id agent_host(std::size_t n) {
    return host_id{"agent-" + std::to_string(100 + n)};
}

inline endpoint_id endpoint(std::size_t n) {
    return endpoint_id{"endpoint-" + std::to_string(100 + n)};
}

/*! @brief Bytes of a frame that are not the caller's call or its answer. @param link Of the frame's direction. */
inline double control_bytes(frame_encoder& link, const message& body) {
    return static_cast<double>(link.encode(body).value().size() - payload_bytes(body));
}

/*! @brief Bytes in use on the heap, blocks mapped on their own included. */
inline double heap_bytes() {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

} // namespace dandelionbay::bench
