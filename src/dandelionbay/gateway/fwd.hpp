#pragma once

namespace dandelionbay {

struct call_options;
struct endpoint_entry;
struct endpoint_process;
struct route;
struct route_config;
struct router_entry;
struct registry_version;
class registry_view;

} // namespace dandelionbay
