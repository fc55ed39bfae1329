#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/bench/fwd.hpp"
#include "dandelionbay/standin/standin_engine.hpp"

namespace dandelionbay::bench {

/*! @brief When the engines made the tokens of the calls that are not finished; safe for use by several threads. */
class engine_times {
public:
    /*! @brief Enters a token. @param it The token; a call is known by its prompt. */
    void add(const engine_token& it) {
        const std::lock_guard lock{mutex_};
        auto at = calls_.find(it.prompt);
        if (at == calls_.end()) {
            at = calls_.emplace(std::string{it.prompt}, std::vector<duration>{}).first;
        }
        at->second.push_back(it.at);
    }

    /**
     * @brief Engine's time for a token of a call.
     * @param prompt Of the call. @param index From 0.
     * @return Time since the call came to the engine for the first token, since the previous token for others; nothing
     *         if the token is not known.
     */
    [[nodiscard]] std::optional<duration> find(const std::string& prompt, std::size_t index) const {
        const std::lock_guard lock{mutex_};
        const auto at = calls_.find(prompt);
        if (at == calls_.end() || index >= at->second.size()) {
            return std::nullopt;
        }
        return index == 0 ? at->second[0] : at->second[index] - at->second[index - 1];
    }

    /*! @brief Forgets a call. @param prompt Of the call. */
    void remove(const std::string& prompt) {
        const std::lock_guard lock{mutex_};
        calls_.erase(prompt);
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::vector<duration>, std::less<>> calls_;
};

} // namespace dandelionbay::bench
