#include "dandelionbay/kernel/kernel.hpp"

#include <gtest/gtest.h>

namespace dandelionbay {
namespace {

class recording_service final : public service {
public:
    recording_service(std::string name, std::vector<std::string>& log, bool fails = false)
        : name_{std::move(name)}, log_{&log}, fails_{fails} {}

    absl::Status start(kernel& /*host*/) override {
        if (fails_) {
            return absl::InternalError("does not start");
        }
        log_->push_back("start " + name_);
        return absl::OkStatus();
    }

    void stop() noexcept override { log_->push_back("stop " + name_); }

private:
    std::string name_;
    std::vector<std::string>* log_;
    bool fails_;
};

// Guards against services left running after a failed start, and against a stop in the wrong order.
TEST(kernel, a_failed_start_stops_what_runs_in_reverse_order) {
    std::vector<std::string> log;
    kernel host;
    ASSERT_TRUE(host.add("a", std::make_unique<recording_service>("a", log)).ok());
    ASSERT_TRUE(host.add("b", std::make_unique<recording_service>("b", log)).ok());
    ASSERT_TRUE(host.add("c", std::make_unique<recording_service>("c", log, true)).ok());
    {
        SCOPED_TRACE("names are unique and typed");
        EXPECT_TRUE(absl::IsAlreadyExists(host.add("a", std::make_unique<recording_service>("a", log))));
        EXPECT_NE(host.find<recording_service>("a"), nullptr);
        EXPECT_EQ(host.find<kernel>("a"), nullptr);
    }
    {
        SCOPED_TRACE("the third service fails");
        EXPECT_FALSE(host.start().ok());
        EXPECT_EQ(log, (std::vector<std::string>{"start a", "start b", "stop b", "stop a"}));
    }
}

} // namespace
} // namespace dandelionbay
