#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/base/result_code.hpp"
#include "dandelionbay/config/config_editor.hpp"
#include "dandelionbay/http/fleet_view.hpp"
#include "dandelionbay/http/fwd.hpp"

namespace dandelionbay {

/*! @brief Call of an operator, authenticated. */
struct admin_request {
    std::string method{};
    std::string path{};     //!< Below "/admin/v1/", decoded; for example "zones/north/labels".
    std::string if_match{}; //!< Header field as sent; empty if absent.
    std::string body{};

    friend bool operator==(const admin_request&, const admin_request&) = default;
};

/*! @brief Answer to an operator. */
struct admin_answer {
    int status{200};
    std::string body{};       //!< JSON text.
    std::string etag{};       //!< Quoted revision; empty for none.
    std::uint32_t retry_s{0}; //!< When to retry, in seconds; zero for no advice.

    friend bool operator==(const admin_answer&, const admin_answer&) = default;
};

/**
 * @brief Administration API without its transport; safe for use by several threads.
 *
 * `config`, the collections of document_edit.hpp with single objects and their `labels`, the members `access`,
 * `zones_out`, `endpoints_leaving`, and `status`. Reads and writes go to the store, so that an operator never edits an
 * older revision than the newest one.
 */
class admin_api {
    using edit = std::function<absl::Status(nlohmann::json&)>;

    [[nodiscard]] admin_answer refuse(result_code code, executed state, std::string_view text = {}) const;
    [[nodiscard]] admin_answer refuse(const absl::Status& status, executed state) const;
    [[nodiscard]] admin_answer status() const;
    [[nodiscard]] admin_answer read(const std::vector<std::string>& path);
    [[nodiscard]] admin_answer write(const admin_request& request, const std::vector<std::string>& path);
    [[nodiscard]] absl::StatusOr<stored_config> stored();
    [[nodiscard]] admin_answer change(std::uint64_t expected, const edit& apply);

public:
    /**
     * @brief Creates the API.
     * @param editor Reads and replaces the stored configuration; used by the API alone; must outlive the API.
     * @param view The router's view of the fleet; must outlive the API.
     * @param metrics Counters; must outlive the API.
     */
    admin_api(config_editor& editor, fleet_view& view, counters& metrics);

    /*! @brief Answers a call; blocks for the time limits of the store. @param request The call. @return The answer. */
    [[nodiscard]] admin_answer handle(const admin_request& request);

private:
    std::mutex mutex_; //!< Protects the editor; changes through one router are made one after the other.
    config_editor* editor_;
    fleet_view* view_;
    counters* metrics_;
};

} // namespace dandelionbay
