#pragma once

namespace dandelionbay::load {

struct lane_plan;
struct load_options;
struct load_profile;
struct load_target;
struct order_profile;
struct planned_call;
struct team_profile;
struct token_range;

class caller;
class tally;

} // namespace dandelionbay::load
