#pragma once

namespace dandelionbay {

class service;
class kernel;

} // namespace dandelionbay
