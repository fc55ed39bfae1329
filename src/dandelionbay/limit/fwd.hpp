#pragma once

namespace dandelionbay {

class ramp_limiter;
class byte_budget;

} // namespace dandelionbay
