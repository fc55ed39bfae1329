#pragma once

namespace dandelionbay {

class ramp_limiter;
class byte_budget;
class retry_budget;
class crash_register;

} // namespace dandelionbay
