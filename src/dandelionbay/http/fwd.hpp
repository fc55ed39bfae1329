#pragma once

namespace dandelionbay {

struct node_state;
class fleet_view;
class answer_source;
class caller_gate;
class bounded_server;
struct caller_front_options;
class caller_front;
class admin_front;

} // namespace dandelionbay
