#include <algorithm>

#include "node/entry_call.h"

/// Whom a call asks for their load before its upstream is chosen.

namespace yuccamast {

namespace {

/// Longest wait for the answers of asked exits. Beyond a round trip within a
/// region there is no use in waiting.
constexpr Duration kAskLimit = std::chrono::milliseconds(8);
/// Upstreams of the own data centre that are asked first: a question there
/// takes a fraction of a millisecond, and mostly one of them has room.
constexpr std::size_t kNearAsks = 2;
/// Others that are asked if none of these has room.
constexpr std::size_t kFarAsks = 3;

}  // namespace

std::vector<LoadQueryTarget> EntryCall::PickToAsk(bool near_only,
                                                  std::size_t most) {
  const TimePoint now = Clock::now();
  const EstimateOptions options;
  std::vector<LoadQueryTarget> targets;
  const std::size_t count = m_service->candidates.size();
  const std::size_t start = count == 0 ? 0 : m_context.random() % count;
  std::size_t picked = 0;
  for (std::size_t i = 0; i < count && picked < most; ++i) {
    const std::size_t index = (start + i) % count;
    const Candidate& candidate = m_service->candidates[index];
    const bool known = std::ranges::find(m_tried, index) != m_tried.end() ||
                       std::ranges::find(m_asked, index) != m_asked.end();
    if (known || candidate.state->IsLeaving(now) ||
        (near_only &&
         candidate.distance > m_context.settings.distance.same_data_centre)) {
      continue;
    }
    ++picked;
    m_asked.push_back(index);
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

bool EntryCall::AskedHasRoom() const {
  const TimePoint now = Clock::now();
  return std::ranges::any_of(m_asked, [&](std::size_t index) {
    return m_service->candidates[index].state->HasSpareSlot(now,
                                                            EstimateOptions{});
  });
}

void EntryCall::Ask(const std::vector<LoadQueryTarget>& targets,
                    std::function<void()> then) {
  if (targets.empty()) {
    then();
    return;
  }
  m_context.asker.Ask(targets, kAskLimit,
                      [self = shared_from_this(), then = std::move(then)] {
                        if (!self->m_over) {
                          then();
                        }
                      });
}

void EntryCall::AskAndTry(RefusalReason if_none) {
  m_asked.clear();
  if (!m_context.settings.asks_load ||
      m_service->service.policy != PolicyKind::kLeastCost) {
    TryNext(if_none);
    return;
  }
  Ask(PickToAsk(true, kNearAsks), [this, if_none] { AskFurther(if_none); });
}

void EntryCall::AskFurther(RefusalReason if_none) {
  if (AskedHasRoom()) {
    TryNext(if_none);
    return;
  }
  Ask(PickToAsk(false, kFarAsks), [this, if_none] { TryNext(if_none); });
}

}  // namespace yuccamast
