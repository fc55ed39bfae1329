#pragma once

namespace dandelionbay {

class cold_rate_limiter;
class dispatcher;
class dispatch_listener;
class endpoint_load;
class prefix_cache;
class endpoint_selector;
class overload_estimator;
class retry_window;
class round_pacer;
class team_usage;
struct dispatch_limits;
struct endpoint_choice;
struct part_use;
struct refusal;
struct router_location;
struct service_delay;
struct service_queue;
struct team_rank;
struct team_usage_entry;
struct usage_slice;
struct window_scale;
struct work_item;

} // namespace dandelionbay
