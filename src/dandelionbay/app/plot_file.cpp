#include "dandelionbay/app/plot_file.hpp"

#include "absl/flags/flag.h"
#include "dandelionbay/plot/figures_page.hpp"

ABSL_FLAG(std::string, plot, "", "HTML file that gets charts of the figures");

namespace dandelionbay::app {

plot_file::plot_file() : path_{absl::GetFlag(FLAGS_plot)} {
    if (!path_.empty()) {
        file_.open(path_);
    }
}

bool plot_file::write(std::string_view title, const nlohmann::json& figures) {
    if (path_.empty()) {
        return true;
    }
    file_ << plot::figures_page(title, figures);
    file_.close();
    return !file_.fail();
}

} // namespace dandelionbay::app
