#pragma once

namespace dandelionbay {

class selector;

} // namespace dandelionbay
