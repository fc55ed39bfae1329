#pragma once

namespace dandelionbay {

class cold_pacer;
class dispatcher;
class dispatch_listener;
class endpoint_load;
class kept_parts;
class placement;
class retry_window;
class round_pacer;
class team_usage;
struct dispatch_limits;
struct endpoint_choice;
struct part_use;
struct refusal;
struct router_place;
struct service_queue;
struct team_rank;
struct team_service;
struct work_item;

} // namespace dandelionbay
