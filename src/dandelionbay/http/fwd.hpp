#pragma once

namespace dandelionbay {

struct node_state;
class fleet_view;
class answer_source;
class caller_gate;
class bounded_server;
struct caller_front_options;
class caller_front;
class framed_client;
struct admin_front_options;
class admin_front;
struct admin_request;
struct admin_answer;
class admin_api;

} // namespace dandelionbay
