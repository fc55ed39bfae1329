#include "dandelionbay/load/plan.hpp"

#include <random>

#include "dandelionbay/base/text.hpp"
#include "dandelionbay/bench/scenario.hpp"
#include "dandelionbay/load/profile.hpp"

namespace dandelionbay::load {

namespace {

/*! The routers' own estimate of the input from the length of the body. */
constexpr std::size_t bytes_per_token = 4;

[[nodiscard]] std::uint32_t draw(const token_range& range, std::mt19937_64& random) {
    return std::uniform_int_distribution<std::uint32_t>{range.min, range.max}(random);
}

} // namespace

std::vector<lane_plan> plan_calls(const load_profile& profile, std::chrono::seconds length, std::uint64_t seed) {
    std::mt19937_64 random{seed};
    std::uniform_real_distribution<double> share{0, 1};
    std::vector<lane_plan> out;
    for (std::size_t i = 0; i < profile.teams.size(); ++i) {
        const auto& team = profile.teams[i];
        auto& chats = out.emplace_back(lane_plan{i, team.connections});
        for (const auto at : bench::draw_times(team.rate, length, random)) {
            const auto prompt = draw(team.prompt_tokens, random);
            const auto output = draw(team.output_tokens, random);
            chats.calls.push_back({at, prompt, output, share(random) < team.streamed});
        }
        if (team.orders) {
            auto& orders = out.emplace_back(lane_plan{i, team.orders->connections});
            for (const auto at : bench::draw_times(team.orders->rate, length, random)) {
                orders.calls.push_back({at});
            }
        }
    }
    return out;
}

std::string prompt_text(const std::string& id, std::uint32_t tokens) {
    auto out = concat(id, " ");
    while (out.size() < tokens * bytes_per_token) {
        out += "word ";
    }
    out.resize(tokens * bytes_per_token);
    return out;
}

} // namespace dandelionbay::load
