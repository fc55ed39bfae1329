#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace dandelionbay::testing {

/*! @brief A started program. It is killed by its process id when the object ends or the test program dies. */
class child_process {
public:
    /**
     * @brief Starts a program; to be called by the main thread, whose end kills the program.
     * @param args Path of the program and its arguments.
     * @param output Path to which ".out" and ".err" are appended for the two outputs.
     */
    child_process(std::vector<std::string> args, std::string output);
    child_process(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process& operator=(child_process&&) = delete;
    ~child_process();

    /*! @brief Tells whether the program has printed the line "ready". */
    [[nodiscard]] bool ready() const;

    /*! @brief Sends a signal; none to a program that was waited for. @param number The signal. */
    void signal(int number) const;

    /*! @brief Sends SIGKILL and waits for the end. */
    void kill();

    /*! @brief Waits for the end. @param limit Longest wait. @return Status as of waitpid(), or nothing. */
    [[nodiscard]] std::optional<int> wait(std::chrono::milliseconds limit);

    /*! @brief What the program wrote to its standard error. */
    [[nodiscard]] std::string errors() const;

private:
    std::string output_;
    pid_t pid_{-1};
};

} // namespace dandelionbay::testing
