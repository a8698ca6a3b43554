#include "siskinrack/support/event_log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <thread>

#include "siskinrack/support/log_rate_limiter.h"

namespace siskinrack::support {
namespace {

// Guards against log injection: a value from the network must not add a line or a key=value pair.
TEST(EventLog, ValueWithNewlineStaysOnOneLine) {
  const std::string line =
      FormatEvent({7, 1}, "node-1", log_level::kInfo, "refused",
                  {{"reason", "x\nhlc=1.0 process=other"}, {"next", std::string("a=b")}});
  EXPECT_EQ(line.find('\n'), std::string::npos);
  EXPECT_EQ(line,
            "hlc=7.1 process=node-1 level=info event=refused "
            "reason=\"x\\nhlc=1.0 process=other\" next=\"a=b\"");
}

TEST(EventLog, QuotesAndControlBytesAreEscaped) {
  const std::string line =
      FormatEvent({1, 0}, "n", log_level::kWarn, "e", {{"v", std::string("\"\\\t\x80")}});
  EXPECT_EQ(line, "hlc=1.0 process=n level=warn event=e v=\"\\\"\\\\\\x09\\x80\"");
}

/// Writes more than the capacity of a pipe without a reader, then drains the pipe and writes one
/// more line. SIGALRM ends the process if a write blocks.
[[noreturn]] void WriteWithoutReader(int read_end) {
  constexpr unsigned kTimeoutSeconds = 10;
  constexpr int kLines = 1'500;
  alarm(kTimeoutSeconds);
  hybrid_clock clock;
  event_log log("n", clock);
  const std::string value(200, 'v');
  for (int i = 0; i < kLines; ++i) log.Info("routine", {{"value", value}});
  fcntl(read_end, F_SETFL, O_NONBLOCK);
  std::array<char, 4096> buffer{};
  while (read(read_end, buffer.data(), buffer.size()) > 0) {
  }
  log.Info("last", {});
  _exit(0);
}

// Guards against a process that blocks because nothing reads its log.
TEST(EventLog, StalledReaderDoesNotBlockTheWriter) {
  std::array<int, 2> ends{};
  ASSERT_EQ(pipe(ends.data()), 0);
  const pid_t child = fork();
  if (child == 0) {
    dup2(ends[1], STDOUT_FILENO);
    WriteWithoutReader(ends[0]);
  }
  close(ends[1]);
  int status = 0;
  ASSERT_EQ(waitpid(child, &status, 0), child);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
  std::string rest(4096, '\0');
  const ssize_t size = read(ends[0], rest.data(), rest.size());
  close(ends[0]);
  rest.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  EXPECT_NE(rest.find("event=log_lines_dropped"), std::string::npos) << rest;
  EXPECT_NE(rest.find("event=last"), std::string::npos) << rest;
}

// Guards against a line longer than PIPE_BUF, which can block although the pipe is writable.
TEST(EventLog, LongLineIsCut) {
  const std::string line =
      FormatEvent({1, 0}, "n", log_level::kInfo, "e", {{"v", std::string(100'000, 'x')}});
  EXPECT_LE(line.size(), 4'000U);
}

// Guards against a burst of routine lines that suppresses warnings, and against an unlimited log
// rate.
TEST(LogRateLimiter, RoutineLinesLeaveRoomForWarnings) {
  log_rate_limiter limiter;
  const log_rate_limiter::time_point now{std::chrono::hours(1)};
  int routine = 0;
  while (limiter.Allow(log_rate_limiter::line_kind::kRoutine, now)) ++routine;
  EXPECT_LE(routine, 2'000);
  EXPECT_TRUE(limiter.Allow(log_rate_limiter::line_kind::kWarning, now));
  EXPECT_FALSE(limiter.Allow(log_rate_limiter::line_kind::kRoutine, now));
  EXPECT_TRUE(
      limiter.Allow(log_rate_limiter::line_kind::kRoutine, now + std::chrono::milliseconds(100)));
}

}  // namespace
}  // namespace siskinrack::support
