#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "dandelionbay/wire/message.hpp"

namespace dandelionbay::internal {

/*! @brief Progress of one run's answer: which parts have been received in order. */
class answer_progress {
public:
    /*! @brief Result of accept_chunk(). */
    enum class chunk_status : std::uint8_t {
        deliver,    //!< The chunk has new bytes that can be forwarded.
        duplicate,  //!< The chunk has no new bytes.
        gap,        //!< The head or bytes before the chunk are missing.
        beyond_end, //!< The chunk extends beyond the announced end.
    };

    /*! @brief Records the head. @return False if it was received before. */
    [[nodiscard]] bool accept_head() noexcept;

    /**
     * @brief Records a chunk.
     * @param in The chunk.
     * @param new_bytes Receives the new bytes if the result is deliver.
     */
    [[nodiscard]] chunk_status accept_chunk(const chunk& in, std::string& new_bytes);

    /*! @brief Records the end. @param in The message. @return False if a different total was announced before. */
    [[nodiscard]] bool accept_end(const finish& in);

    /*! @brief Returns whether the head, all bytes and the end have been received. */
    [[nodiscard]] bool is_complete() const noexcept;

    /*! @brief Returns whether more bytes were received than the end announces. */
    [[nodiscard]] bool is_overlong() const noexcept;

    /*! @brief Returns whether the head has been received. */
    [[nodiscard]] bool has_head() const noexcept { return has_head_; }

    /*! @brief Returns the number of bytes received in order. */
    [[nodiscard]] std::uint64_t offset() const noexcept { return offset_; }

    /*! @brief Returns the end, if it has been announced. */
    [[nodiscard]] const std::optional<finish>& announced_end() const noexcept { return end_; }

private:
    bool has_head_{};
    std::uint64_t offset_{};
    std::optional<finish> end_;
};

} // namespace dandelionbay::internal
