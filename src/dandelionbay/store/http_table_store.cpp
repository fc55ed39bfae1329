#include "dandelionbay/store/http_table_store.hpp"

#include <httplib.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "dandelionbay/store/host_json.hpp"
#include "dandelionbay/store/percent.hpp"

namespace dandelionbay {

namespace {

std::string path_of(std::string_view table, std::string_view key) {
    return absl::StrCat("/tables/", percent_encode(table), "/", percent_encode(key));
}

// An answer whose version can't be read counts as none: the write may have taken effect.
absl::StatusOr<std::uint64_t> version_of(const internal::http_answer& answer) {
    absl::string_view tag{answer.etag};
    std::uint64_t version = 0;
    if (!absl::ConsumePrefix(&tag, "\"") || !absl::ConsumeSuffix(&tag, "\"") || !absl::SimpleAtoi(tag, &version)) {
        return absl::UnavailableError(absl::StrCat("the platform sent the malformed ETag ", answer.etag));
    }
    return version;
}

absl::StatusOr<table_row> row_of(absl::StatusOr<internal::http_answer> answer) {
    if (!answer.ok()) {
        return answer.status();
    }
    const auto version = version_of(*answer);
    if (!version.ok()) {
        return version.status();
    }
    return table_row{std::move(answer->body), *version};
}

} // namespace

http_table_store::http_table_store(socket_address server, std::chrono::milliseconds time_limit)
    : caller_{std::move(server), time_limit} {}

absl::StatusOr<table_row> http_table_store::get(std::string_view table, std::string_view key) {
    return row_of(caller_.get(path_of(table, key)));
}

absl::StatusOr<std::optional<table_row>> http_table_store::get_unless(std::string_view table, std::string_view key,
                                                                      std::uint64_t known) {
    const auto tag = known != 0 ? absl::StrCat("\"", known, "\"") : std::string{};
    auto answer = caller_.get(path_of(table, key), tag);
    if (answer.ok() && answer->status == internal::not_modified) {
        return std::nullopt;
    }
    auto row = row_of(std::move(answer));
    if (!row.ok()) {
        return row.status();
    }
    return std::optional{*std::move(row)};
}

absl::StatusOr<std::uint64_t> http_table_store::put(std::string_view table, std::string_view key,
                                                    std::string_view value, std::uint64_t expected_version) {
    httplib::Request request;
    request.method = "PUT";
    request.path = path_of(table, key);
    request.body = value;
    request.set_header("Content-Type", "application/octet-stream");
    if (expected_version == 0) {
        request.set_header("If-None-Match", "*");
    } else {
        request.set_header("If-Match", absl::StrCat("\"", expected_version, "\""));
    }
    const auto answer = caller_.call(request);
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status != 200 && answer->status != 201) {
        return internal::error_of(*answer);
    }
    return version_of(*answer);
}

absl::StatusOr<std::vector<std::string>> http_table_store::list(std::string_view table) {
    const auto answer = caller_.get(absl::StrCat("/tables/", percent_encode(table)));
    if (!answer.ok()) {
        return answer.status();
    }
    const auto keys = nlohmann::json::parse(answer->body, nullptr, false);
    const auto is_string = [](const nlohmann::json& it) { return it.is_string(); };
    if (!keys.is_array() || !std::all_of(keys.begin(), keys.end(), is_string)) {
        return absl::UnavailableError("the platform sent a malformed list of keys");
    }
    std::vector<std::string> list;
    for (const auto& it : keys) {
        list.push_back(it.get<std::string>());
    }
    return list;
}

http_host_list::http_host_list(socket_address server, std::chrono::milliseconds time_limit)
    : caller_{std::move(server), time_limit} {}

absl::StatusOr<std::vector<host_entry>> http_host_list::read() {
    const auto answer = caller_.get("/hosts");
    if (!answer.ok()) {
        return answer.status();
    }
    auto hosts = hosts_from_json(answer->body);
    if (!hosts.ok()) {
        return absl::UnavailableError(hosts.status().message());
    }
    return hosts;
}

} // namespace dandelionbay
