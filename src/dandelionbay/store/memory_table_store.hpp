#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "dandelionbay/store/table_map.hpp"
#include "dandelionbay/store/table_store.hpp"

namespace dandelionbay {

/*! @brief Kind of a call to a table store. */
enum class store_operation : std::uint8_t { get, put, list };

/*! @brief Call as the fault callback sees it. */
struct store_call {
    store_operation operation{};
    std::string table{};
    std::string key{};
    std::uint64_t index{}; //!< Number of earlier calls of this store.

    friend bool operator==(const store_call&, const store_call&) = default;
};

/*! @brief Where a call fails. */
enum class store_fault : std::uint8_t {
    none,
    before, //!< Without effect.
    after,  //!< The effect stays, the answer is lost.
};

/*! @brief Table store in memory with injected faults; several may share their rows. */
class memory_table_store final : public table_store {
    [[nodiscard]] store_fault next_fault(store_operation operation, std::string_view table, std::string_view key);

public:
    /*! @brief Decides on each call before its effect; may block or advance a clock to delay it. */
    using fault_function = std::function<store_fault(const store_call&)>;

    /*! @brief Creates a store. @param rows The rows; a new map if null. */
    explicit memory_table_store(std::shared_ptr<table_map> rows = nullptr);

    /*! @brief Sets the fault callback. @param faults The callback; empty for no faults. */
    void set_faults(fault_function faults);

    /*! @brief Number of calls so far. */
    [[nodiscard]] std::uint64_t calls() const;

    [[nodiscard]] absl::StatusOr<table_row> get(std::string_view table, std::string_view key) override;
    [[nodiscard]] absl::StatusOr<std::optional<table_row>> get_unless(std::string_view table, std::string_view key,
                                                                      std::uint64_t known) override;
    [[nodiscard]] absl::StatusOr<std::uint64_t> put(std::string_view table, std::string_view key,
                                                    std::string_view value, std::uint64_t expected_version) override;
    [[nodiscard]] absl::StatusOr<std::vector<std::string>> list(std::string_view table) override;

private:
    std::shared_ptr<table_map> rows_;
    mutable std::mutex mutex_;
    std::shared_ptr<const fault_function> faults_; // Shared, so that a callback keeps its state between calls.
    std::uint64_t calls_{0};
};

} // namespace dandelionbay
