#pragma once

namespace dandelionbay {

template<typename Tag>
struct named_id;
struct request_id;
struct grant_id;
class clock;
class manual_clock;
class monotonic_clock;
class boot_clock;
class remote_clock;
struct socket_address;
class counters;
class section_timer;
class bounded_log;
class event_log;
class latency_histogram;
enum class result_code : unsigned short;
enum class executed : unsigned char;

} // namespace dandelionbay
