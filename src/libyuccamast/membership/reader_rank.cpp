#include "yuccamast/membership/reader_rank.h"

#include <xxhash.h>

#include <algorithm>

namespace yuccamast {

namespace {

std::uint64_t RankOf(std::string_view vm) {
  return XXH3_64bits(vm.data(), vm.size());
}

}  // namespace

bool IsReader(const Membership& membership) {
  const MemberRecord& self = membership.self();
  const std::uint64_t own = RankOf(self.vm);
  const auto above =
      std::ranges::count_if(membership.members(), [&](const auto& item) {
        const Member& member = item.second;
        // A member that has not spoken yet counts: were it left out, every
        // node of a fleet that starts at once would read.
        const bool reads =
            member.state() == MemberState::kLive && !member.record.leaving;
        return reads && member.record.data_centre == self.data_centre &&
               RankOf(item.first) > own;
      });
  return above < static_cast<std::ptrdiff_t>(kReaders);
}

}  // namespace yuccamast
