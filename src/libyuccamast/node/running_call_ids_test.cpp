#include "node/running_call_ids.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace yuccamast;  // NOLINT

Test(running_ids, knows_a_call_while_it_runs) {
  RunningCallIds running;
  const auto place = running.Add("57e4eb41");
  cr_expect(running.Contains("57e4eb41"));
  cr_expect_not(running.Contains("57e4eb42"));
  running.Remove(place);
  cr_expect_not(running.Contains("57e4eb41"));
  running.Remove(RunningCallIds::kNowhere);
}

Test(running_ids, a_full_table_leaves_some_out_and_recovers) {
  RunningCallIds running;
  std::vector<RunningCallIds::Place> places;
  for (int i = 0; i < 2000; ++i) {
    places.push_back(running.Add("call-" + std::to_string(i)));
  }
  cr_expect(places.back() == RunningCallIds::kNowhere ||
            running.Contains("call-1999"));
  for (const auto place : places) {
    running.Remove(place);
  }
  cr_expect_neq(running.Add("again"), RunningCallIds::kNowhere);
  cr_expect(running.Contains("again"));
}
