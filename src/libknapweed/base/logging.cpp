// Writes events through log4cplus to one of the standard streams.

#include "base/logging.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>

#include <memory>

namespace knapweed
{

namespace
{

log4cplus::LogLevel levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

bool needsQuotes(const std::string &text)
{
    if (text.empty()) {
        return true;
    }
    for (const char character : text) {
        const unsigned char byte = static_cast<unsigned char>(character);
        if (byte <= ' ' || byte == '"' || byte == '=' || byte == 0x7f) {
            return true;
        }
    }
    return false;
}

std::string quoted(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void initializeLogging(const std::string &process, LogLevel level, LogStream stream)
{
    static log4cplus::Initializer initializer;
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(stream == LogStream::StandardError, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%qZ} %p " + process + " %m%n"));
    root.addAppender(appender);
    root.setLogLevel(levelOf(level));
}

void logEvent(LogLevel level, const char *event, std::initializer_list<LogField> fields)
{
    static log4cplus::Initializer initializer;
    static log4cplus::Logger root = log4cplus::Logger::getRoot();
    if (!root.isEnabledFor(levelOf(level)) || root.getAllAppenders().empty()) {
        return;
    }
    std::string line = event;
    for (const LogField &field : fields) {
        line += ' ';
        line += field.first;
        line += '=';
        line += needsQuotes(field.second) ? quoted(field.second) : field.second;
    }
    root.log(levelOf(level), line);
}

} // namespace knapweed
