#include "yuccamast/membership/member.h"

#include <array>
#include <tuple>

namespace yuccamast {

std::string_view NameOf(MemberState state) {
  constexpr std::array<std::string_view, 3> kNames = {"live", "suspect",
                                                      "gone"};
  return kNames.at(static_cast<std::size_t>(state));
}

bool IsNewer(const MemberRecord& a, const MemberRecord& b) {
  return std::tie(a.epoch, a.version, a.state) >
         std::tie(b.epoch, b.version, b.state);
}

}  // namespace yuccamast
