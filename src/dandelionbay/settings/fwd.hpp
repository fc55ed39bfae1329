#pragma once

namespace dandelionbay {

struct log_settings;
struct process_settings;

} // namespace dandelionbay
