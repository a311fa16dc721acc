#include "node/reader_role.h"

#include <algorithm>
#include <array>

#include "log/log.h"

namespace yuccamast {

namespace {

/// Period of the ranking of all members.
constexpr Duration kRankPeriod = std::chrono::milliseconds(200);
/// In a fleet below this size every node reads a strongly consistent source:
/// that costs no more than the readers of a larger fleet.
constexpr std::size_t kSmallFleetSize = 6;

}  // namespace

std::string_view NameOf(ReaderState state) {
  constexpr std::array<std::string_view, 4> kNames = {
      "none", "designated", "substitute", "bootstrap"};
  return kNames.at(static_cast<std::size_t>(state));
}

ReaderRole::ReaderRole(const NodeSettings& settings,
                       const Membership& membership,
                       std::function<std::uint64_t()> random,
                       TimePoint now)
    : m_membership(membership),
      m_freshness(settings.vm,
                  settings.membership.probe_period,
                  std::move(random),
                  now),
      m_reading_since(now) {}

void ReaderRole::UpdateRank(TimePoint now) {
  if (now < m_rank_due) {
    return;
  }
  m_rank_due = now + kRankPeriod;
  m_designated = IsPlatformReader(m_membership);
  m_position = PositionAmongReaders(m_membership);
}

ReaderState ReaderRole::NextState(const PlatformSource& source,
                                  const ReaderInputs& inputs,
                                  TimePoint now) {
  if (!inputs.has_vm_list) {
    return ReaderState::kBootstrap;
  }
  UpdateRank(now);
  if (m_designated) {
    m_freshness.Reset();
    return ReaderState::kDesignated;
  }
  if (m_freshness.Update(m_position, now)) {
    return ReaderState::kSubstitute;
  }
  const bool small_fleet = source.is_strongly_consistent &&
                           m_membership.members().size() < kSmallFleetSize;
  return inputs.unconfigured || small_fleet ? ReaderState::kBootstrap
                                            : ReaderState::kNone;
}

void ReaderRole::Update(const PlatformSource& source,
                        const ReaderInputs& inputs,
                        TimePoint now) {
  const ReaderState state = NextState(source, inputs, now);
  if (state != m_state) {
    if (m_state == ReaderState::kNone) {
      m_reading_since = now;
    }
    Log(LogLevel::kInfo, LogEvent::kReaderStateChanged,
        {{"state", NameOf(state)},
         {"before", NameOf(m_state)},
         {"peer_contact_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(
              m_freshness.PeerContactAge(now))
              .count()},
         {"isolated", m_freshness.IsIsolated(now)}});
    m_state = state;
  }
  const std::size_t readers = m_position.readers;
  const std::size_t substitutes =
      std::max<std::size_t>(1, readers / kReadersPerDataCentre);
  m_reader_count = state == ReaderState::kDesignated   ? readers
                   : state == ReaderState::kSubstitute ? substitutes
                                                       : 0;
  m_reads_vm_list = state != ReaderState::kNone;
  m_reads_config = state != ReaderState::kNone &&
                   (inputs.has_vm_list || inputs.unconfigured);
  UpdateContact(source, now);
}

void ReaderRole::UpdateContact(const PlatformSource& source, TimePoint now) {
  m_in_contact = m_state != ReaderState::kNone && source.config_reachable() &&
                 source.vm_list_reachable() &&
                 source.last_read_at() >= m_reading_since;
  if (m_in_contact) {
    m_freshness.OnOwnContact(m_designated, now);
  }
}

bool ReaderRole::IsPlatformLost(TimePoint now) const {
  return !m_freshness.IsIsolated(now) &&
         m_freshness.PeerContactAge(now) >=
             m_freshness.MaxContactAge(m_position);
}

}  // namespace yuccamast
