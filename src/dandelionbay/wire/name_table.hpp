#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionbay::internal {

/**
 * @brief Numbers for the names in the frames of one direction of a link.
 *
 * Both sides of the link keep one and add the same names in the same order, so they number them alike.
 */
class name_table {
    [[nodiscard]] std::vector<std::uint16_t>::const_iterator position(std::string_view name) const noexcept;

public:
    /*! @brief Most names; room for the 1,000 teams of design section 1.4 and the hosts, services and pools. */
    static constexpr std::size_t most = 2'048;

    /*! @brief Most bytes of all names. A router has three tables for each of 349 links, 47 MB of content at most. */
    static constexpr std::size_t most_bytes = std::size_t{32} << 10U;

    /*! @brief Longest name in bytes; the configuration accepts no longer ones. */
    static constexpr std::size_t longest = 100;

    /*! @brief Finds a name. @param name It. @return Its number, if it has one. */
    [[nodiscard]] std::optional<std::size_t> find(std::string_view name) const noexcept;

    /*! @brief Name with a number. @param number It. @return The name, valid until the table changes, if any. */
    [[nodiscard]] std::optional<std::string_view> at(std::size_t number) const noexcept;

    /**
     * @brief Gives a name the next number.
     * @param name The name.
     * @return False if it is empty, too long or known, or if the table is full; it then has no new number.
     */
    [[nodiscard]] bool add(std::string_view name);

    /*! @brief Number of names. */
    [[nodiscard]] std::size_t size() const noexcept { return ends_.size(); }

    /*! @brief Forgets the names that were added last. @param count How many stay; at most size(). */
    void truncate(std::size_t count);

private:
    std::string text_; //!< All names, in the order of their numbers.
    std::vector<std::uint32_t> ends_;
    std::vector<std::uint16_t> sorted_; //!< Numbers in the order of the names.
};

} // namespace dandelionbay::internal
