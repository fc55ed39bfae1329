#pragma once

#include <chrono>

#include "dandelionbay/store/host_list.hpp"
#include "dandelionbay/store/http_caller.hpp"
#include "dandelionbay/store/table_store.hpp"

namespace dandelionbay {

/*! @brief Time limit of a call to the platform. */
inline constexpr std::chrono::milliseconds store_time_limit{1'000};

/*! @brief The platform's table service over HTTP; safe for use by several threads. */
class http_table_store final : public table_store {
public:
    /*! @brief Creates a client. @param server Address of the platform. @param time_limit Limit of each call. */
    explicit http_table_store(socket_address server, std::chrono::milliseconds time_limit = store_time_limit);

    [[nodiscard]] absl::StatusOr<table_row> get(std::string_view table, std::string_view key) override;
    [[nodiscard]] absl::StatusOr<std::optional<table_row>> get_unless(std::string_view table, std::string_view key,
                                                                      std::uint64_t known) override;
    [[nodiscard]] absl::StatusOr<std::uint64_t> put(std::string_view table, std::string_view key,
                                                    std::string_view value, std::uint64_t expected_version) override;
    [[nodiscard]] absl::StatusOr<std::vector<std::string>> list(std::string_view table) override;

private:
    internal::http_caller caller_;
};

/*! @brief The platform's host list over HTTP; safe for use by several threads. */
class http_host_list final : public host_list {
public:
    /*! @brief Creates a client. @param server Address of the platform. @param time_limit Limit of each call. */
    explicit http_host_list(socket_address server, std::chrono::milliseconds time_limit = store_time_limit);

    [[nodiscard]] absl::StatusOr<std::vector<host_entry>> read() override;

private:
    internal::http_caller caller_;
};

} // namespace dandelionbay
