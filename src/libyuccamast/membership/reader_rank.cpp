#include "yuccamast/membership/reader_rank.h"

#include <xxhash.h>

#include <algorithm>

namespace yuccamast {

namespace {

std::uint64_t RankOf(std::string_view vm) {
  return XXH3_64bits(vm.data(), vm.size());
}

}  // namespace

bool IsPlatformReader(const Membership& membership) {
  const MemberRecord& self = membership.self();
  const std::uint64_t own = RankOf(self.vm);
  const auto higher_ranked =
      std::ranges::count_if(membership.members(), [&](const auto& item) {
        const Member& member = item.second;
        // Members that this node has not heard from yet count, too. Otherwise
        // every node would read from the platform while a whole fleet starts
        // at once.
        const bool reads =
            member.state() == MemberState::kLive && !member.record.leaving;
        return reads && member.record.data_centre == self.data_centre &&
               RankOf(item.first) > own;
      });
  return higher_ranked < static_cast<std::ptrdiff_t>(kReadersPerDataCentre);
}

}  // namespace yuccamast
