#include "source/vm_list_retention.h"

#include <criterion/criterion.h>

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kSettle = milliseconds(2000);

std::shared_ptr<const VmList> ListOf(
    const std::vector<std::pair<std::string, std::string>>& upstreams) {
  auto list = std::make_shared<VmList>();
  for (const auto& [ip, name] : upstreams) {
    VmRecord vm;
    vm.id = ip;
    vm.ip = ip;
    vm.inner_port = 7000;
    vm.upstreams = {{name, "ledger", 8080, 9, false, milliseconds(0)}};
    list->vms.push_back(vm);
  }
  return list;
}

}  // namespace

Test(list_doubt, entries_that_lapsed_with_the_store_stay_until_it_settled) {
  VmListRetention doubt(kSettle);
  doubt.OnSourceLost(ListOf({{"10.0.0.1", "i-1"}, {"10.0.0.2", "i-2"}}));
  doubt.OnSourceRegained(kStart);
  const auto lapsed = ListOf({{"10.0.0.2", "i-2"}});
  cr_expect_eq(doubt.Apply(lapsed)->vms.size(), 2U);
  cr_expect_not(doubt.EndIfExpired(kStart + milliseconds(1900)));
  cr_expect(doubt.EndIfExpired(kStart + milliseconds(2000)));
  cr_expect_eq(doubt.Apply(lapsed)->vms.size(), 1U);
  cr_expect_not(doubt.EndIfExpired(kStart + milliseconds(3000)));
}

Test(list_doubt, a_place_taken_by_another_upstream_is_not_given_back) {
  VmListRetention doubt(kSettle);
  doubt.OnSourceLost(ListOf({{"10.0.0.1", "i-old"}}));
  const auto list = doubt.Apply(ListOf({{"10.0.0.1", "i-new"}}));
  cr_assert_eq(list->vms[0].upstreams.size(), 1U);
  cr_expect_eq(list->vms[0].upstreams[0].name, "i-new");
}

Test(list_doubt, a_second_outage_within_the_doubt_prolongs_it) {
  VmListRetention doubt(kSettle);
  doubt.OnSourceLost(ListOf({{"10.0.0.1", "i-1"}}));
  doubt.OnSourceRegained(kStart);
  doubt.OnSourceLost(ListOf({}));
  cr_expect_not(doubt.EndIfExpired(kStart + milliseconds(5000)));
  cr_expect_eq(doubt.Apply(ListOf({}))->vms.size(), 1U);
}

Test(list_doubt, without_an_outage_the_list_is_taken_as_it_is) {
  VmListRetention doubt(kSettle);
  doubt.OnSourceRegained(kStart);
  cr_expect_eq(doubt.Apply(ListOf({}))->vms.size(), 0U);
}

Test(list_doubt, peers_are_given_what_is_in_doubt_and_the_settled_list_wins) {
  VmListRetention doubt(kSettle);
  doubt.OnSourceLost(ListOf({{"10.0.0.1", "i-1"}, {"10.0.0.2", "i-2"}}));
  doubt.OnSourceRegained(kStart);
  auto lapsed = std::make_shared<VmList>(*ListOf({{"10.0.0.2", "i-2"}}));
  lapsed->revision = 40;
  const VmList doubtful = doubt.ApplyVersioned(lapsed);
  cr_expect_eq(doubtful.vms.size(), 2U);
  cr_expect(doubt.EndIfExpired(kStart + kSettle));
  const VmList settled = doubt.ApplyVersioned(lapsed);
  cr_expect_eq(settled.vms.size(), 1U);
  cr_expect_gt(settled.revision, doubtful.revision);
  lapsed->revision = 41;
  doubt.OnSourceLost(ListOf({}));
  cr_expect_gt(doubt.ApplyVersioned(lapsed).revision, settled.revision);
}
