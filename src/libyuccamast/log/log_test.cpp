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

/// A pipe whose reader reads only when the test does.
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

Test(line_writer, a_reader_that_stalls_delays_nobody_and_loses_are_counted) {
  Pipe pipe;
  const std::string line(200, 'x');
  constexpr int kLines = 5000;  // Far beyond the pipe and the bound.
  constexpr std::size_t kBound = 16U << 10U;
  std::uint64_t dropped = 0;
  {
    LineWriter writer(pipe.ends[1], kBound);
    for (int i = 0; i < kLines; ++i) {
      writer.Push(line);
    }
    dropped = writer.dropped();
    cr_expect_gt(dropped, kLines - 2 * (65536 + kBound) / line.size());
  }
  cr_expect_lt(pipe.ReadAll().size(), 65536U + 2 * kBound);
}

Test(line_writer, what_was_dropped_is_told_when_there_is_room_again) {
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

Test(log_rate, the_volume_stays_bounded_whatever_the_load) {
  int written = 0;
  constexpr int kCalls = 100'000;
  for (int i = 0; i < kCalls; ++i) {
    written += TakeLogToken(LogClass::kDecision) ? 1 : 0;
  }
  // The burst, and what the rate adds while the loop runs.
  cr_expect_geq(written, kDecisionsPerSecond * kLogBurstSeconds);
  cr_expect_lt(written, 10 * kDecisionsPerSecond * kLogBurstSeconds);
}

Test(trace, gathers_a_call_in_causal_order_without_clocks) {
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
