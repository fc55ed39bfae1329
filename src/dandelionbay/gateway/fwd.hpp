#pragma once

namespace dandelionbay {

struct call_terms;
struct endpoint_entry;
struct route;
struct route_config;
class registry_view;

} // namespace dandelionbay
