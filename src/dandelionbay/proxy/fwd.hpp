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
class intake;
class intake_gate;
class intake_pacer;
class listen_probe;
class listener;
class loop_mark;
class overload_gauge;
class proxy;
class read_horizon;
class response_handler;
class status_server;
class work_meter;
struct attempt;
struct call_record;
struct http_request;
struct read_call;
struct request_times;
struct response_head;

} // namespace dandelionbay
