#pragma once

namespace dandelionbay {

class peer_board;
class peer_encoder;
class peer_links;
struct peer_state;
struct fact_request;
struct fact_limits;
struct board_identity;
struct round_limit;

} // namespace dandelionbay
