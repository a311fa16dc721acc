#include <algorithm>

#include "node/entry_call.h"

/// \file entry_load_query.cpp
/// The load queries of a call before its upstream is chosen.
///
/// With the policy `kLeastCost` and the setting `asks_load`, a call first
/// queries a few exits of its own data centre; if none reports a spare slot, it
/// queries a few more of any location. The upstream is then chosen among the
/// queried ones, or among the others if no queried one is left to offer to.

namespace yuccamast {

namespace {

/// Time limit of one query round. Waiting for longer than a round trip within a
/// region is of no use.
constexpr Duration kLoadQueryTimeout = std::chrono::milliseconds(8);
/// Upstreams of the own data centre that are queried first. A query there takes
/// a fraction of a millisecond, and usually one of them has a spare slot.
constexpr std::size_t kNearQueries = 2;
/// Further upstreams that are queried if none of these has a spare slot.
constexpr std::size_t kFurtherQueries = 3;

}  // namespace

std::vector<LoadQueryTarget> EntryCall::SelectQueryTargets(
    bool near_only,
    std::size_t max_count) {
  const TimePoint now = Clock::now();
  const EstimateOptions options;
  std::vector<LoadQueryTarget> targets;
  const std::size_t count = m_service->candidates.size();
  const std::size_t start = count == 0 ? 0 : m_context.random() % count;
  std::size_t picked = 0;
  for (std::size_t i = 0; i < count && picked < max_count; ++i) {
    const std::size_t index = (start + i) % count;
    const Candidate& candidate = m_service->candidates[index];
    const bool excluded =
        std::ranges::find(m_tried, index) != m_tried.end() ||
        std::ranges::find(m_queried, index) != m_queried.end();
    if (excluded || !candidate.state->IsUsable(now) ||
        (near_only &&
         candidate.distance > m_context.settings.distance.same_data_centre)) {
      continue;
    }
    ++picked;
    m_queried.push_back(index);
    if (candidate.state->ReportAge(now) < options.fresh_report_age / 2) {
      continue;
    }
    const tcp::endpoint& node = m_service->members[index].node;
    targets.push_back({{node.address(), static_cast<std::uint16_t>(
                                            node.port() + kLoadPortOffset)},
                       candidate.state});
  }
  return targets;
}

bool EntryCall::AnyQueriedHasSpareSlot() const {
  const TimePoint now = Clock::now();
  return std::ranges::any_of(m_queried, [&](std::size_t index) {
    return m_service->candidates[index].state->HasSpareSlot(now,
                                                            EstimateOptions{});
  });
}

void EntryCall::QueryLoad(const std::vector<LoadQueryTarget>& targets,
                          std::function<void()> then) {
  if (targets.empty()) {
    then();
    return;
  }
  m_context.load_query_client.Query(
      targets, kLoadQueryTimeout,
      [self = shared_from_this(), then = std::move(then)] {
        if (!self->m_finished) {
          then();
        }
      });
}

void EntryCall::QueryLoadAndOffer(RefusalReason if_none) {
  m_queried.clear();
  if (!m_context.settings.asks_load ||
      m_service->service.policy != PolicyKind::kLeastCost) {
    OfferToNext(if_none);
    return;
  }
  QueryLoad(SelectQueryTargets(true, kNearQueries),
            [this, if_none] { QueryFurtherExits(if_none); });
}

void EntryCall::QueryFurtherExits(RefusalReason if_none) {
  if (AnyQueriedHasSpareSlot()) {
    OfferToNext(if_none);
    return;
  }
  QueryLoad(SelectQueryTargets(false, kFurtherQueries),
            [this, if_none] { OfferToNext(if_none); });
}

}  // namespace yuccamast
