#include "yuccamast/admission/vm_speed_tracker.h"

#include <criterion/criterion.h>

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

TimePoint At(int ms) {
  return kStart + milliseconds(ms);
}

}  // namespace

Test(vm_speed_tracker, long_work_is_deferred_until_the_slow_period_ends) {
  const VmSpeed slow{4.0, milliseconds(200)};
  cr_expect(slow.ShouldDefer(milliseconds(190)));
  cr_expect(slow.TimeToComplete(milliseconds(190)) == milliseconds(390));
  cr_expect_not(slow.ShouldDefer(milliseconds(50)));
  cr_expect(slow.TimeToComplete(milliseconds(50)) == milliseconds(200));
  cr_expect_not(VmSpeed{}.ShouldDefer(milliseconds(5000)));
}

Test(vm_speed_tracker, learns_the_length_of_slow_periods) {
  VmSpeedTracker tracker;
  int now = 0;
  for (int period = 0; period < 40; ++period) {
    tracker.OnReading(400, At(now));
    tracker.OnReading(100, At(now + 100));
    now += 300;
  }
  tracker.OnReading(400, At(now));
  const VmSpeed speed = tracker.At(At(now + 20));
  cr_expect_eq(speed.factor, 4.0);
  cr_expect(speed.slow_remaining > milliseconds(70));
  cr_expect(speed.slow_remaining < milliseconds(100));
}

Test(vm_speed_tracker, a_slow_period_beyond_the_mean_is_expected_to_go_on) {
  VmSpeedTracker tracker;
  tracker.OnReading(500, At(0));
  tracker.OnReading(500, At(2000));
  cr_expect(tracker.At(At(2000)).slow_remaining == milliseconds(2000));
  cr_expect_not(tracker.At(At(2000)).ShouldDefer(milliseconds(190)));
}

Test(vm_speed_tracker, an_old_reading_is_ignored) {
  VmSpeedTracker tracker;
  tracker.OnReading(400, At(0));
  cr_expect_eq(tracker.At(At(600)).factor, 1.0);
  cr_expect(tracker.ReadingAge(At(600)) == milliseconds(600));
}
