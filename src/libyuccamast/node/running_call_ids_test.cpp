#include "node/running_call_ids.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace yuccamast;  // NOLINT

// Guards against an id that is missed while its call runs, found after its end,
// or taken for another id. Removing `kNoIndex` must have no effect.
Test(running_call_ids, contains_an_id_until_it_is_removed) {
  RunningCallIds running_ids;
  const auto index = running_ids.Add("57e4eb41");
  cr_expect(running_ids.Contains("57e4eb41"));
  cr_expect_not(running_ids.Contains("57e4eb42"));
  running_ids.Remove(index);
  cr_expect_not(running_ids.Contains("57e4eb41"));
  running_ids.Remove(RunningCallIds::kNoIndex);
}

// Guards against a table that loses cells when more ids are added than it can
// hold: ids without a free cell are left out, and after the removals an id can
// be added again.
Test(running_call_ids, leaves_ids_out_when_full_and_recovers) {
  RunningCallIds running_ids;
  std::vector<RunningCallIds::Index> indices;
  for (int i = 0; i < 2000; ++i) {
    indices.push_back(running_ids.Add("call-" + std::to_string(i)));
  }
  cr_expect(indices.back() == RunningCallIds::kNoIndex ||
            running_ids.Contains("call-1999"));
  for (const auto index : indices) {
    running_ids.Remove(index);
  }
  cr_expect_neq(running_ids.Add("again"), RunningCallIds::kNoIndex);
  cr_expect(running_ids.Contains("again"));
}
