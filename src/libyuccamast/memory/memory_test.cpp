#include <criterion/criterion.h>

#include "memory/holder_choice.h"
#include "memory/memory_budget.h"

using namespace yuccamast;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Indexes = std::vector<std::size_t>;

}  // namespace

// Guards against a crowd of request bodies that leaves no room for the answers
// of the calls that are under way, so that nothing can ever leave.
Test(memory, a_crowd_of_bodies_leaves_room_for_later_stages) {
  MemoryBudget budget(800);
  MemoryReservation body(budget, MemoryUse::kRequest);
  cr_expect(body.GrowTo(500));
  cr_expect_not(body.GrowTo(501));
  MemoryReservation reply(budget, MemoryUse::kReply);
  cr_expect(reply.GrowTo(200));
  cr_expect_not(reply.GrowTo(201));
  MemoryReservation answer(budget, MemoryUse::kAnswer);
  cr_expect(answer.GrowTo(100));
  cr_expect_not(answer.GrowTo(101));
  cr_expect_eq(budget.used(), 800U);
  cr_expect_eq(budget.used(MemoryUse::kReply), 200U);
  cr_expect_eq(budget.failures(), 3U);
}

// Guards against replies of calls that have run and lose their room to offers
// that arrive later.
Test(memory, offers_leave_room_for_replies) {
  MemoryBudget budget(800);
  MemoryReservation offers(budget, MemoryUse::kOffer);
  cr_expect(offers.GrowTo(600));
  cr_expect_not(budget.HasRoom(1, MemoryUse::kOffer));
  MemoryReservation reply(budget, MemoryUse::kReply);
  cr_expect(reply.GrowTo(100));
}

// Guards against a crowd of bodies that fills its share exactly, holds no byte
// too many, and turns ordinary requests away for as long as it likes.
Test(memory, bodies_that_turn_others_away_are_in_excess) {
  MemoryBudget budget(800);
  MemoryReservation crowd(budget, MemoryUse::kRequest);
  cr_expect(crowd.GrowTo(500));
  cr_expect_eq(budget.Excess(), 0U);
  MemoryReservation impossible(budget, MemoryUse::kRequest);
  cr_expect_not(impossible.GrowTo(501));
  cr_expect_eq(budget.turned_away(), 0U);
  MemoryReservation ordinary(budget, MemoryUse::kRequest);
  cr_expect_not(ordinary.GrowTo(10));
  cr_expect_eq(budget.turned_away(), 1U);
  cr_expect_eq(budget.Excess(true), 100U);
}

// Bytes that are in memory are counted even beyond the limit, and are given
// back as what they have become.
Test(memory, held_bytes_are_counted_beyond_the_limit) {
  MemoryBudget budget(800);
  {
    MemoryReservation held(budget, MemoryUse::kRequest);
    cr_expect(held.GrowTo(300));
    held.SetTo(900, MemoryUse::kWritten);
    cr_expect_eq(budget.used(MemoryUse::kRequest), 0U);
    cr_expect_eq(budget.used(MemoryUse::kWritten), 900U);
    cr_expect_eq(budget.Excess(), 500U);
  }
  cr_expect_eq(budget.used(), 0U);
  cr_expect_eq(budget.Excess(), 0U);
}

// Guards against slow readers that fill the memory of a node: the ones that
// hold most for longest go first, no more of them than it takes.
Test(memory, the_dearest_slow_readers_are_closed_first) {
  const TimePoint now = Clock::now();
  const std::vector<MemoryHolder> holders = {{100, now - seconds(10)},  // 1000
                                             {900, now - seconds(2)},   // 1800
                                             {300, now - seconds(20)},  // 6000
                                             {0, now - seconds(99)}};
  cr_expect(ChooseHoldersToClose(holders, 1, now) == Indexes{2});
  cr_expect(ChooseHoldersToClose(holders, 301, now) == (Indexes{2, 1}));
  cr_expect(ChooseHoldersToClose(holders, 5000, now) == (Indexes{2, 1, 0}));
  cr_expect(ChooseHoldersToClose(holders, 0, now).empty());
}

// Guards against ordinary callers that are closed together with a crowd.
Test(memory, an_ordinary_transfer_is_spared) {
  const TimePoint now = Clock::now();
  const std::vector<MemoryHolder> holders = {{9000, now - milliseconds(990)},
                                             {1, now - seconds(2)}};
  cr_expect(ChooseHoldersToClose(holders, 5000, now) == Indexes{1});
}
