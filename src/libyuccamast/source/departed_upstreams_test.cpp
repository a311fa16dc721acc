#include "source/departed_upstreams.h"

#include <criterion/criterion.h>

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

struct Listed {
  std::string name;
  bool leaving = false;
};

std::shared_ptr<const VmList> ListOf(const std::vector<Listed>& upstreams) {
  auto list = std::make_shared<VmList>();
  for (const auto& [name, leaving] : upstreams) {
    VmRecord vm;
    vm.id = name;
    vm.upstreams = {{name, "ledger", 8080, 9, leaving, milliseconds(0)}};
    list->vms.push_back(vm);
  }
  return list;
}

/// The upstreams of `list` that may get calls.
std::vector<std::string> LiveIn(const VmList& list) {
  std::vector<std::string> names;
  for (const VmRecord& vm : list.vms) {
    if (!vm.upstreams[0].leaving) {
      names.push_back(vm.id);
    }
  }
  return names;
}

using Names = std::vector<std::string>;

}  // namespace

// Guards against calls to an upstream that has left, or is leaving, since a
// copy of the list from before that has come back.
Test(departed_upstreams, departed_upstream_stays_out_of_use_after_a_restore) {
  DepartedUpstreams departed;
  const auto first = ListOf({{"a"}, {"b"}, {"c"}});
  const auto second = ListOf({{"a"}, {"c", true}});
  departed.OnList(nullptr, *first, kStart);
  departed.OnList(first.get(), *second, kStart + seconds(1));
  cr_expect_eq(departed.Apply(first), first, "no restore");
  departed.OnRestored(kStart + seconds(3));
  departed.OnList(second.get(), *first, kStart + seconds(3));
  cr_expect_eq(LiveIn(*departed.Apply(first)), Names{"a"});
  cr_expect_not(departed.EndIfExpired(kStart + seconds(7)));
  cr_expect_eq(LiveIn(*departed.Apply(first)), Names{"a"});
  cr_expect(departed.EndIfExpired(kStart + seconds(8)));
  cr_expect_eq(departed.Apply(first), first);
  cr_expect_not(departed.EndIfExpired(kStart + seconds(9)));
}

// Guards against an upstream that is kept out of use after a restore although
// it had been listed again, or registers again since the copy does not have it.
Test(departed_upstreams, upstream_that_is_back_or_unknown_to_the_copy_is_used) {
  DepartedUpstreams departed;
  const auto all = ListOf({{"a"}, {"b"}});
  const auto without_a = ListOf({{"b"}});
  const auto without_b = ListOf({{"a"}});
  departed.OnList(nullptr, *all, kStart);
  departed.OnList(all.get(), *without_a, kStart + seconds(1));
  departed.OnList(without_a.get(), *all, kStart + seconds(2));
  departed.OnRestored(kStart + seconds(3));
  departed.OnList(all.get(), *without_b, kStart + seconds(3));
  departed.OnList(without_b.get(), *all, kStart + seconds(4));
  cr_expect_eq(LiveIn(*departed.Apply(all)), (Names{"a", "b"}));
}

// Guards against memory that grows with every upstream that ever left.
Test(departed_upstreams, upstream_is_forgotten_after_a_while) {
  DepartedUpstreams departed;
  const auto all = ListOf({{"a"}, {"b"}});
  const auto without_b = ListOf({{"a"}});
  departed.OnList(all.get(), *without_b, kStart);
  departed.OnList(without_b.get(), *without_b, kStart + seconds(61));
  departed.OnRestored(kStart + seconds(62));
  cr_expect_eq(departed.Apply(all), all);
}
