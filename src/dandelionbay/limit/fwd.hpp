#pragma once

namespace dandelionbay {

class ramp_limiter;
class byte_budget;
class retry_budget;
class crash_registry;
class suspect_call_locks;
class lost_run_registry;
class part_crash_registry;
struct call_losses;
struct lost_run;
struct part_evidence;
struct part_status;
struct process_loss;
struct service_part;
struct unproven_run;

} // namespace dandelionbay
