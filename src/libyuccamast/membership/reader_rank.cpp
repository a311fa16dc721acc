#include "yuccamast/membership/reader_rank.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace yuccamast {

namespace {

/// Members that this node has not heard from yet count, too. Otherwise every
/// node would read from the platform while a whole fleet starts at once.
bool MayRead(const Member& member) {
  return member.state() == MemberState::kLive && !member.record.leaving;
}

/// Live members of this node's data centre with a higher rank.
std::size_t CountHigherRanked(const Membership& membership) {
  const MemberRecord& self = membership.self();
  const std::uint64_t own = ReaderRank(self.vm);
  return static_cast<std::size_t>(
      std::ranges::count_if(membership.members(), [&](const auto& item) {
        const Member& member = item.second;
        return MayRead(member) &&
               member.record.data_centre == self.data_centre &&
               ReaderRank(item.first) > own;
      }));
}

}  // namespace

std::uint64_t ReaderRank(std::string_view vm) {
  return XXH3_64bits(vm.data(), vm.size());
}

bool IsPlatformReader(const Membership& membership) {
  return CountHigherRanked(membership) < kReadersPerDataCentre;
}

ReaderPosition PositionAmongReaders(const Membership& membership) {
  const std::size_t higher_ranked = CountHigherRanked(membership);
  return {membership.members().size() + 1, CountPlatformReaders(membership),
          higher_ranked - std::min(higher_ranked, kReadersPerDataCentre)};
}

std::size_t CountPlatformReaders(const Membership& membership) {
  std::map<std::string_view, std::size_t> readers_by_data_centre;
  readers_by_data_centre[membership.self().data_centre] = 1;
  std::ranges::for_each(membership.members(), [&](const auto& item) {
    std::size_t& readers =
        readers_by_data_centre[item.second.record.data_centre];
    if (MayRead(item.second) && readers < kReadersPerDataCentre) {
      ++readers;
    }
  });
  std::size_t sum = 0;
  std::ranges::for_each(readers_by_data_centre,
                        [&](const auto& item) { sum += item.second; });
  return sum;
}

Duration ReaderPollInterval(std::size_t readers, double uniform) {
  // Uniform between 0 and twice the mean.
  const std::chrono::duration<double> range(2 * static_cast<double>(readers) /
                                            kFleetPollsPerSecond);
  const Duration limit =
      std::min(std::chrono::duration_cast<Duration>(range), kMaxPollInterval);
  return std::chrono::duration_cast<Duration>(limit * uniform);
}

}  // namespace yuccamast
