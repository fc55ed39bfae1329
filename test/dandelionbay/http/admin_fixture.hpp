#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "dandelionbay/config/config_editor.hpp"
#include "dandelionbay/http/admin_api.hpp"
#include "dandelionbay/store/memory_table_store.hpp"

namespace dandelionbay {

/*! @brief A router's view that records what is put in force. */
class recording_view final : public fleet_view {
public:
    [[nodiscard]] std::vector<node_state> nodes() const override {
        const std::lock_guard lock{mutex_};
        return {node_state{host_id{"entry-1"}, host_role::router, zone_id{"z1"}, "live", revision_}};
    }

    [[nodiscard]] bool hears_majority() const override { return majority.load(); }

    void adopt(std::uint64_t revision, const std::string& /*document*/) override {
        const std::lock_guard lock{mutex_};
        revision_ = std::max(revision, revision_);
    }

    [[nodiscard]] bool wait_for_majority(std::uint64_t revision, std::chrono::milliseconds /*limit*/) const override {
        const std::lock_guard lock{mutex_};
        return confirms.load() && revision <= revision_;
    }

    [[nodiscard]] std::uint64_t revision() const {
        const std::lock_guard lock{mutex_};
        return revision_;
    }

    std::atomic<bool> majority{true};
    std::atomic<bool> confirms{true};

private:
    mutable std::mutex mutex_;
    std::uint64_t revision_{};
};

/*! @brief Administration API over a store in memory. */
struct admin_fixture {
    static constexpr const char* first_document = R"({
        "zones": [{"name": "z1", "region": "r"}, {"name": "z2", "region": "r"}],
        "teams": [{"name": "t1", "token": "secret-1"}]})";

    std::shared_ptr<table_map> rows{std::make_shared<table_map>()};
    memory_table_store store{rows};
    recording_view view{};
    counters metrics{};
    config_editor editor{store, metrics, "router-1"};
    admin_api api{editor, view, metrics};

    /*! @brief Calls the API. @return The answer. */
    admin_answer call(const std::string& method, const std::string& path, const std::string& if_match = "",
                      const std::string& body = "") {
        return api.handle(admin_request{method, path, if_match, body});
    }

    /*! @brief Numeric code of an error answer. */
    static unsigned code_of(const admin_answer& answer) {
        return nlohmann::json::parse(answer.body).at("error").at("code").get<unsigned>();
    }

    /*! @brief Execution state of an error answer. */
    static std::string executed_of(const admin_answer& answer) {
        return nlohmann::json::parse(answer.body).at("error").at("executed").get<std::string>();
    }
};

} // namespace dandelionbay
