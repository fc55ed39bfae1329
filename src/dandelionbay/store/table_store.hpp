#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "dandelionbay/store/fwd.hpp"

namespace dandelionbay {

/*! @brief Row of the platform's table service. */
struct table_row {
    std::string value{};     //!< Bytes as written.
    std::uint64_t version{}; //!< 1 after the first write of the row, then one more with each write.

    friend bool operator==(const table_row&, const table_row&) = default;
};

/**
 * @brief The platform's transactional table service.
 *
 * Errors common to all calls: Unavailable or DeadlineExceeded when no answer came. A write that ended so may have
 * taken effect. All calls block, for at most the time limit of the implementation.
 */
class table_store {
public:
    table_store() = default;
    table_store(const table_store&) = delete;
    table_store(table_store&&) = delete;
    table_store& operator=(const table_store&) = delete;
    table_store& operator=(table_store&&) = delete;
    virtual ~table_store() = default;

    /**
     * @brief Reads a row.
     * @param table Table name. @param key Row key.
     * @return The row, or NotFound.
     */
    [[nodiscard]] virtual absl::StatusOr<table_row> get(std::string_view table, std::string_view key) = 0;

    /**
     * @brief Reads a row unless its version is the one that the caller has.
     * @param table Table name. @param key Row key. @param known Version of the caller's row; 0 if it has none.
     * @return The row; nothing if its version is still the known one; NotFound.
     */
    [[nodiscard]] virtual absl::StatusOr<std::optional<table_row>>
    get_unless(std::string_view table, std::string_view key, std::uint64_t known) = 0;

    /**
     * @brief Writes a row if its version is as expected.
     * @param table Table name. @param key Row key. @param value New bytes.
     * @param expected_version Version the row must have; 0 if it must not exist.
     * @return The new version; Aborted if the version differs.
     */
    [[nodiscard]] virtual absl::StatusOr<std::uint64_t> put(std::string_view table, std::string_view key,
                                                            std::string_view value, std::uint64_t expected_version) = 0;

    /**
     * @brief Lists the keys of a table.
     * @param table Table name.
     * @return Keys in ascending order.
     */
    [[nodiscard]] virtual absl::StatusOr<std::vector<std::string>> list(std::string_view table) = 0;
};

} // namespace dandelionbay
