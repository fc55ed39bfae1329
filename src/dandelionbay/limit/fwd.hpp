#pragma once

namespace dandelionbay {

class retry_budget;
class crash_register;

} // namespace dandelionbay
