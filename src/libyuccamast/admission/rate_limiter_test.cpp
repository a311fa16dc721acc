#include "yuccamast/admission/rate_limiter.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <vector>

#include "yuccamast/admission/admission.h"

using namespace yuccamast;  // NOLINT

namespace {

constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr Duration kWindow = std::chrono::seconds(4);

/// The most starts in any window of 4 s. `starts` is in ascending order.
std::size_t BusiestWindow(const std::vector<TimePoint>& starts) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < starts.size(); ++last) {
    while (starts[last] - starts[first] > kWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

/// What an upstream may get in 4 s when it names `rate`.
double Allowed(double rate) {
  return 1.5 * rate * 4 + 5;
}

}  // namespace

// Guards against a burst that breaks the limit in some window: calls are always
// waiting, or come in bursts after a rest, at rates from a trickle to the
// slots.
Test(rate_limiter, no_window_has_more_starts_than_the_rate_allows) {
  for (const double rate : {0.0, 0.25, 0.5, 2.0, 2.17, 9.0, 40.0, 150.0}) {
    for (const int rest_ms : {0, 900, 5000}) {
      RateLimiter limiter;
      std::vector<TimePoint> starts;
      const TimePoint begin{std::chrono::hours(1)};
      limiter.SetRate(rate, begin);
      for (TimePoint now = begin; now < begin + 10 * kWindow; now += kStep) {
        const auto elapsed_ms = (now - begin) / std::chrono::milliseconds(1);
        const bool offered = rest_ms == 0 || elapsed_ms / rest_ms % 2 == 1;
        while (offered && limiter.WaitFor(0, now) == Duration::zero()) {
          limiter.Take(now);
          starts.push_back(now);
        }
      }
      const auto busiest = static_cast<double>(BusiestWindow(starts));
      cr_expect_leq(busiest, Allowed(rate), "rate %f rest %d: %f", rate,
                    rest_ms, busiest);
      cr_expect(rest_ms > 0 || busiest >= 4 * rate, "rate %f is not used",
                rate);
    }
  }
}

// Guards against tokens that appear when the named rate changes with each
// reply: no window may have more starts than the highest rate named allows.
Test(rate_limiter, changes_of_the_rate_give_no_extra_starts) {
  std::mt19937 random(1);
  RateLimiter limiter;
  std::vector<TimePoint> starts;
  constexpr double kHighest = 4;
  const TimePoint begin{std::chrono::hours(1)};
  for (TimePoint now = begin; now < begin + 10 * kWindow; now += kStep) {
    if (random() % 50 == 0) {
      limiter.SetRate(static_cast<double>(random() % 5), now);
    }
    while (limiter.IsLimited() && limiter.WaitFor(0, now) == Duration::zero()) {
      limiter.Take(now);
      starts.push_back(now);
    }
  }
  cr_expect_leq(static_cast<double>(BusiestWindow(starts)), Allowed(kHighest));
}

// Guards against a short rate that is spent on reloads while urgent and
// non-idempotent calls wait, and against calls that wait for a turn that comes
// after their deadline.
Test(rate_limiter, limited_starts_go_to_the_most_urgent_calls) {
  AdmissionLimits limits;
  Admission admission(limits);
  TimePoint now{std::chrono::hours(1)};
  admission.SetRateLimit(2, now);
  const auto offer = [&](CallTicket ticket, std::uint32_t urgency,
                         bool idempotent, std::chrono::milliseconds deadline) {
    AdmissionRequest request;
    request.ticket = ticket;
    request.deadline = now + deadline;
    request.objective = request.deadline;
    request.urgency = urgency;
    request.idempotent = idempotent;
    return admission.Offer(request, now).verdict;
  };
  using std::chrono::milliseconds;
  cr_expect(offer(1, 2, true, milliseconds(1800)) == AdmissionVerdict::kStart);
  cr_expect(offer(2, 2, true, milliseconds(1800)) == AdmissionVerdict::kQueued);
  cr_expect(offer(3, 0, false, milliseconds(1800)) ==
            AdmissionVerdict::kQueued);
  cr_expect(offer(4, 2, false, milliseconds(1800)) ==
            AdmissionVerdict::kQueued);
  cr_expect(offer(5, 2, true, milliseconds(600)) == AdmissionVerdict::kRefused);
  std::vector<CallTicket> started;
  for (; started.size() < 3 && now < TimePoint{std::chrono::hours(2)};
       now += kStep) {
    while (const auto ticket = admission.StartNext(now)) {
      started.push_back(*ticket);
      admission.Release(*ticket, milliseconds(10));
    }
  }
  cr_expect(started == std::vector<CallTicket>({3, 4, 2}));
}

// Guards against a limit that stays after the upstream lifted it.
Test(rate_limiter, lifted_limit_no_longer_holds_calls_back) {
  RateLimiter limiter;
  const TimePoint now{std::chrono::hours(1)};
  limiter.SetRate(1, now);
  limiter.Take(now);
  cr_expect(limiter.WaitFor(0, now) == std::chrono::seconds(1));
  cr_expect(limiter.WaitFor(1, now) == std::chrono::seconds(2));
  limiter.SetRate(std::nullopt, now);
  cr_expect(limiter.WaitFor(9, now) == Duration::zero());
  cr_expect_not(limiter.IsLimited());
}
