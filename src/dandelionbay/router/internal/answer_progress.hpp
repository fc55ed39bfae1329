#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "dandelionbay/wire/message.hpp"

namespace dandelionbay::internal {

/*! @brief Position in the answer of one run: what was passed on and what is missing. */
class answer_progress {
public:
    /*! @brief What to do with a piece. */
    enum class chunk_status : std::uint8_t {
        deliver,    //!< Pass the new bytes on.
        duplicate,  //!< Nothing new.
        gap,        //!< Something before it is missing.
        beyond_end, //!< It reaches beyond the announced end.
    };

    /*! @brief Takes the start. @return False if it was there already. */
    [[nodiscard]] bool accept_head() noexcept;

    /**
     * @brief Takes a piece.
     * @param in The piece.
     * @param fresh Receives the bytes that are new, for verdict deliver.
     */
    [[nodiscard]] chunk_status accept_chunk(const chunk& in, std::string& fresh);

    /*! @brief Takes the end. @param in The end. @return False if a different total was announced before. */
    [[nodiscard]] bool accept_end(const finish& in);

    /*! @brief Tells whether head, all bytes and the end are there. */
    [[nodiscard]] bool is_complete() const noexcept;

    /*! @brief Tells whether more bytes came than the end announces. */
    [[nodiscard]] bool is_overlong() const noexcept;

    /*! @brief Tells whether the start is there. */
    [[nodiscard]] bool has_head() const noexcept { return head_; }

    /*! @brief Bytes passed on. */
    [[nodiscard]] std::uint64_t offset() const noexcept { return offset_; }

    /*! @brief The end, if it has been announced. */
    [[nodiscard]] const std::optional<finish>& announced_end() const noexcept { return end_; }

private:
    bool head_{};
    std::uint64_t offset_{};
    std::optional<finish> end_;
};

} // namespace dandelionbay::internal
