#include "dandelionbay/base/event_log.hpp"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <atomic>

#include "absl/strings/str_cat.h"

namespace dandelionbay {

namespace {

log4cxx::LevelPtr level_of(log_level level) {
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warn:
        return log4cxx::Level::getWarn();
    case log_level::error:
        break;
    }
    return log4cxx::Level::getError();
}

log4cxx::AppenderPtr appender_for(const std::string& output) {
    const auto layout = std::make_shared<log4cxx::JSONLayout>();
    if (output == "stderr") {
        return std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    }
    if (output == "stdout") {
        return std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    }
    return std::make_shared<log4cxx::FileAppender>(layout, output, true);
}

// Loggers are global by name; a number keeps the logs of several nodes in one process apart.
std::string next_name() {
    static std::atomic<std::uint64_t> last{0};
    return absl::StrCat("dandelionbay.", ++last);
}

} // namespace

class event_log::state {
public:
    explicit state(const event_log_options& it)
        : options{it}, logger{log4cxx::Logger::getLogger(next_name())}, appender{appender_for(it.output)} {
        logger->setAdditivity(false);
        logger->setLevel(level_of(it.level));
        logger->addAppender(appender);
    }

    const event_log_options options;
    const log4cxx::LoggerPtr logger;
    const log4cxx::AppenderPtr appender;
};

event_log::event_log(const event_log_options& options) : state_{std::make_unique<state>(options)} {}

event_log::~event_log() {
    state_->logger->removeAllAppenders();
}

void event_log::write(log_level level, std::string_view event, const fields& values, const request_id* request) {
    const auto importance = level_of(level);
    if (!state_->logger->isEnabledFor(importance)) {
        return;
    }
    log4cxx::MDC::clear();
    log4cxx::MDC::put("host", state_->options.host.value);
    log4cxx::MDC::put("zone", state_->options.zone.value);
    if (request != nullptr) {
        log4cxx::MDC::put("request",
                          absl::StrCat(request->router.value, "-", request->incarnation, "-", request->sequence));
    }
    for (const auto& [name, value] : values) {
        log4cxx::MDC::put(name, value);
    }
    state_->logger->forcedLog(importance, std::string{event});
    log4cxx::MDC::clear();
}

} // namespace dandelionbay
