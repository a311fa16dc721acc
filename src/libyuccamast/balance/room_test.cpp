#include "yuccamast/balance/room.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <vector>

#include "yuccamast/balance/retry_after.h"

using namespace yuccamast;  // NOLINT
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};

/// Candidates of seven slots that have just reported; the first `near` ones are
/// in the own data centre, the others 7.8 ms away.
struct Fixture {
  Fixture(std::size_t count, std::size_t near) {
    for (std::size_t i = 0; i < count; ++i) {
      candidates.push_back({std::make_shared<UpstreamState>(kNow, false),
                            i < near ? microseconds(300) : microseconds(7800)});
      queried.push_back(i);
    }
  }

  void Report(std::size_t index,
              std::uint32_t in_flight,
              Duration wait,
              bool takes_late = true,
              Duration nested_wait = {}) {
    const auto us = [](Duration duration) {
      return static_cast<std::uint32_t>(duration / microseconds(1));
    };
    LoadReport report;
    report.running = std::min(in_flight, 7U);
    report.queued = in_flight - report.running;
    report.limit = 7;
    report.service_us = 100'000;
    report.wait_us = us(wait);
    report.rank_wait_us = {us(nested_wait), us(wait), us(wait)};
    report.takes_late = takes_late;
    candidates[index].state->OnReport(report, kNow);
  }

  void ReportAll(std::uint32_t in_flight, Duration wait, bool takes_late) {
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      Report(i, in_flight, wait, takes_late);
    }
  }

  Room Assess(RoomRequest request) const {
    return AssessRoom(candidates, queried, request, EstimateOptions{}).room;
  }

  std::size_t Pick() {
    ChoiceContext context;
    context.now = kNow;
    context.queried = queried;
    return *Choose(PolicyKind::kLeastCost, candidates, {}, context,
                   [this] { return random(); });
  }

  std::vector<Candidate> candidates;
  std::vector<std::size_t> queried;
  std::mt19937_64 random{11};
};

/// A call with 500 ms to its objective and 1200 ms to its deadline.
RoomRequest Call() {
  RoomRequest request;
  request.now = kNow;
  request.objective = kNow + milliseconds(500);
  request.deadline = kNow + milliseconds(1200);
  return request;
}

}  // namespace

Test(room, a_crest_in_one_data_centre_goes_to_neighbours_at_half_load) {
  Fixture fixture(5, 2);
  for (std::size_t i = 0; i < 5; ++i) {
    fixture.Report(i, i < 2 ? 12 : 3,
                   i < 2 ? milliseconds(90) : milliseconds(0));
  }
  cr_expect_geq(fixture.Pick(), 2U);
  // Below the crest, calls stay: a wait that is shorter than the way.
  fixture.Report(0, 3, milliseconds(0));
  cr_expect_eq(fixture.Pick(), 0U);
}

Test(room, far_exits_that_answer_late_stay_usable) {
  // Guards against a crest that never leaves its data centre: exits whose
  // answers take longer than the wait for them counted as unresponsive.
  UpstreamState far(kNow, false);
  for (int i = 0; i < 20; ++i) {
    far.OnLoadQuerySent();
    far.OnLoadQueryAnswered(milliseconds(11));
  }
  cr_expect_not(far.unresponsive());
  cr_expect_eq(far.query_round_trip(), Duration(milliseconds(11)));
  UpstreamState hung(kNow, false);
  for (int i = 0; i < 20; ++i) {
    hung.OnLoadQuerySent();
    hung.OnLoadQueryAnswered(milliseconds(50));
  }
  cr_expect(hung.unresponsive());
}

Test(room, is_refused_only_by_fresh_reports_of_all_queried_exits) {
  Fixture fixture(5, 2);
  fixture.ReportAll(27, milliseconds(700), false);
  cr_expect(fixture.Assess(Call()) == Room::kNone);
  // One exit still queues late calls, one answers in time, one did not answer.
  fixture.Report(3, 27, milliseconds(700), true);
  cr_expect(fixture.Assess(Call()) == Room::kLate);
  fixture.Report(3, 8, milliseconds(50));
  cr_expect(fixture.Assess(Call()) == Room::kInTime);
  fixture.ReportAll(27, milliseconds(700), false);
  fixture.candidates[4].state = std::make_shared<UpstreamState>(kNow, false);
  cr_expect(fixture.Assess(Call()) == Room::kUnknown);
  RoomRequest old = Call();
  old.now += milliseconds(100);
  cr_expect(fixture.Assess(old) == Room::kUnknown);
  fixture.queried = {0, 1};
  cr_expect(fixture.Assess(Call()) == Room::kUnknown, "too few were queried");
}

Test(room, nested_calls_find_room_ahead_of_a_full_queue) {
  // A service of six upstreams under one of 39 that calls it.
  Fixture fixture(6, 2);
  for (std::size_t i = 0; i < 6; ++i) {
    fixture.Report(i, 27, milliseconds(700), false, milliseconds(20));
  }
  RoomRequest call = Call();
  call.wait_rank = WaitRankOf(false, 2);
  cr_expect(fixture.Assess(call) == Room::kNone);
  call.objective = {};
  call.deadline = kNow + milliseconds(400);
  call.wait_rank = WaitRankOf(true, 2);
  cr_expect(fixture.Assess(call) == Room::kInTime);
}

Test(room, own_sends_use_up_the_room_of_a_report) {
  // Guards against a herd of one entry's calls between two reports.
  Fixture fixture(4, 4);
  fixture.ReportAll(7, milliseconds(380), false);
  cr_expect(fixture.Assess(Call()) == Room::kInTime);
  std::ranges::for_each(fixture.candidates, [](const Candidate& candidate) {
    for (int i = 0; i < 7; ++i) {
      candidate.state->OnSent(kNow);
    }
  });
  cr_expect(fixture.Assess(Call()) == Room::kNone);
}

Test(room, entries_with_the_same_reports_do_not_refuse_all_at_once) {
  Fixture fixture(4, 4);
  fixture.ReportAll(20, milliseconds(430), false);
  int refused = 0;
  for (int i = 0; i < 1000; ++i) {
    RoomRequest call = Call();
    call.margin = i / 1000.0;
    refused += fixture.Assess(call) == Room::kNone ? 1 : 0;
  }
  cr_expect_gt(refused, 100);
  cr_expect_lt(refused, 900);
}

Test(retry_after, callers_that_come_back_together_are_spread_behind_the_wait) {
  // 300 callers are refused at once; room is expected in 150 ms. In any 50 ms
  // at most half of them may come back, and none before there is room.
  std::mt19937_64 random(3);
  RetryAfterInput input;
  input.expected_wait = milliseconds(150);
  input.useful_time = milliseconds(380);
  input.remaining = milliseconds(1200);
  input.refusal_share = 0.6;
  std::vector<int> per_bin(20, 0);
  for (int i = 0; i < 300; ++i) {
    const Duration wait = RetryAfter(input, random());
    cr_assert_geq(wait.count(), Duration(milliseconds(150)).count());
    cr_assert_leq(wait.count(), Duration(milliseconds(380)).count());
    ++per_bin[static_cast<std::size_t>(wait / milliseconds(50))];
  }
  cr_expect_lt(*std::ranges::max_element(per_bin), 150);
}

Test(retry_after, stays_below_a_third_of_the_remaining_time_and_is_never_zero) {
  std::mt19937_64 random(3);
  for (const int remaining_ms : {30, 300, 3000}) {
    for (const int wait_ms : {0, 5, 400, 9000}) {
      RetryAfterInput input;
      input.expected_wait = milliseconds(wait_ms);
      input.remaining = milliseconds(remaining_ms);
      input.refusal_share = 1;
      for (int i = 0; i < 50; ++i) {
        const Duration wait = RetryAfter(input, random());
        cr_assert_leq(wait.count(), Duration(input.remaining / 3).count());
        cr_assert_gt(wait.count(), 0);
      }
    }
  }
}

// Load: none, all slots are free, but the mean service time over all rules is
// longer than the time that a short call has left. It must not be refused.
Test(room, idle_upstreams_have_room_for_a_call_with_little_time) {
  Fixture fixture(4, 4);
  fixture.ReportAll(0, Duration(), true);
  RoomRequest request;
  request.now = kNow;
  request.deadline = kNow + milliseconds(60);
  request.objective = kNow + milliseconds(50);
  cr_expect(fixture.Assess(request) == Room::kLate);
  fixture.ReportAll(14, milliseconds(200), true);
  cr_expect(fixture.Assess(request) == Room::kNone);
}
