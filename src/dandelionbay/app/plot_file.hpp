#pragma once

#include <fstream>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace dandelionbay::app {

/*! @brief File that the flag --plot names; it is opened before the run, so that a long run isn't lost. */
class plot_file {
public:
    /*! @brief Opens the file, if the flag is set. */
    plot_file();

    /*! @brief Tells whether the file can be written or none is wanted. */
    [[nodiscard]] bool usable() const noexcept { return path_.empty() || file_.is_open(); }

    /*! @brief Name of the file; empty if none is wanted. */
    [[nodiscard]] const std::string& path() const noexcept { return path_; }

    /*! @brief Writes the page, if wanted. @param title Its title. @param figures Of the run. @return False on errors.
     */
    [[nodiscard]] bool write(std::string_view title, const nlohmann::json& figures);

private:
    std::string path_;
    std::ofstream file_;
};

} // namespace dandelionbay::app
