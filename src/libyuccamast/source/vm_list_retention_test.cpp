#include "source/vm_list_retention.h"

#include <criterion/criterion.h>

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kGracePeriod = milliseconds(2000);

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

// Entries expire while the service is down. If the node dropped them at once,
// it would refuse calls to upstreams that still run.
Test(vm_list_retention, expired_entries_are_kept_until_the_period_ends) {
  VmListRetention retention(kGracePeriod);
  retention.OnSourceLost(ListOf({{"10.0.0.1", "i-1"}, {"10.0.0.2", "i-2"}}));
  retention.OnSourceRegained(kStart);
  const auto incomplete = ListOf({{"10.0.0.2", "i-2"}});
  cr_expect_eq(retention.Apply(incomplete)->vms.size(), 2U);
  cr_expect_not(retention.EndIfExpired(kStart + milliseconds(1900)));
  cr_expect(retention.EndIfExpired(kStart + milliseconds(2000)));
  cr_expect_eq(retention.Apply(incomplete)->vms.size(), 1U);
  cr_expect_not(retention.EndIfExpired(kStart + milliseconds(3000)));
}

// The upstream restarted during the outage: its old instance has the port of
// the new one and must not be added again.
Test(vm_list_retention, upstream_whose_port_is_reused_is_not_kept) {
  VmListRetention retention(kGracePeriod);
  retention.OnSourceLost(ListOf({{"10.0.0.1", "i-old"}}));
  const auto list = retention.Apply(ListOf({{"10.0.0.1", "i-new"}}));
  cr_assert_eq(list->vms[0].upstreams.size(), 1U);
  cr_expect_eq(list->vms[0].upstreams[0].name, "i-new");
}

// The list at the second outage is incomplete, so the list from before the
// first outage must stay in use until a grace period passes without an outage.
Test(vm_list_retention, second_outage_prolongs_the_retention) {
  VmListRetention retention(kGracePeriod);
  retention.OnSourceLost(ListOf({{"10.0.0.1", "i-1"}}));
  retention.OnSourceRegained(kStart);
  retention.OnSourceLost(ListOf({}));
  cr_expect_not(retention.EndIfExpired(kStart + milliseconds(5000)));
  cr_expect_eq(retention.Apply(ListOf({}))->vms.size(), 1U);
}

Test(vm_list_retention, list_is_unchanged_without_an_outage) {
  VmListRetention retention(kGracePeriod);
  retention.OnSourceRegained(kStart);
  cr_expect_eq(retention.Apply(ListOf({}))->vms.size(), 0U);
}

// Peers take a list only if its revision is newer. The list after the grace
// period comes from the same revision of the service as the one before its end,
// so the revisions must be made to differ.
Test(vm_list_retention, peers_get_retained_entries_and_then_the_final_list) {
  VmListRetention retention(kGracePeriod);
  retention.OnSourceLost(ListOf({{"10.0.0.1", "i-1"}, {"10.0.0.2", "i-2"}}));
  retention.OnSourceRegained(kStart);
  auto incomplete = std::make_shared<VmList>(*ListOf({{"10.0.0.2", "i-2"}}));
  incomplete->revision = 40;
  const VmList provisional = retention.ApplyVersioned(incomplete);
  cr_expect_eq(provisional.vms.size(), 2U);
  cr_expect(retention.EndIfExpired(kStart + kGracePeriod));
  const VmList final_list = retention.ApplyVersioned(incomplete);
  cr_expect_eq(final_list.vms.size(), 1U);
  cr_expect_gt(final_list.revision, provisional.revision);
  incomplete->revision = 41;
  retention.OnSourceLost(ListOf({}));
  cr_expect_gt(retention.ApplyVersioned(incomplete).revision,
               final_list.revision);
}

// The operator's request does not expire in an outage: one that is missing
// afterwards was taken back, while its upstreams are still retained.
Test(vm_list_retention, emptied_data_centres_are_those_of_the_fresh_list) {
  VmListRetention retention(kGracePeriod);
  auto before = std::make_shared<VmList>(*ListOf({{"10.0.0.1", "i-1"}}));
  before->evacuated = {"dc1"};
  retention.OnSourceLost(before);
  auto fresh = std::make_shared<VmList>(*ListOf({}));
  fresh->evacuated = {"dc2"};
  const VmList list = retention.ApplyVersioned(fresh);
  cr_expect_eq(list.vms.size(), 1U);
  cr_expect_eq(list.evacuated, fresh->evacuated);
}

// What was registered, or asked for, after the copy was made is missing from a
// restored list until it is written again.
Test(vm_list_retention, entries_missing_from_a_restored_copy_are_kept) {
  VmListRetention retention(kGracePeriod);
  auto before = std::make_shared<VmList>(
      *ListOf({{"10.0.0.1", "i-1"}, {"10.0.0.2", "i-2"}}));
  before->evacuated = {"dc1"};
  retention.OnSourceRestored(before, kStart);
  auto fresh = std::make_shared<VmList>(*ListOf({{"10.0.0.2", "i-2"}}));
  fresh->era = 2;
  fresh->evacuated = {"dc2"};
  const VmList list = retention.ApplyVersioned(fresh);
  cr_expect_eq(list.vms.size(), 2U);
  cr_expect_eq(list.evacuated, (std::vector<std::string>{"dc1", "dc2"}));
  cr_expect_eq(list.era, 2U);
  cr_expect_not(retention.EndIfExpired(kStart + milliseconds(1900)));
  cr_expect(retention.EndIfExpired(kStart + kGracePeriod));
  cr_expect_eq(retention.Apply(fresh), fresh);
}
