#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "dandelionbay/store/table_store.hpp"

namespace dandelionbay {

/*! @brief Rows of the table service in memory; safe for use by several threads. */
class table_map {
    using key_type = std::pair<std::string, std::string>;

public:
    /*! @brief Reads a row. @param table Table name. @param key Row key. @return The row, or NotFound. */
    [[nodiscard]] absl::StatusOr<table_row> get(std::string_view table, std::string_view key) const;

    /**
     * @brief Writes a row if its version is as expected.
     * @param table Table name. @param key Row key. @param value New bytes.
     * @param expected_version Version the row must have; 0 if it must not exist.
     * @return The new version; Aborted if the version differs.
     */
    [[nodiscard]] absl::StatusOr<std::uint64_t> put(std::string_view table, std::string_view key,
                                                    std::string_view value, std::uint64_t expected_version);

    /*! @brief Lists the keys of a table. @param table Table name. @return Keys in ascending order. */
    [[nodiscard]] std::vector<std::string> list(std::string_view table) const;

private:
    mutable std::mutex mutex_;
    std::map<key_type, table_row> rows_;
};

} // namespace dandelionbay
