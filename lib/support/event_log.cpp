#include "siskinrack/support/event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace siskinrack::support {
namespace {

/// Below PIPE_BUF (4,096 bytes on Linux) including the line end: a writable pipe accepts that many
/// bytes without blocking.
constexpr std::size_t kMaxLineBytes = 4'000;

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warn", "error"};

/// Returns true if `c` is allowed in an unquoted value.
bool IsPlain(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte > ' ' && byte < 0x7f && c != '"' && c != '\\' && c != '=';
}

void AppendEscaped(std::string& line, char c) {
  constexpr std::string_view kHex = "0123456789abcdef";
  const auto byte = static_cast<unsigned char>(c);
  if (c == '"' || c == '\\') {
    line += '\\';
    line += c;
  } else if (c == '\n') {
    line += "\\n";
  } else if (byte < ' ' || byte >= 0x7f) {
    line += "\\x";
    line += kHex[byte >> 4U];
    line += kHex[byte & 0x0fU];
  } else {
    line += c;
  }
}

void AppendValue(std::string& line, std::string_view value) {
  if (!value.empty() && std::all_of(value.begin(), value.end(), IsPlain)) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) AppendEscaped(line, c);
  line += '"';
}

/// Returns the logger that writes to standard output; initializes log4cplus on the first call.
log4cplus::Logger& GetRootLogger() {
  static log4cplus::Initializer initializer;
  static log4cplus::Logger logger = [] {
    auto root = log4cplus::Logger::getRoot();
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(false, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
    root.addAppender(appender);
    root.setLogLevel(log4cplus::ALL_LOG_LEVEL);
    return root;
  }();
  return logger;
}

/// Returns true if standard output accepts a line without blocking.
bool IsOutputWritable() {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
}

log4cplus::LogLevel ToLog4cplus(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case log_level::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case log_level::kError:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

}  // namespace

std::string FormatEvent(hybrid_time time, std::string_view process, log_level level,
                        std::string_view event, std::initializer_list<event_field> fields) {
  std::string line = "hlc=" + time.ToText() + " process=";
  AppendValue(line, process);
  line += " level=";
  line += kLevelNames.at(static_cast<std::size_t>(level));
  line += " event=";
  AppendValue(line, event);
  for (const event_field& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value);
  }
  if (line.size() > kMaxLineBytes) line.resize(kMaxLineBytes);
  return line;
}

event_log::event_log(std::string process, hybrid_clock& clock, log_level level,
                     std::size_t recent_events)
    : process_(std::move(process)), clock_(clock), level_(level), recent_events_(recent_events) {
  GetRootLogger();
}

void event_log::Write(log_level level, std::string_view event,
                      std::initializer_list<event_field> fields) {
  if (level < level_) return;
  const std::lock_guard lock(mutex_);
  const bool writable = PrepareWrite(level);
  if (!writable) {
    ++dropped_;
    ++unreported_drops_;
    if (recent_events_ == 0) return;
  }
  std::string line = FormatEvent(clock_.Tick(), process_, level, event, fields);
  if (writable) GetRootLogger().forcedLog(ToLog4cplus(level), line);
  if (recent_events_ == 0) return;
  recent_.push_back(std::move(line));
  if (recent_.size() > recent_events_) recent_.pop_front();
}

bool event_log::PrepareWrite(log_level level) {
  const auto kind = level >= log_level::kWarn ? log_rate_limiter::line_kind::kWarning
                                              : log_rate_limiter::line_kind::kRoutine;
  if (!IsOutputWritable() || !limiter_.Allow(kind, std::chrono::steady_clock::now())) return false;
  if (unreported_drops_ == 0) return true;
  GetRootLogger().forcedLog(log4cplus::WARN_LOG_LEVEL,
                            FormatEvent(clock_.Tick(), process_, log_level::kWarn,
                                        "log_lines_dropped", {{"count", unreported_drops_}}));
  unreported_drops_ = 0;
  return IsOutputWritable();
}

std::uint64_t event_log::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

std::vector<std::string> event_log::Recent() const {
  const std::lock_guard lock(mutex_);
  return {recent_.begin(), recent_.end()};
}

}  // namespace siskinrack::support
