#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include "yuccamast/admission/admission.h"
#include "yuccamast/admission/return_ramp.h"

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kBegin{std::chrono::hours(1)};

/// The most times in any window of one second. `times` is sorted here.
std::size_t BusiestSecond(std::vector<TimePoint> times) {
  std::ranges::sort(times);
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= std::chrono::seconds(1)) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

/// An upstream that is cold in a span of time, the health page of which replies
/// after a delay, and an exit that always has calls to start.
struct ColdUpstream {
  TimePoint cold_from = kBegin + milliseconds(2345);
  TimePoint cold_until = kBegin + milliseconds(5345);
  milliseconds health_delay{2};
  bool health_silent = false;    ///< Says nothing while it is cold.
  milliseconds connect_time{0};  ///< Longest; the real one is random.

  /// Runs the exit's limiter from `begin` to `end` in steps of 1 ms.
  void Run(ColdStartLimiter& limiter, TimePoint begin, TimePoint end) {
    std::deque<std::pair<TimePoint, TimePoint>> probes;  // Sent, answered.
    std::vector<TimePoint> connected;
    for (TimePoint now = begin; now < end; now += milliseconds(1)) {
      const bool cold = now >= cold_from && now < cold_until;
      if (!probes.empty() && now >= probes.front().second) {
        const TimePoint asked_at = probes.front().first;
        probes.pop_front();
        if (cold && !health_silent) {
          limiter.OnCold(cold_until);
        } else if (!cold) {
          limiter.OnWarm(asked_at, now);
        }
      }
      const bool periodic = (now - kBegin) % milliseconds(100) == Duration();
      if (probes.empty() && (periodic || limiter.NeedsProof(now))) {
        probes.emplace_back(now, now + health_delay);
      }
      for (int i = 0; i < 3 && limiter.WaitFor(0, now) == Duration(); ++i) {
        limiter.OnStart();
        connected.push_back(
            now + milliseconds(random() % (connect_time.count() + 1)));
      }
      std::erase_if(connected, [&](TimePoint at) {
        if (at > now) {
          return false;
        }
        limiter.OnSent(now);
        (cold ? sent_cold : sent_warm).push_back(now);
        return true;
      });
    }
  }

  std::mt19937 random{5};
  std::vector<TimePoint> sent_cold;
  std::vector<TimePoint> sent_warm;
};

}  // namespace

// Load: full rate when the upstream turns cold without notice. Guards against
// the calls that are sent before the health page has told it, whether it is
// quick, slow or silent, and while connecting takes long.
Test(cold_start, no_second_has_more_starts_than_a_cold_upstream_bears) {
  for (const double limit : {0.5, 1.0, 12.0, 19.0}) {
    for (const int delay_ms : {1, 20, 450}) {
      for (const bool silent : {false, true}) {
        for (const int connect_ms : {0, 300}) {
          ColdUpstream upstream;
          upstream.health_delay = milliseconds(delay_ms);
          upstream.health_silent = silent;
          upstream.connect_time = milliseconds(connect_ms);
          ColdStartLimiter limiter;
          limiter.SetLimit(limit);
          upstream.Run(limiter, kBegin, kBegin + std::chrono::seconds(8));
          const std::size_t busiest = BusiestSecond(upstream.sent_cold);
          cr_expect_leq(busiest, std::max(1.0, limit),
                        "limit %f delay %d silent %d connect %d: %zu", limit,
                        delay_ms, silent, connect_ms, busiest);
          cr_expect_geq(upstream.sent_cold.size(), 2 * limit, "not used");
        }
      }
    }
  }
}

// Load: full rate at a warm upstream. Guards against a limit that holds back
// calls although the health page answers.
Test(cold_start, warm_upstream_that_answers_probes_is_not_held_back) {
  ColdUpstream upstream;
  upstream.cold_from = upstream.cold_until;
  ColdStartLimiter limiter;
  limiter.SetLimit(19);
  upstream.Run(limiter, kBegin, kBegin + std::chrono::seconds(4));
  cr_expect_geq(upstream.sent_warm.size() / 4, 1000U);
}

// Failure: the exit restarts beside a cold upstream that it knows nothing of.
// Guards against a second full second's worth of starts: both processes
// together exceed the limit by no more than a fifth.
Test(cold_start, restart_of_the_exit_does_not_double_the_starts) {
  for (const int down_ms : {0, 100, 700}) {
    ColdUpstream upstream;
    upstream.cold_from = kBegin;
    upstream.cold_until = kBegin + std::chrono::hours(1);
    ColdStartLimiter first;
    first.SetLimit(19);
    const TimePoint killed_at = kBegin + milliseconds(2200);
    upstream.Run(first, kBegin, killed_at);
    ColdStartLimiter second;
    second.OnRestart(killed_at + milliseconds(down_ms));
    second.SetLimit(19);
    upstream.Run(second, killed_at + milliseconds(down_ms),
                 killed_at + std::chrono::seconds(3));
    cr_expect_leq(BusiestSecond(upstream.sent_cold), 1.2 * 19);
  }
}

// Failure: upstream and exit lose power together. Guards against a second that
// is lost, although no other process can have sent calls to the cold upstream.
Test(cold_start, upstream_that_is_cold_since_the_restart_gets_the_whole_limit) {
  for (const int cold_for_ms : {2950, 2000}) {
    ColdStartLimiter limiter;
    limiter.OnRestart(kBegin);
    limiter.SetLimit(20, std::chrono::seconds(3));
    cr_expect_eq(limiter.StartsLeft(kBegin), 4U);
    limiter.OnCold(kBegin + milliseconds(cold_for_ms));
    cr_expect_eq(limiter.StartsLeft(kBegin), cold_for_ms > 2900 ? 20U : 4U);
  }
}

// Failure: another upstream, which is cold, follows at the address, or the
// limit changes by a new configuration while the upstream is cold.
Test(cold_start, a_change_of_the_limit_keeps_the_starts_in_the_window) {
  ColdStartLimiter limiter;
  const auto start = [&](int count) {
    for (int i = 0; i < count; ++i) {
      limiter.OnStart();
      limiter.OnSent(kBegin);
    }
  };
  start(30);
  cr_expect(limiter.WaitFor(0, kBegin) == Duration(), "no limit, no wait");
  limiter.SetLimit(19);
  limiter.OnCold(kBegin + std::chrono::seconds(3));
  cr_expect_eq(limiter.StartsLeft(kBegin), 0U);
  cr_expect(limiter.WaitFor(0, kBegin) == ColdStartLimiter::kWindow);
  const TimePoint later = kBegin + ColdStartLimiter::kWindow;
  cr_expect_eq(limiter.StartsLeft(later), 19U);
  ColdStartLimiter unconfigured;
  unconfigured.OnCold(later);
  cr_expect_eq(unconfigured.StartsLeft(kBegin), 4U, "not configured, but cold");
  limiter.SetLimit(0);
  limiter.OnCold(later + ColdStartLimiter::kWindow);
  cr_expect(limiter.WaitFor(99, later) == Duration(),
            "configured as unlimited");
  limiter.OnWarm(later, later);
  cr_expect(limiter.WaitFor(99, later) == Duration());
}

// Load: more calls than a cold upstream bears. Guards against calls that wait
// for a turn after their deadline, and against a call that ends before its
// request is written and then counts for ever.
Test(cold_start, calls_beyond_the_limit_wait_or_are_refused_with_proof) {
  AdmissionLimits limits;
  Admission admission(limits);
  admission.cold_starts().SetLimit(2);
  admission.cold_starts().OnCold(kBegin + std::chrono::seconds(3));
  const auto offer = [&](CallTicket ticket, milliseconds deadline) {
    AdmissionRequest request;
    request.ticket = ticket;
    request.deadline = kBegin + deadline;
    request.objective = request.deadline;
    return admission.Offer(request, kBegin);
  };
  cr_expect(offer(1, milliseconds(1800)).verdict == AdmissionVerdict::kStart);
  cr_expect(offer(2, milliseconds(1800)).verdict == AdmissionVerdict::kStart);
  admission.OnSent(1, kBegin);
  cr_expect(offer(3, milliseconds(1800)).verdict == AdmissionVerdict::kQueued);
  const AdmissionDecision refused = offer(4, milliseconds(600));
  cr_expect(refused.verdict == AdmissionVerdict::kRefused);
  cr_expect(refused.reason == RefusalReason::kColdLimit);
  cr_expect(admission.ExpectedWait(kBegin) >= std::chrono::seconds(1));
  cr_expect_not(admission.StartNext(kBegin).has_value());
  admission.Release(2, std::nullopt);
  cr_expect(admission.StartNext(kBegin) == CallTicket{3});
}

// Load: an upstream takes load again. Guards against a jump to the full rate,
// and against a ramp that goes on although calls have become slow.
Test(return_ramp, rate_grows_in_steps_while_calls_are_as_fast_as_usual) {
  ReturnRamp ramp;
  ramp.Begin(kBegin);
  cr_expect_not(ramp.rate().has_value(), "no ramp without a base");
  ramp.SetBase(20);
  ramp.Begin(kBegin);
  double before = ramp.rate().value_or(0);
  cr_expect_eq(before, 20);
  TimePoint now = kBegin;
  for (int step = 0; step < 3; ++step) {
    now += ReturnRamp::kStep;
    ramp.Advance(now, 1.0, 100);
    cr_assert(ramp.rate().has_value());
    cr_expect_leq(ramp.rate().value_or(0), before * ReturnRamp::kGrowth);
    before = ramp.rate().value_or(0);
  }
  now += 4 * ReturnRamp::kStep;
  ramp.Advance(now, ReturnRamp::kMaxSlowdown, 100);
  cr_expect_eq(ramp.rate().value_or(0), before, "slow calls hold it");
  now += ReturnRamp::kStep;
  ramp.Advance(now, 1.0, 100);
  cr_expect_not(ramp.rate().has_value(), "it ends at the full rate");
  ramp.Begin(now);
  ramp.Advance(now + ReturnRamp::kLongest, 9.0, 0);
  cr_expect_not(ramp.rate().has_value(), "it ends after the longest time");
}
