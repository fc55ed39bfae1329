#pragma once

namespace dandelionbay {

class ramp_limiter;
class byte_budget;
class retry_budget;
class crash_register;
class copy_turns;
class lost_runs;
struct call_losses;
struct lost_run;

} // namespace dandelionbay
