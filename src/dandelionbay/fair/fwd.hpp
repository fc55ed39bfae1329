#pragma once

namespace dandelionbay {

struct ledger_row;
struct lift_row;
class ledger;
class team_queues;
class cost_model;

} // namespace dandelionbay
