#include "node/entry_call.h"

#include <criterion/criterion.h>

#include <cmath>

using namespace yuccamast;  // NOLINT

// Guards against shares that hold only in the long run, as with random choice:
// any 50 successive calls must be divided by weight within 2 calls, whatever
// phase an entry thread starts with. A part of weight 0 gets no calls.
Test(split, shares_hold_over_short_spans_from_any_phase) {
  const std::vector<SplitPart> parts = {{"a", 90}, {"b", 10}, {"c", 0}};
  for (std::uint64_t phase = 0; phase < 40; ++phase) {
    SplitSelector selector(phase * 0x1234567890abcdefU);
    int to_b = 0;
    for (int i = 0; i < 50; ++i) {
      const std::string& service = selector.Next(parts).service;
      cr_expect_neq(service, "c");
      to_b += service == "b" ? 1 : 0;
    }
    cr_expect_leq(std::abs(to_b - 5), 2, "%d of 50 from phase %lu", to_b,
                  static_cast<unsigned long>(phase));
  }
}
