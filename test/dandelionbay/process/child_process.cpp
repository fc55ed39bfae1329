#include "dandelionbay/process/child_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <thread>
#include <utility>

namespace dandelionbay::testing {

namespace {

[[nodiscard]] std::string content_of(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    return {std::istreambuf_iterator<char>{file}, {}};
}

} // namespace

child_process::child_process(std::vector<std::string> args, std::string output) : output_{std::move(output)} {
    std::vector<char*> argv;
    argv.reserve(args.size() + 1);
    for (auto& it : args) {
        argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    const auto out = output_ + ".out";
    const auto err = output_ + ".err";
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ != 0) {
        return;
    }
    // Between fork and exec of a program with threads only async-signal-safe calls are allowed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() == parent) {
        ::dup2(::open(out.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600), STDOUT_FILENO);
        ::dup2(::open(err.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600), STDERR_FILENO);
        ::execv(argv[0], argv.data());
    }
    ::_exit(127);
}

child_process::~child_process() {
    kill();
}

bool child_process::ready() const {
    return content_of(output_ + ".out").starts_with("ready\n");
}

void child_process::signal(int number) const {
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void child_process::kill() {
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

std::optional<int> child_process::wait(std::chrono::milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (pid_ > 0) {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            return status;
        }
        if (std::chrono::steady_clock::now() > end) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return std::nullopt;
}

std::string child_process::errors() const {
    return content_of(output_ + ".err");
}

} // namespace dandelionbay::testing
