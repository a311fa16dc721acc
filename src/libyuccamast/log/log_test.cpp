#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <thread>

#include "log/line_writer.h"
#include "log/log.h"
#include "log/trace.h"

using namespace yuccamast;  // NOLINT

namespace {

/// A pipe that is read only when the test calls `ReadAll`.
struct Pipe {
  Pipe() { cr_assert_eq(::pipe(ends.data()), 0); }
  ~Pipe() {
    ::close(ends[0]);
    ::close(ends[1]);
  }

  std::string ReadAll() {
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> buffer{};
    for (ssize_t got = 0;
         (got = ::read(ends[0], buffer.data(), buffer.size())) > 0;) {
      text.append(buffer.data(), static_cast<std::size_t>(got));
    }
    return text;
  }

  std::array<int, 2> ends{};
};

}  // namespace

// Nothing reads the pipe, so the writer thread stalls. Push must go on without
// waiting, memory must stay bounded, and the lost lines must be counted.
Test(line_writer, stalled_reader_does_not_block_and_losses_are_counted) {
  Pipe pipe;
  const std::string line(200, 'x');
  // Far more than the pipe and the buffer hold.
  constexpr int kLineCount = 5000;
  constexpr std::size_t kMaxBytes = 16U << 10U;
  std::uint64_t dropped = 0;
  {
    LineWriter writer(pipe.ends[1], kMaxBytes);
    for (int i = 0; i < kLineCount; ++i) {
      writer.Push(line);
    }
    dropped = writer.dropped();
    cr_expect_gt(dropped, kLineCount - 2 * (65536 + kMaxBytes) / line.size());
  }
  cr_expect_lt(pipe.ReadAll().size(), 65536U + 2 * kMaxBytes);
}

// A line longer than the buffer is dropped; the next line that fits must be
// preceded by the number of lines dropped.
Test(line_writer, dropped_lines_are_reported_before_the_next_line) {
  Pipe pipe;
  LineWriter writer(pipe.ends[1], 1000);
  writer.Push(std::string(2000, 'x'));
  writer.Push("after");
  for (int i = 0; i < 100; ++i) {
    const std::string text = pipe.ReadAll();
    if (!text.empty()) {
      cr_expect_eq(text, "level=warning event=log_dropped lines=1\nafter\n");
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  cr_expect_fail("nothing was written");
}

// Guards against a log that grows with the number of refusals: of 100,000
// attempts within a short time, about one burst may pass.
Test(log_rate, flood_of_refusals_is_limited_to_about_one_burst) {
  int written = 0;
  constexpr int kCalls = 100'000;
  for (int i = 0; i < kCalls; ++i) {
    written += TakeLogToken(LogClass::kDecision) ? 1 : 0;
  }
  // The burst, plus the tokens that are added while the loop runs.
  cr_expect_geq(written, kDecisionsPerSecond * kLogBurstSeconds);
  cr_expect_lt(written, 10 * kDecisionsPerSecond * kLogBurstSeconds);
}

// The clocks of the two nodes disagree, one call id is quoted, and a quoted
// value contains the id of another call.
Test(trace, lines_of_a_call_are_sorted_causally_without_clocks) {
  const std::vector<NodeLog> logs = {
      {"entry",
       {"time=9 node=a event=call_moved call=c1 reason=queue_full attempt=1",
        "time=9 node=a event=call_refused call=c1 reason=peer_lost attempt=2",
        "time=9 node=a event=call_refused call=c2 reason=no_rule attempt=0"}},
      {"exit",
       {R"(time=1 node=b event=upstream_fault call="c1" attempt=2)",
        R"(time=2 node=c event=offer_refused call=c1 x="a call=c2" attempt=1)"}},
  };
  const auto lines = TraceCall("c1", logs);
  cr_assert_eq(lines.size(), 4U);
  cr_expect_eq(FieldOfLine(lines[0], "event"), "offer_refused");
  cr_expect_eq(FieldOfLine(lines[1], "event"), "call_moved");
  cr_expect_eq(FieldOfLine(lines[2], "event"), "upstream_fault");
  cr_expect_eq(FieldOfLine(lines[3], "event"), "call_refused");
}
