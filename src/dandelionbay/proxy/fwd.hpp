#pragma once

namespace dandelionbay {

class call_attempts;
class call_protocol;
class caller_connection;
class channel;
class channel_handler;
class connection_pool;
class event_scanner;
class exchange;
class http_connection;
class admission_queue;
class accept_controller;
class admission_rate_limiter;
class listen_probe;
class listener;
class event_loop_probe;
class overload_detector;
class proxy;
class read_delay_estimator;
class response_handler;
class status_server;
class team_activity;
class refusal_time_meter;
struct attempt;
struct call_record;
struct http_request;
struct pending_call;
struct request_times;
struct response_head;
struct team_activity_entry;

} // namespace dandelionbay
