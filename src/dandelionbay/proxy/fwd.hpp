#pragma once

namespace dandelionbay {

class caller_connection;
class call_protocol;
class channel;
class channel_owner;
class http_connection;
class endpoint_pool;
class event_scanner;
class exchange;
class proxy_context;
class response_handler;
struct call_record;
struct http_request;
struct response_head;

} // namespace dandelionbay
