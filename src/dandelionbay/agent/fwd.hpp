#pragma once

namespace dandelionbay {

struct agent_settings;
struct start_run;
struct cancel_run;
struct load_report;
class agent_core;

} // namespace dandelionbay
