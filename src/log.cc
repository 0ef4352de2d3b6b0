#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <atomic>
#include <optional>

#include "event_log_func.h"
#include "log_func.h"
#include "text_func.h"

namespace bw {
namespace {

constexpr size_t kPartCount = static_cast<size_t>(Part::kEnd);
constexpr std::array<const char*, kPartCount> kPartNames = {
    "kernel", "config", "member", "log",    "mesh",
    "gate",   "placer", "worker", "runner", "desk"};
constexpr std::array<const char*, 4> kLevelNames = {"debug", "info", "warn",
                                                    "error"};
constexpr std::array<log4cplus::LogLevel, 4> kLevels = {
    log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
    log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};

std::atomic<bool> structured{false};

const log4cplus::Logger& GetLogger(Part part) {
  static const auto loggers = [] {
    std::array<log4cplus::Logger, kPartCount> out;
    for (size_t n = 0; n < kPartCount; ++n) {
      out[n] = log4cplus::Logger::getInstance(kPartNames[n]);
    }
    return out;
  }();
  return loggers[static_cast<size_t>(part)];
}

template <size_t N>
std::optional<size_t> FindIndex(const std::array<const char*, N>& names,
                                const std::string& name) {
  for (size_t n = 0; n < N; ++n) {
    if (name == names[n]) {
      return n;
    }
  }
  return std::nullopt;
}

}  // namespace

bool SetUpLog(const std::string& levels) {
  static log4cplus::Initializer initializer;
  static bool appended = false;
  auto root = log4cplus::Logger::getRoot();
  if (!appended) {
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(/*logToStdErr=*/true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "%D{%H:%M:%S.%q} %-5p [%c] %m%n"));
    root.addAppender(appender);
    appended = true;
  }
  root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
  for (const auto& it : SplitList(levels, ',')) {
    const auto n = it.find('=');
    auto level =
        FindIndex(kLevelNames, n == std::string::npos ? it : it.substr(n + 1));
    if (!level) {
      return false;
    }
    if (n == std::string::npos) {
      root.setLogLevel(kLevels[*level]);
      continue;
    }
    auto part = FindIndex(kPartNames, it.substr(0, n));
    if (!part) {
      return false;
    }
    log4cplus::Logger logger = GetLogger(static_cast<Part>(*part));
    logger.setLogLevel(kLevels[*level]);
  }
  return true;
}

void UseStructuredOutput() {
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/false, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  root.addAppender(appender);
  structured = true;
}

const char* PartName(Part part) {
  return kPartNames[static_cast<size_t>(part)];
}

bool IsLogEnabled(Part part, LogLevel level) {
  return GetLogger(part).isEnabledFor(kLevels[static_cast<size_t>(level)]);
}

void WriteOrQueueLog(Part part, LogLevel level, const std::string& line) {
  if (structured) {
    QueueLogLine(line);
  } else {
    WriteLog(part, level, line);
  }
}

void WriteLog(Part part, LogLevel level, const std::string& line) {
  GetLogger(part).forcedLog(kLevels[static_cast<size_t>(level)], line);
}

}  // namespace bw
