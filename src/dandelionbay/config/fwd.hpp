#pragma once

namespace dandelionbay {

struct team_config;
struct call_rule;
struct service_config;
struct pool_config;
struct endpoint_config;
struct zone_config;
struct access_rule;
struct fleet_config;
class config_adopter;
class config_editor;
struct stored_config;
class freshness;

} // namespace dandelionbay
