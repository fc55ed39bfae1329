#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionbay::internal {

/*! @brief Piece of an answer. */
struct answer_piece {
    std::uint64_t offset{};
    std::string data{};
    std::uint32_t tokens{}; //!< Number of tokens whose last byte is in this piece.

    friend bool operator==(const answer_piece&, const answer_piece&) = default;
};

/*! @brief Buffer of the last bytes of an answer, from which a router resumes after its link broke. */
class answer_buffer {
    struct token_mark {
        std::uint64_t end{}; //!< Offset after the last byte of a piece.
        std::uint32_t tokens{};
    };

public:
    /*! @brief Number of bytes that can be replayed. */
    static constexpr std::uint64_t capacity = 256U << 10U;

    /*! @brief Maximum number of bytes in a piece that replay() returns; keeps frames below their size limit. */
    static constexpr std::uint64_t max_piece_size = 64U << 10U;

    /*! @brief Appends bytes. @param data The bytes. @param tokens Number of tokens in data. */
    void append(std::string_view data, std::uint32_t tokens);

    /**
     * @brief Returns the answer from an offset on.
     * @param offset Offset of the first byte.
     * @return The pieces up to the end, or nullopt if the offset is before first_offset() or after the end.
     */
    [[nodiscard]] std::optional<std::vector<answer_piece>> replay(std::uint64_t offset) const;

    /*! @brief Returns the number of bytes appended so far. */
    [[nodiscard]] std::uint64_t total_bytes() const noexcept { return total_; }

    /*! @brief Returns the number of tokens appended so far. */
    [[nodiscard]] std::uint32_t total_tokens() const noexcept { return tokens_; }

    /*! @brief Returns the offset of the first byte that can be replayed. */
    [[nodiscard]] std::uint64_t first_offset() const noexcept { return total_ > capacity ? total_ - capacity : 0; }

    /*! @brief Returns the number of bytes in the buffer, at most twice the capacity. */
    [[nodiscard]] std::size_t size() const noexcept { return bytes_.size(); }

private:
    std::string bytes_{};            //!< Up to twice the capacity, so that old bytes are seldom removed.
    std::deque<token_mark> marks_{}; //!< Ends of the pieces that contain tokens.
    std::uint64_t total_{};
    std::uint32_t tokens_{};
};

} // namespace dandelionbay::internal
