#pragma once

namespace dandelionbay {

struct node_state;
class fleet_view;
class caller_front;
class admin_front;

} // namespace dandelionbay
