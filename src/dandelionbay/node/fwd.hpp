#pragma once

namespace dandelionbay {

struct router_node_options;
struct agent_node_options;
class router_node;
class agent_node;
struct gateway_options;
class gateway_node;
class endpoint_client;
class start_watch;

} // namespace dandelionbay
