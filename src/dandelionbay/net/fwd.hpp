#pragma once

namespace dandelionbay {

class link_events;
struct link_options;
class link_server;
class reserved_address;

namespace internal {
class link;
class link_owner;
} // namespace internal

} // namespace dandelionbay
