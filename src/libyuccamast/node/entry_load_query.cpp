#include <algorithm>

#include "node/entry_call.h"

/// \file entry_load_query.cpp
/// The load queries of a call before its upstream is chosen.
///
/// With the policy `kLeastCost` and the setting `asks_load`, a call first
/// queries a few exits of its own data centre. If none reports a spare slot, it
/// queries a few more there and some of any location, and some more of any
/// location if none of these could answer in time. The upstream is then chosen
/// among the queried ones, or among the others if no queried one is left to
/// offer to. A call that no queried exit would take is refused at once
/// (`kNoRoom`).

namespace yuccamast {

namespace {

/// Time limit of one query round without far exits.
constexpr Duration kLoadQueryTimeout = std::chrono::milliseconds(8);
/// Time that the exit itself may take to answer, beyond its usual round trip.
constexpr Duration kLoadReadingTime = std::chrono::milliseconds(6);
/// Upstreams of the own data centre that are queried first. A query there takes
/// a fraction of a millisecond, and usually one of them has a spare slot.
constexpr std::size_t kNearQueries = 2;
/// Upstreams of the own data centre, and of any one, that are queried if none
/// of these has a spare slot.
constexpr std::size_t kMoreNearQueries = 2;
constexpr std::size_t kFarQueries = 2;
/// Further upstreams that are queried if no queried one could answer in time.
constexpr std::size_t kLastQueries = 3;

/// Refusals that a caller gets because room is short.
bool IsForRoom(RefusalReason reason) {
  return reason == RefusalReason::kNoRoom ||
         reason == RefusalReason::kQueueFull ||
         reason == RefusalReason::kQueueTimeout ||
         reason == RefusalReason::kUpstreamShed;
}

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
  Duration limit = kLoadQueryTimeout;
  std::ranges::for_each(targets, [&](const LoadQueryTarget& target) {
    limit =
        std::max(limit, target.state->query_round_trip() + kLoadReadingTime);
  });
  m_context.load_query_client.Query(
      targets, std::min(limit, UpstreamState::kMaxQueryTime),
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
  std::vector<LoadQueryTarget> targets =
      SelectQueryTargets(true, kMoreNearQueries);
  std::ranges::move(SelectQueryTargets(false, kFarQueries),
                    std::back_inserter(targets));
  QueryLoad(targets, [this, if_none] { OfferIfRoom(if_none, true); });
}

void EntryCall::OfferIfRoom(RefusalReason if_none, bool may_query) {
  constexpr double kUnit = 1.0 / (1U << 16U);
  constexpr std::uint64_t kMask = (1U << 16U) - 1;
  m_room =
      AssessQueried(static_cast<double>(m_context.random() & kMask) * kUnit);
  if (m_room.room != Room::kInTime && may_query) {
    const auto targets = SelectQueryTargets(false, kLastQueries);
    if (!targets.empty()) {
      QueryLoad(targets, [this, if_none] { OfferIfRoom(if_none, false); });
      return;
    }
  }
  if (m_room.room == Room::kNone) {
    Refuse(RefusalReason::kNoRoom);
    return;
  }
  OfferToNext(if_none);
}

RoomAssessment EntryCall::AssessQueried(double margin) const {
  RoomRequest request;
  request.now = Clock::now();
  request.objective = m_objective;
  request.deadline = m_deadline;
  request.wait_rank = OptionsOfCall().wait_rank;
  request.margin = margin;
  return AssessRoom(m_service->candidates, m_queried, request, OptionsOfCall());
}

EstimateOptions EntryCall::OptionsOfCall() const {
  EstimateOptions options;
  options.wait_rank = WaitRankOf(m_nested, m_rule->urgency);
  return options;
}

RefusalShare& EntryCall::ServiceRefusals() const {
  return m_context.refusals[m_service->service.name];
}

std::optional<Duration> EntryCall::CountRefusal(RefusalReason reason) {
  if (m_service == nullptr || !IsForRoom(reason)) {
    return std::nullopt;
  }
  ServiceRefusals().OnRefused();
  if (m_queried.empty()) {
    return std::nullopt;
  }
  const TimePoint now = Clock::now();
  const RoomAssessment room = AssessQueried(0);
  RetryAfterInput input;
  // An upstream that sheds has less room than its exit reports.
  if (reason != RefusalReason::kUpstreamShed) {
    input.expected_wait = room.expected_wait;
  }
  if (m_objective != TimePoint{}) {
    input.useful_time = m_objective - now - room.expected_service;
  }
  input.remaining = m_deadline - now;
  if (m_caller_remaining_ms) {
    input.remaining =
        m_received_at + std::chrono::milliseconds(*m_caller_remaining_ms) - now;
  }
  input.refusal_share = ServiceRefusals().value();
  return RetryAfter(input, m_context.random());
}

}  // namespace yuccamast
