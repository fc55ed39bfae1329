#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/store/table_store.hpp"

namespace dandelionbay {

/*! @brief Table and key of the fleet's configuration. */
inline constexpr std::string_view config_table = "config";
inline constexpr std::string_view config_key = "fleet";

/*! @brief The fleet's configuration as it is stored. */
struct stored_config {
    std::uint64_t revision{};
    std::string document{}; //!< JSON text of an object.

    friend bool operator==(const stored_config&, const stored_config&) = default;
};

/**
 * @brief Reads a row of the configuration.
 * @param row The row; its version is the revision.
 * @return The configuration, or DataLoss if the row is malformed.
 */
[[nodiscard]] absl::StatusOr<stored_config> decode_stored_config(const table_row& row);

/**
 * @brief Replaces the fleet's configuration in the table service on condition of its revision.
 *
 * The row keeps the ids of the last 16 changes, by which a change whose answer was lost is found again, also below
 * changes made on top of it. Counters: config_changes_total by result. Not safe for use by several threads at once.
 */
class config_editor {
public:
    /**
     * @brief Creates an editor.
     * @param store Table service. @param metrics Counters.
     * @param id_prefix Start of all change ids; unique to one life of a process.
     */
    config_editor(table_store& store, counters& metrics, std::string id_prefix);

    /*! @brief Reads the configuration. @return It; NotFound before the first change; DataLoss; errors of the store. */
    [[nodiscard]] absl::StatusOr<stored_config> read();

    /**
     * @brief Replaces the configuration.
     * @param document JSON text of an object; to be validated by the caller.
     * @param expected_revision Revision on which the change is based; 0 for the first one.
     * @return The new revision; Aborted if another change came first; InvalidArgument for text that is no JSON object;
     *         Unavailable or DeadlineExceeded if the store did not tell, in which case the change may be in force.
     */
    [[nodiscard]] absl::StatusOr<std::uint64_t> replace(std::string_view document, std::uint64_t expected_revision);

private:
    table_store* store_;
    counters* metrics_;
    std::string id_prefix_;
    std::uint64_t changes_{0};
};

} // namespace dandelionbay
