// Structured logs over log4cplus: one event a line, with a stable event name and named fields. Callers must not pass secrets.
#pragma once

#include <initializer_list>
#include <string>
#include <utility>

namespace knapweed
{

enum class LogLevel { Debug, Info, Warning, Error };

using LogField = std::pair<const char *, std::string>;

enum class LogStream { StandardError, StandardOutput };

/// Sets the process's name in each line, the lowest level written and where lines go.
void initializeLogging(const std::string &process, LogLevel level, LogStream stream = LogStream::StandardError);

/// Writes "time level process event key=value ..."; values with blanks or quotes are quoted as JSON strings.
void logEvent(LogLevel level, const char *event, std::initializer_list<LogField> fields = {});

} // namespace knapweed
