#pragma once

#include <memory>
#include <optional>

#include "source/published.h"
#include "yuccamast/clock.h"

/// \file vm_list_retention.h
/// Doubts that upstreams which vanish from the list around an outage are gone.
///
/// Entries of a list expire while their writers cannot reach the service that
/// holds it. When the service returns, living upstreams are listed again
/// within a moment; until then the list says less than the node knew before.
/// While in doubt, the list in use is the new one with the entries that only
/// the last list before the outage had. When the moment is over, what is still
/// missing is gone.

namespace yuccamast {

/// Not thread-safe.
class VmListRetention {
 public:
  /// `settle` is the time after a return within which entries come back.
  explicit VmListRetention(Duration settle) : m_settle(settle) {}

  /// The service was lost; `held` is the list in use then.
  void OnSourceLost(std::shared_ptr<const VmList> held);

  /// The service answers again.
  void OnSourceRegained(TimePoint now);

  /// The list to use instead of `fresh`, which the service gave.
  std::shared_ptr<const VmList> Apply(
      std::shared_ptr<const VmList> fresh) const;

  /// The list to use and to hand to peers instead of `fresh`. Peers that do not
  /// read the service cannot know of an outage, so it holds what is in doubt.
  /// Its revision is made anew so that the settled list of one revision of the
  /// service counts as newer than the doubtful one.
  VmList ApplyVersioned(const std::shared_ptr<const VmList>& fresh) const;

  /// Whether the doubt ended since the last call; the owner then applies the
  /// list again.
  bool EndIfExpired(TimePoint now);

  bool is_retaining() const { return m_held != nullptr; }

 private:
  const Duration m_settle;
  std::shared_ptr<const VmList> m_held;
  std::optional<TimePoint> m_regained_at;
};

}  // namespace yuccamast
