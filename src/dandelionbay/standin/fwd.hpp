#pragma once

namespace dandelionbay {

class http_host;
struct platform_faults;
struct standin_platform_options;
class standin_platform;
struct standin_engine_options;
struct engine_stats;
struct engine_token;
class standin_engine;
struct standin_service_options;
class standin_service;
class tcp_relay;

} // namespace dandelionbay
