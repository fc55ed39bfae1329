#pragma once

namespace dandelionbay {

class cold_pacer;
class dispatcher;
class dispatch_listener;
class endpoint_load;
class kept_parts;
class retry_window;
class team_usage;
struct endpoint_choice;
struct part_use;
struct service_queue;
struct work_item;

} // namespace dandelionbay
