#pragma once

namespace dandelionbay::app {

struct command;

} // namespace dandelionbay::app
