#pragma once

namespace dandelionbay {

class peer_board;
class peer_links;
struct peer_state;

} // namespace dandelionbay
