#pragma once

namespace dandelionbay {

class peer_synchronizer;
class peer_encoder;
class peer_transport;
struct peer_message;
struct refresh_request;
struct refresh_limits;
struct router_identity;
struct scaled_timeout;

} // namespace dandelionbay
