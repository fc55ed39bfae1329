#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace dandelionbay {

/*! @brief Cuts a stream of server-sent events into whole events. */
class event_splitter {
public:
    /**
     * @brief Appends bytes and takes out the events that are whole.
     * @param data Any number of bytes.
     * @param take Called for each event with its bytes, blank line included.
     */
    void feed(std::string_view data, const std::function<void(std::string_view)>& take);

    /*! @brief Bytes of the unfinished event. */
    [[nodiscard]] std::size_t buffered() const noexcept { return rest_.size(); }

private:
    std::string rest_;
    std::size_t searched_{};
};

/*! @brief Data of an event. @param event Its bytes. @return Its data lines joined by newlines; empty if none. */
[[nodiscard]] std::string event_data(std::string_view event);

/*! @brief Data of the event that ends a complete stream of a model engine. */
inline constexpr std::string_view end_of_stream = "[DONE]";

/*! @brief Tokens of a stream as a model engine reports or sends them. */
class token_count {
public:
    /*! @brief Counts an event. @param data Its data. @return Output tokens that it adds. */
    std::uint32_t add(std::string_view data);

    /*! @brief Input tokens by the usage field; zero without one. */
    [[nodiscard]] std::uint32_t input() const noexcept { return input_; }

private:
    std::uint32_t output_{};
    std::uint32_t input_{};
};

/*! @brief Joins the events of a stream into the answer that a caller without "stream" expects. */
class completion_builder {
    struct choice {
        std::string role{"assistant"};
        std::string content{};
        bool has_content{};
        nlohmann::json finish_reason{};
        std::map<std::uint32_t, nlohmann::json> tool_calls{};
    };

    void add_choice(const nlohmann::json& part);

public:
    /*! @brief Adds an event. @param data Its data. @return False if it is not an event of a completion stream. */
    [[nodiscard]] bool add(std::string_view data);

    /*! @brief The joined answer. @return JSON text of a chat completion. */
    [[nodiscard]] std::string text() const;

private:
    nlohmann::json base_ = nlohmann::json::object();
    nlohmann::json usage_{};
    std::map<std::uint32_t, choice> choices_;
};

} // namespace dandelionbay
