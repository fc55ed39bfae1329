#pragma once

namespace dandelionbay {

struct ledger_row;
struct lift_row;
struct team_key;
struct cost_weights;
class ledger;
class team_queues;
class cost_model;
class cost_account;
class leading_credit;
class team_scheduler;

} // namespace dandelionbay
