#include "yuccamast/membership/membership.h"

#include <algorithm>
#include <bit>

namespace yuccamast {

namespace {

constexpr std::uint8_t ValueOf(MemberState state) {
  return static_cast<std::uint8_t>(state);
}

/// Time for which the answer to a relayed ping is awaited.
constexpr Duration kRelayTimeout = std::chrono::seconds(2);

}  // namespace

Membership::Membership(MemberRecord self,
                       const MembershipOptions& options,
                       MembershipHooks hooks)
    : m_self(std::move(self)), m_options(options), m_hooks(std::move(hooks)) {
  m_self.version = 1;
}

void Membership::NotifyChange(const Member* member) {
  if (m_hooks.on_change) {
    m_hooks.on_change(member);
  }
}

void Membership::SetListed(const std::vector<ListedMember>& listed,
                           TimePoint now) {
  std::ranges::for_each(m_members,
                        [](auto& item) { item.second.listed = false; });
  std::ranges::for_each(listed, [&](const ListedMember& vm) {
    if (vm.vm == m_self.vm) {
      return;
    }
    const auto [found, is_new] = m_members.try_emplace(vm.vm);
    Member& member = found->second;
    member.listed = true;
    if (is_new) {
      member.changed_at = now;
    }
    if (member.record.epoch == 0) {
      // No record of its own yet: the list is the only source.
      member.record.vm = vm.vm;
      member.record.ip = vm.ip;
      member.record.port = vm.port;
      member.record.data_centre = vm.data_centre;
      member.record.region = vm.region;
    }
  });
  Reshuffle();
  NotifyChange();
}

void Membership::SetConfigVersion(const HeldVersion& version) {
  m_config = version;
  m_self.config_revision = version.revision;
  ++m_self.version;
}

void Membership::SetLeaving(bool leaving) {
  m_self.leaving = leaving;
  ++m_self.version;
}

void Membership::Announce() {
  std::ranges::for_each(RandomMembers(m_options.announce_fanout, ""),
                        [this](const Member* member) {
                          SendTo(*member, GossipKind::kAnnounce, 0);
                        });
}

void Membership::Join(std::size_t count, TimePoint now) {
  std::ranges::for_each(RandomMembers(count, ""), [&](const Member* member) {
    StartProbe(*member, now);
  });
}

void Membership::Send(GossipKind kind,
                      const std::string& ip,
                      std::uint16_t port,
                      std::uint64_t sequence,
                      const std::string& target) {
  GossipMessage message;
  message.kind = static_cast<std::uint8_t>(kind);
  message.sequence = sequence;
  message.target = target;
  message.sender = m_self;
  message.config = m_config;
  message.vm_list = m_vm_list;
  message.records = SelectRecords();
  if (m_hooks.contact) {
    message.contact = m_hooks.contact();
  }
  m_hooks.send(ip, port, message);
}

void Membership::SendTo(const Member& member,
                        GossipKind kind,
                        std::uint64_t sequence) {
  Send(kind, member.record.ip, member.record.port, sequence);
}

void Membership::QueueUpdate(const std::string& vm) {
  std::erase_if(m_updates,
                [&](const PendingUpdate& update) { return update.vm == vm; });
  m_updates.push_back({vm, 0});
  m_has_new_updates = true;
}

void Membership::PushUpdates(TimePoint now) {
  const double since_s =
      std::chrono::duration<double>(now - m_pushed_at).count();
  m_pushed_at = now;
  m_push_tokens = std::min(m_options.push_per_second,
                           m_push_tokens + since_s * m_options.push_per_second);
  if (!m_has_new_updates ||
      m_push_tokens < static_cast<double>(m_options.push_fanout)) {
    return;
  }
  m_has_new_updates = false;
  m_push_tokens -= static_cast<double>(m_options.push_fanout);
  std::ranges::for_each(RandomMembers(m_options.push_fanout, ""),
                        [this](const Member* member) {
                          SendTo(*member, GossipKind::kAnnounce, 0);
                        });
}

std::vector<MemberRecord> Membership::SelectRecords() {
  std::vector<MemberRecord> records;
  const unsigned limit =
      m_options.retransmit_factor * std::bit_width(m_members.size() + 1);
  std::ranges::stable_sort(m_updates, {}, &PendingUpdate::sent);
  for (PendingUpdate& update : m_updates) {
    if (records.size() == m_options.records_per_message) {
      break;
    }
    const auto member = m_members.find(update.vm);
    ++update.sent;
    if (member != m_members.end()) {
      records.push_back(member->second.record);
    }
  }
  std::erase_if(m_updates, [&](const PendingUpdate& update) {
    return update.sent >= limit;
  });
  // Free space is filled with other records in turn (anti-entropy).
  auto next = m_members.upper_bound(m_fill_cursor);
  for (std::size_t i = 0; i < m_members.size(); ++i) {
    if (records.size() >= m_options.records_per_message) {
      break;
    }
    if (next == m_members.end()) {
      next = m_members.begin();
    }
    m_fill_cursor = next->first;
    if (next->second.record.epoch != 0) {
      records.push_back(next->second.record);
    }
    ++next;
  }
  return records;
}

void Membership::MergeOwnRecord(const MemberRecord& record) {
  if (record.epoch > m_self.epoch) {
    // An earlier process of this VM had a greater epoch: its clock was ahead.
    m_self.epoch = record.epoch + 1;
    ++m_self.version;
    Announce();
    return;
  }
  const bool must_refute = record.epoch == m_self.epoch &&
                           record.state != ValueOf(MemberState::kLive) &&
                           record.version >= m_self.version;
  if (must_refute) {
    m_self.version = record.version + 1;
    Announce();
  }
}

void Membership::Merge(const MemberRecord& record, TimePoint now) {
  if (record.vm == m_self.vm) {
    MergeOwnRecord(record);
    return;
  }
  if (record.vm.empty() || record.epoch == 0 ||
      record.state > ValueOf(MemberState::kGone)) {
    return;
  }
  const bool gone = record.state == ValueOf(MemberState::kGone);
  const auto known = m_members.find(record.vm);
  if (known == m_members.end() && gone) {
    return;  // An unknown member that is gone need not be added.
  }
  const auto [found, is_new] = m_members.try_emplace(record.vm);
  Member& member = found->second;
  if (!is_new && !IsNewer(record, member.record)) {
    return;
  }
  const bool significant = is_new || record.state != member.record.state ||
                           record.leaving != member.record.leaving ||
                           record.epoch != member.record.epoch ||
                           record.ip != member.record.ip ||
                           record.port != member.record.port;
  // Only changes that others must learn at once are queued. The first record of
  // a member that isn't leaving, and changes that no node reacts to, spread by
  // the filler records.
  const bool first_record = is_new || member.record.epoch == 0;
  member.record = record;
  if (significant) {
    member.changed_at = now;
  }
  if (significant && (!first_record || record.leaving)) {
    QueueUpdate(record.vm);
  }
  if (is_new) {
    Reshuffle();
  }
  if (significant) {
    NotifyChange(&member);
  }
}

void Membership::OnSenderRecord(const MemberRecord& sender, TimePoint now) {
  Merge(sender, now);
  const auto found = m_members.find(sender.vm);
  if (found == m_members.end()) {
    return;
  }
  Member& member = found->second;
  m_heard_members += member.heard_at == TimePoint{} ? 1 : 0;
  member.heard_at = now;
  std::erase_if(m_probes, [&](const auto& probe) {
    return probe.second.vm == sender.vm;
  });
  // The known record of the member says suspect or gone and is at least as new
  // as the one that it sent. It must receive the known record to refute it, so
  // that is sent to it at once.
  if (member.state() != MemberState::kLive &&
      member.record.epoch == sender.epoch) {
    QueueUpdate(sender.vm);
    SendTo(member, GossipKind::kAnnounce, 0);
  }
}

void Membership::OnMessage(const GossipMessage& message, TimePoint now) {
  if (message.protocol != kGossipVersion || message.sender.vm == m_self.vm ||
      message.sender.vm.empty()) {
    return;
  }
  OnSenderRecord(message.sender, now);
  std::ranges::for_each(
      message.records, [&](const MemberRecord& record) { Merge(record, now); });
  const MemberRecord& sender = message.sender;
  switch (static_cast<GossipKind>(message.kind)) {
    case GossipKind::kPing:
      Send(GossipKind::kAck, sender.ip, sender.port, message.sequence);
      break;
    case GossipKind::kAck: {
      const auto relay = m_relays.extract(message.sequence);
      if (!relay.empty()) {
        // `target` in the relayed answer says which member answered; its record
        // goes along as an update.
        QueueUpdate(sender.vm);
        Send(GossipKind::kAck, relay.mapped().ip, relay.mapped().port,
             relay.mapped().sequence, sender.vm);
      }
      const auto target = m_members.find(message.target);
      if (!message.target.empty() && target != m_members.end()) {
        std::erase_if(m_probes, [&](const auto& probe) {
          return probe.second.vm == message.target;
        });
      }
      break;
    }
    case GossipKind::kPingRequest: {
      const auto target = m_members.find(message.target);
      if (target != m_members.end()) {
        const std::uint64_t sequence = ++m_sequence;
        m_relays[sequence] = {sender.ip, sender.port, message.sequence, now};
        SendTo(target->second, GossipKind::kPing, sequence);
      }
      break;
    }
    default:
      break;
  }
  if (m_hooks.on_contact) {
    m_hooks.on_contact(message.contact);
  }
  if (m_hooks.on_versions) {
    m_hooks.on_versions(sender, message.config, message.vm_list);
  }
}

void Membership::SetState(Member& member, MemberState state, TimePoint now) {
  member.record.state = ValueOf(state);
  member.changed_at = now;
  QueueUpdate(member.record.vm);
  NotifyChange(&member);
}

void Membership::Reshuffle() {
  m_probe_order.clear();
  std::ranges::transform(m_members, std::back_inserter(m_probe_order),
                         [](const auto& item) { return item.first; });
  for (std::size_t i = m_probe_order.size(); i > 1; --i) {
    std::swap(m_probe_order[i - 1], m_probe_order[m_hooks.random() % i]);
  }
  m_next_probe = 0;
}

const Member* Membership::NextProbeTarget() {
  const bool remote = ++m_probe_count % m_options.cross_region_interval == 0;
  for (std::size_t i = 0; i < m_probe_order.size(); ++i) {
    if (m_next_probe >= m_probe_order.size()) {
      Reshuffle();
    }
    const auto found = m_members.find(m_probe_order[m_next_probe++]);
    if (found == m_members.end() ||
        found->second.state() == MemberState::kGone) {
      continue;
    }
    const bool same_region = found->second.record.region == m_self.region;
    if (same_region != remote) {
      return &found->second;
    }
  }
  // No member in the wanted regions: take any that is not gone.
  const auto any = std::ranges::find_if(m_members, [](const auto& item) {
    return item.second.state() != MemberState::kGone;
  });
  return any == m_members.end() ? nullptr : &any->second;
}

void Membership::StartProbe(const Member& member, TimePoint now) {
  const std::uint64_t sequence = ++m_sequence;
  m_probes[sequence] = {member.record.vm, now, false};
  SendTo(member, GossipKind::kPing, sequence);
}

void Membership::ProbeNext(TimePoint now) {
  if (now - m_probed_at < m_options.probe_period) {
    return;
  }
  m_probed_at = now;
  const Member* member = NextProbeTarget();
  if (member != nullptr) {
    StartProbe(*member, now);
  }
}

void Membership::ProbeGone(TimePoint now) {
  if (now - m_gone_probed_at < m_options.gone_probe_period) {
    return;
  }
  m_gone_probed_at = now;
  std::vector<const Member*> gone;
  std::ranges::for_each(m_members, [&](const auto& item) {
    if (item.second.state() == MemberState::kGone && item.second.listed) {
      gone.push_back(&item.second);
    }
  });
  if (!gone.empty()) {
    SendTo(*gone[m_hooks.random() % gone.size()], GossipKind::kPing,
           ++m_sequence);
  }
}

void Membership::SendPingRequests(const Probe& probe, std::uint64_t sequence) {
  std::ranges::for_each(RandomMembers(m_options.indirect_probes, probe.vm),
                        [&](const Member* proxy) {
                          Send(GossipKind::kPingRequest, proxy->record.ip,
                               proxy->record.port, sequence, probe.vm);
                        });
}

void Membership::CheckProbeTimeouts(TimePoint now) {
  std::vector<std::string> failed;
  std::vector<std::uint64_t> unanswered;
  std::ranges::for_each(m_probes, [&](auto& item) {
    Probe& probe = item.second;
    const Duration age = now - probe.sent_at;
    if (age >= m_options.ack_timeout + m_options.indirect_timeout) {
      failed.push_back(probe.vm);
    } else if (!probe.indirect && age >= m_options.ack_timeout) {
      probe.indirect = true;
      unanswered.push_back(item.first);
    }
  });
  std::ranges::for_each(unanswered, [this](std::uint64_t sequence) {
    const auto probe = m_probes.find(sequence);
    if (probe != m_probes.end()) {
      SendPingRequests(Probe(probe->second), sequence);
    }
  });
  std::ranges::for_each(failed, [&](const std::string& vm) {
    std::erase_if(m_probes,
                  [&](const auto& item) { return item.second.vm == vm; });
    const auto found = m_members.find(vm);
    if (found != m_members.end() &&
        found->second.state() == MemberState::kLive) {
      SetState(found->second, MemberState::kSuspect, now);
    }
  });
}

void Membership::ExpireSuspects(TimePoint now) {
  std::ranges::for_each(m_members, [&](auto& item) {
    Member& member = item.second;
    if (member.state() == MemberState::kSuspect &&
        now - member.changed_at >= m_options.suspicion) {
      SetState(member, MemberState::kGone, now);
    }
  });
}

void Membership::EraseExpired(TimePoint now) {
  const std::size_t erased = std::erase_if(m_members, [&](const auto& item) {
    const Member& member = item.second;
    const bool expired =
        member.state() == MemberState::kGone || member.record.epoch == 0;
    return expired && !member.listed &&
           now - member.changed_at >= m_options.forget_after;
  });
  if (erased > 0) {
    Reshuffle();
    NotifyChange();
  }
  std::erase_if(m_relays, [&](const auto& item) {
    return now - item.second.at > kRelayTimeout;
  });
}

void Membership::OnTick(TimePoint now) {
  CheckProbeTimeouts(now);
  ExpireSuspects(now);
  ProbeNext(now);
  ProbeGone(now);
  PushUpdates(now);
  EraseExpired(now);
}

void Membership::OnPause(Duration pause, TimePoint now) {
  m_probes.clear();
  m_relays.clear();
  std::ranges::for_each(m_members, [&](auto& item) {
    if (item.second.state() == MemberState::kSuspect) {
      item.second.changed_at = std::min(now, item.second.changed_at + pause);
    }
  });
  Join(m_options.indirect_probes, now);
}

std::vector<const Member*> Membership::RandomMembers(
    std::size_t count,
    const std::string& except) const {
  std::vector<const Member*> chosen;
  const std::size_t tries = m_probe_order.empty() ? 0 : count * 4;
  for (std::size_t i = 0; i < tries && chosen.size() < count; ++i) {
    const auto found =
        m_members.find(m_probe_order[m_hooks.random() % m_probe_order.size()]);
    if (found == m_members.end() || found->first == except ||
        found->second.state() == MemberState::kGone) {
      continue;
    }
    const Member* member = &found->second;
    if (std::ranges::find(chosen, member) == chosen.end()) {
      chosen.push_back(member);
    }
  }
  return chosen;
}

}  // namespace yuccamast
