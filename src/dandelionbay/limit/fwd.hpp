#pragma once

namespace dandelionbay {

class ramp_limiter;
class byte_budget;
class retry_budget;
class crash_registry;
class suspect_call_locks;
class lost_run_registry;
struct call_losses;
struct lost_run;

} // namespace dandelionbay
