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
    std::uint32_t tokens{}; //!< Tokens whose last byte is in this piece.

    friend bool operator==(const answer_piece&, const answer_piece&) = default;
};

/*! @brief The last bytes of an answer, kept for routers that lost their link. */
class answer_buffer {
    struct token_mark {
        std::uint64_t end{}; //!< Offset behind the last byte of a piece.
        std::uint32_t tokens{};
    };

public:
    /*! @brief Bytes that can be sent again. */
    static constexpr std::uint64_t capacity = 256U << 10U;

    /*! @brief Largest piece that replay() returns, so that no frame becomes too long. */
    static constexpr std::uint64_t max_piece_size = 64U << 10U;

    /*! @brief Adds bytes. @param data The bytes. @param tokens Tokens in them. */
    void append(std::string_view data, std::uint32_t tokens);

    /**
     * @brief Reads the answer again from an offset.
     * @param offset Offset of the first byte wanted.
     * @return The pieces up to the end, or nothing if the offset is below the buffer or behind the end.
     */
    [[nodiscard]] std::optional<std::vector<answer_piece>> replay(std::uint64_t offset) const;

    /*! @brief Bytes of the whole answer so far. */
    [[nodiscard]] std::uint64_t total_bytes() const noexcept { return total_; }

    /*! @brief Tokens of the whole answer so far. */
    [[nodiscard]] std::uint32_t total_tokens() const noexcept { return tokens_; }

    /*! @brief Offset of the first byte that can be sent again. */
    [[nodiscard]] std::uint64_t first_offset() const noexcept { return total_ > capacity ? total_ - capacity : 0; }

    /*! @brief Bytes of memory in use for the answer. */
    [[nodiscard]] std::size_t size() const noexcept { return bytes_.size(); }

private:
    std::string bytes_{};            //!< Up to twice the capacity, so that old bytes are removed rarely.
    std::deque<token_mark> marks_{}; //!< Ends of the pieces that carry tokens.
    std::uint64_t total_{};
    std::uint32_t tokens_{};
};

} // namespace dandelionbay::internal
