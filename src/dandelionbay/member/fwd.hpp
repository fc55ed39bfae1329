#pragma once

namespace dandelionbay {

enum class member_state : unsigned char;
struct member;
class membership;
class exchange_tree;
class heartbeat_echo;

} // namespace dandelionbay
