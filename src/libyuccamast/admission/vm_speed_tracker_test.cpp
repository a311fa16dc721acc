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

Test(machine_speed, long_work_is_done_sooner_after_the_spell) {
  const VmSpeed slow{4.0, milliseconds(200)};
  cr_expect(slow.HoldPays(milliseconds(190)));
  cr_expect(slow.TimeOf(milliseconds(190)) == milliseconds(390));
  cr_expect_not(slow.HoldPays(milliseconds(50)));
  cr_expect(slow.TimeOf(milliseconds(50)) == milliseconds(200));
  cr_expect_not(VmSpeed{}.HoldPays(milliseconds(5000)));
}

Test(machine_speed, learns_how_long_spells_last) {
  VmSpeedTracker speed;
  int now = 0;
  for (int spell = 0; spell < 40; ++spell) {
    speed.OnReading(400, At(now));
    speed.OnReading(100, At(now + 100));
    now += 300;
  }
  speed.OnReading(400, At(now));
  const VmSpeed state = speed.At(At(now + 20));
  cr_expect_eq(state.factor, 4.0);
  cr_expect(state.slow_remaining > milliseconds(70));
  cr_expect(state.slow_remaining < milliseconds(100));
}

Test(machine_speed, a_spell_beyond_the_mean_is_expected_to_go_on) {
  VmSpeedTracker speed;
  speed.OnReading(500, At(0));
  speed.OnReading(500, At(2000));
  cr_expect(speed.At(At(2000)).slow_remaining == milliseconds(2000));
  cr_expect_not(speed.At(At(2000)).HoldPays(milliseconds(190)));
}

Test(machine_speed, an_old_reading_says_nothing) {
  VmSpeedTracker speed;
  speed.OnReading(400, At(0));
  cr_expect_eq(speed.At(At(600)).factor, 1.0);
  cr_expect(speed.ReadingAge(At(600)) == milliseconds(600));
}
