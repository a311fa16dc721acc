#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "source/published.h"
#include "yuccamast/clock.h"

/// \file departed_upstreams.h
/// Keeps upstreams that have left out of use when the service that lists them
/// is restored from an older copy.
///
/// The copy may list an upstream that has left since it was made. Its entry
/// expires, as nobody renews it, but until then it looks like one of an
/// upstream that takes calls.
///
/// Input: each list that comes into use, and the time of each restore. Output:
/// the list to use, in which the upstreams that had left before the restore are
/// marked as leaving for a time in which such entries expire.
///
/// Remembers the names of upstreams that were listed as leaving or vanished
/// from the list, each for a minute, longer than the age of a copy. An upstream
/// that is listed again as live is forgotten, unless that may be the copy's
/// word. A list takes O(n log n) time for n upstreams.

namespace yuccamast {

/// See the file comment. Not thread-safe; lists are immutable and shared.
class DepartedUpstreams {
 public:
  /// `list` replaces `before` (null: there was none).
  void OnList(const VmList* before, const VmList& list, TimePoint now);

  /// The service was restored from a copy. To be called before `OnList` with
  /// the first list from it.
  void OnRestored(TimePoint now) { m_restored_at = now; }

  /// The list to use instead of `list`, which is not null: the same one, unless
  /// a departed upstream is listed as live after a restore.
  std::shared_ptr<const VmList> Apply(std::shared_ptr<const VmList> list) const;

  /// Ends the time after a restore if it is over at `now`. Returns whether it
  /// ended in this call; the owner must then apply its list again.
  bool EndIfExpired(TimePoint now);

 private:
  std::map<std::string, TimePoint, std::less<>> m_left_at;  ///< By name.
  std::optional<TimePoint> m_restored_at;
};

}  // namespace yuccamast
