#include "dandelionbay/app/stop_signal.hpp"

#include <csignal>

namespace dandelionbay::app {

namespace {

[[nodiscard]] sigset_t stop_signals() {
    sigset_t set{};
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

stop_signal::stop_signal() {
    const auto set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    struct sigaction ignore {};
    ignore.sa_handler = SIG_IGN; // NOLINT(cppcoreguidelines-pro-type-union-access): the system's own structure.
    sigaction(SIGPIPE, &ignore, nullptr);
}

void stop_signal::wait() const {
    const auto set = stop_signals();
    int received = 0;
    while (sigwait(&set, &received) != 0) {
    }
}

bool stop_signal::wait_for(std::chrono::nanoseconds limit) const {
    const auto set = stop_signals();
    timespec time{};
    time.tv_nsec = limit.count();
    return sigtimedwait(&set, nullptr, &time) > 0;
}

} // namespace dandelionbay::app
