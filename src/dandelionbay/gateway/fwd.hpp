#pragma once

namespace dandelionbay {

struct call_options;
struct endpoint_entry;
struct endpoint_process;
struct route;
struct route_config;
struct router_entry;
struct registry_version;
struct row_write;
class registry_view;
class retained_rows;
struct service_version;
class stream_version_registry;
struct version_report;

} // namespace dandelionbay
