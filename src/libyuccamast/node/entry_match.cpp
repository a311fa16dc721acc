#include <algorithm>

#include "http/fields.h"
#include "node/entry_call.h"

/// How a call finds its rule, its service and the times it has.

namespace yuccamast {

namespace {

/// 2^64 over the golden ratio: steps of it spread evenly over the range.
constexpr std::uint64_t kGoldenStep = 0x9e3779b97f4a7c15U;

}  // namespace

const SplitPart& SplitTurns::Next(const std::vector<SplitPart>& parts) {
  m_next += kGoldenStep;
  std::uint64_t sum = 0;
  std::ranges::for_each(parts,
                        [&](const SplitPart& part) { sum += part.weight; });
  constexpr unsigned kHalf = 32;
  std::uint64_t at = ((m_next >> kHalf) * sum) >> kHalf;
  const auto found = std::ranges::find_if(parts, [&](const SplitPart& part) {
    if (at < part.weight) {
      return true;
    }
    at -= part.weight;
    return false;
  });
  return found == parts.end() ? parts.back() : *found;
}

std::optional<RefusalReason> EntryCall::ReadOwnFields() {
  if (const auto* text = FindField(m_request.fields, kDepthField)) {
    const auto depth = ParseCount(*text);
    if (!depth) {
      return RefusalReason::kBadRequest;
    }
    if (*depth >= static_cast<std::int64_t>(m_context.settings.max_depth)) {
      return RefusalReason::kDepthExceeded;
    }
    m_depth = static_cast<std::uint32_t>(*depth);
  }
  if (const auto* text = FindField(
          m_request.fields, m_context.settings.dialect->deadline_field)) {
    m_inherited_ms = ParseCount(*text);
    if (!m_inherited_ms) {
      return RefusalReason::kBadRequest;
    }
  }
  m_nested = IsNested();
  m_below_retry = FindField(m_request.fields, kRetryField) != nullptr;
  return std::nullopt;
}

const Rule* EntryCall::FindGoverningRule(std::string_view path,
                                         RefusalReason& if_none) const {
  const Configuration& config = *m_view->config;
  const std::string* host = FindField(m_request.fields, "host");
  if (host != nullptr) {
    if (const Rule* rule = FindPrefixRule(config, *host, path)) {
      return rule;
    }
  }
  if (!IsUnambiguousPath(path)) {
    if_none = RefusalReason::kAmbiguousPath;
    return nullptr;
  }
  return FindRule(config, m_request.method, path);
}

bool EntryCall::ChooseService() {
  std::string_view name = m_rule->service;
  if (!m_rule->split.empty()) {
    const auto turns =
        m_context.turns.try_emplace(m_rule->name, m_context.random()).first;
    name = turns->second.Next(m_rule->split).service;
  }
  const auto service = m_view->services.find(name);
  if (service == m_view->services.end()) {
    return false;
  }
  m_service = &service->second;
  return true;
}

std::optional<RefusalReason> EntryCall::Match() {
  const std::string_view target = m_request.target;
  const std::string_view path = target.substr(0, target.find('?'));
  if (target.find('#') != std::string_view::npos) {
    return RefusalReason::kAmbiguousPath;
  }
  if (const auto reason = ReadOwnFields()) {
    return reason;
  }
  if (m_context.view_is_old()) {
    return RefusalReason::kPaused;
  }
  m_view = m_context.store.Load();
  if (m_view->config == nullptr || m_view->vms == nullptr) {
    return RefusalReason::kNoConfiguration;
  }
  RefusalReason if_none = RefusalReason::kNoRule;
  m_rule = FindGoverningRule(path, if_none);
  if (m_rule == nullptr) {
    return if_none;
  }
  if (!ChooseService()) {
    return RefusalReason::kNoUpstream;
  }
  Duration allowed = m_rule->deadline;
  if (m_inherited_ms) {
    allowed =
        std::min<Duration>(allowed, std::chrono::milliseconds(*m_inherited_ms));
  }
  m_deadline = m_begun_at + allowed;
  SetObjective();
  return std::nullopt;
}

void EntryCall::SetObjective() {
  m_first_asked = m_begun_at;
  if (m_inherited_ms) {
    const Duration left = std::chrono::milliseconds(*m_inherited_ms);
    const RequestKey key =
        KeyOfRequest(m_rule->name, m_request.method, m_request.target);
    if (const auto first =
            m_context.returning.FirstAsked(key, left, m_begun_at)) {
      m_first_asked = *first;
    } else if (!m_request.from_own_vm) {
      // What a nested call has left is its parent's, and says nothing.
      m_first_asked -=
          m_context.patience.Waited(m_rule->name, left, m_begun_at);
    }
  }
  // A nested call is in time while its parent can still wait for it.
  if (m_rule->objective > std::chrono::milliseconds::zero() && !m_nested) {
    m_objective = m_first_asked + m_rule->objective;
  }
}

bool EntryCall::IsNested() const {
  const auto& parent_call_id = m_context.settings.dialect->parent_call_id;
  if (!m_request.from_own_vm || !parent_call_id) {
    return m_request.from_own_vm;
  }
  const std::string_view parent = parent_call_id(m_id);
  return !parent.empty() && m_context.running->Contains(parent);
}

void EntryCall::RememberCaller() {
  if (!m_inherited_ms) {
    return;
  }
  const TimePoint now = Clock::now();
  const Duration left =
      std::chrono::milliseconds(*m_inherited_ms) - (now - m_begun_at);
  m_context.returning.OnTurnedAway(
      KeyOfRequest(m_rule->name, m_request.method, m_request.target),
      m_first_asked, left, now);
}

}  // namespace yuccamast
