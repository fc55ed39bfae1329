#pragma once

namespace dandelionbay {

struct call_terms;
struct endpoint_entry;
struct leaving_endpoint;
struct route;
struct route_config;
class registry_view;

} // namespace dandelionbay
