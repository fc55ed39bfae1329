#pragma once

namespace dandelionbay::plot {

struct bar;

class page;

} // namespace dandelionbay::plot
