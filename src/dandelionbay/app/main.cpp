#include <array>
#include <span>
#include <string>
#include <vector>

#include "dandelionbay/app/command.hpp"

int main(int argc, char** argv) {
    const std::span<char*> words{argv, static_cast<std::size_t>(argc)};
    const std::vector<std::string> args{words.begin() + 1, words.end()};
    using namespace dandelionbay::app;
    const std::array commands{serve_command(), check_command(), ctl_command(),  standin_command(),
                              dev_command(),   bench_command(), load_command(), trace_command()};
    return run_command(commands, args);
}
