#pragma once

#include <memory>
#include <optional>

#include "source/published.h"
#include "yuccamast/clock.h"

/// \file vm_list_retention.h
/// Keeps entries that disappear from the VM list because of an outage of the
/// service that holds it.
///
/// The entries of a list expire while their writers cannot reach the service.
/// When the service returns, live upstreams register again within a short time;
/// until then the list is less complete than what the node knew before.
///
/// States: inactive; outage, from `OnSourceLost`; grace period, from
/// `OnSourceRegained` until `EndIfExpired` finds it over. In the last two
/// states, the list to use is the new list plus those entries of the last list
/// before the outage that do not conflict with it: VMs whose id is missing, and
/// upstreams whose name and port are both unused on their VM. A second outage
/// during the grace period cancels the period, which starts anew when the
/// service returns, and keeps the list from before the first outage. When the
/// grace period ends, entries that are still missing are dropped.
///
/// A restore of the service from a copy (`OnSourceRestored`) begins a grace
/// period, too: what was registered after the copy was made is missing until it
/// is registered again. The same holds for the operator's requests to empty a
/// data centre, so that the retained ones are kept in this case.
///
/// Otherwise the emptied data centres are always those of the new list: the
/// operator's request does not expire, so one that is missing was taken back.
///
/// Input: lists as the service returned them. Output: lists to use and to pass
/// on to peers. Applying copies the new list; it then takes logarithmic time
/// for each retained VM, and linear time for each one that has to be inserted.

namespace yuccamast {

/// See the file comment. Not thread-safe; lists are immutable and shared.
class VmListRetention {
 public:
  /// `grace_period` is the length of the grace period: the time within which
  /// live upstreams register again after the service returned.
  explicit VmListRetention(Duration grace_period)
      : m_grace_period(grace_period) {}

  /// The service became unreachable; `in_use` is the list in use at that time,
  /// not null. If a list is already retained, that one is kept and the grace
  /// period is cancelled until the service answers again.
  void OnSourceLost(std::shared_ptr<const VmList> in_use);

  /// The service answers again: starts the grace period. Has no effect when
  /// inactive or in the grace period.
  void OnSourceRegained(TimePoint now);

  /// The service answers, from an older state than `in_use`, the list in use,
  /// which is not null: starts the grace period anew.
  void OnSourceRestored(std::shared_ptr<const VmList> in_use, TimePoint now);

  /// Becomes inactive. For a node that no longer reads the service: its lists
  /// come from peers, with the entries that these retain.
  void Clear();

  /// The list to use instead of `fresh`, which the service returned: `fresh`
  /// itself when inactive, otherwise with the retained entries added. `fresh`
  /// is not null.
  std::shared_ptr<const VmList> Apply(
      std::shared_ptr<const VmList> fresh) const;

  /// The result of `Apply`, with a new revision, to use and to pass on to
  /// peers. Peers that do not read the service do not notice its outage, so
  /// they need the retained entries too. The new revision is twice that of
  /// `fresh`, plus 1 when inactive: the list without retained entries is newer
  /// than the list with them, although both come from one revision of the
  /// service.
  VmList ApplyVersioned(const std::shared_ptr<const VmList>& fresh) const;

  /// Ends the grace period if `grace_period` has passed at `now`. Returns
  /// whether it ended in this call; the owner must then apply the last list
  /// again.
  bool EndIfExpired(TimePoint now);

  /// Whether a list is retained: during an outage or the grace period.
  bool is_retaining() const { return m_retained != nullptr; }

 private:
  const Duration m_grace_period;
  std::shared_ptr<const VmList> m_retained;
  std::optional<TimePoint> m_regained_at;
  bool m_restored = false;  ///< The grace period is one after a restore.
};

}  // namespace yuccamast
