#include "yuccamast/membership/membership.h"

#include <algorithm>
#include <bit>

namespace yuccamast {

namespace {

constexpr std::uint8_t Number(MemberState state) {
  return static_cast<std::uint8_t>(state);
}

constexpr Duration kRelayLife = std::chrono::seconds(2);

}  // namespace

Membership::Membership(MemberRecord self,
                       const MembershipOptions& options,
                       MembershipHooks hooks)
    : m_self(std::move(self)), m_options(options), m_hooks(std::move(hooks)) {
  m_self.version = 1;
}

void Membership::Changed(const Member* member) {
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
      // It has not spoken yet: the list is all that is known.
      member.record.vm = vm.vm;
      member.record.ip = vm.ip;
      member.record.port = vm.port;
      member.record.data_centre = vm.data_centre;
      member.record.region = vm.region;
    }
  });
  Reshuffle();
  Changed();
}

void Membership::SetConfig(const HeldVersion& version) {
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
  message.records = PickRecords();
  m_hooks.send(ip, port, message);
}

void Membership::SendTo(const Member& member,
                        GossipKind kind,
                        std::uint64_t sequence) {
  Send(kind, member.record.ip, member.record.port, sequence);
}

void Membership::Queue(const std::string& vm) {
  std::erase_if(m_news, [&](const News& news) { return news.vm == vm; });
  m_news.push_back({vm, 0});
  m_fresh_news = true;
}

void Membership::PushNews(TimePoint now) {
  const double since_s =
      std::chrono::duration<double>(now - m_pushed_at).count();
  m_pushed_at = now;
  m_push_tokens = std::min(m_options.push_per_second,
                           m_push_tokens + since_s * m_options.push_per_second);
  if (!m_fresh_news ||
      m_push_tokens < static_cast<double>(m_options.push_fanout)) {
    return;
  }
  m_fresh_news = false;
  m_push_tokens -= static_cast<double>(m_options.push_fanout);
  std::ranges::for_each(RandomMembers(m_options.push_fanout, ""),
                        [this](const Member* member) {
                          SendTo(*member, GossipKind::kAnnounce, 0);
                        });
}

std::vector<MemberRecord> Membership::PickRecords() {
  std::vector<MemberRecord> records;
  const unsigned limit =
      m_options.retransmit_factor * std::bit_width(m_members.size() + 1);
  std::ranges::stable_sort(m_news, {}, &News::sent);
  for (News& news : m_news) {
    if (records.size() == m_options.records_per_message) {
      break;
    }
    const auto member = m_members.find(news.vm);
    ++news.sent;
    if (member != m_members.end()) {
      records.push_back(member->second.record);
    }
  }
  std::erase_if(m_news, [&](const News& news) { return news.sent >= limit; });
  // Room that is left goes to the other records in turn.
  auto next = m_members.upper_bound(m_cursor);
  for (std::size_t i = 0; i < m_members.size(); ++i) {
    if (records.size() >= m_options.records_per_message) {
      break;
    }
    if (next == m_members.end()) {
      next = m_members.begin();
    }
    m_cursor = next->first;
    if (next->second.record.epoch != 0) {
      records.push_back(next->second.record);
    }
    ++next;
  }
  return records;
}

void Membership::MergeSelf(const MemberRecord& record) {
  if (record.epoch > m_self.epoch) {
    // An earlier life of this VM ran with a clock ahead of ours.
    m_self.epoch = record.epoch + 1;
    ++m_self.version;
    Announce();
    return;
  }
  const bool blamed = record.epoch == m_self.epoch &&
                      record.state != Number(MemberState::kLive) &&
                      record.version >= m_self.version;
  if (blamed) {
    m_self.version = record.version + 1;
    Announce();
  }
}

void Membership::Merge(const MemberRecord& record, TimePoint now) {
  if (record.vm == m_self.vm) {
    MergeSelf(record);
    return;
  }
  if (record.vm.empty() || record.epoch == 0 ||
      record.state > Number(MemberState::kGone)) {
    return;
  }
  const bool gone = record.state == Number(MemberState::kGone);
  const auto known = m_members.find(record.vm);
  if (known == m_members.end() && gone) {
    return;  // Nobody needs to learn of a member after its end.
  }
  const auto [found, is_new] = m_members.try_emplace(record.vm);
  Member& member = found->second;
  if (!is_new && !IsNewer(record, member.record)) {
    return;
  }
  const bool visible = is_new || record.state != member.record.state ||
                       record.leaving != member.record.leaving ||
                       record.epoch != member.record.epoch ||
                       record.ip != member.record.ip ||
                       record.port != member.record.port;
  // A first word, or a change that nobody acts on, is spread by the records
  // that fill datagrams; the queue is for what others must learn at once.
  const bool first_word = is_new || member.record.epoch == 0;
  member.record = record;
  if (visible) {
    member.changed_at = now;
  }
  if (visible && (!first_word || record.leaving)) {
    Queue(record.vm);
  }
  if (is_new) {
    Reshuffle();
  }
  if (visible) {
    Changed(&member);
  }
}

void Membership::HearFrom(const MemberRecord& sender, TimePoint now) {
  Merge(sender, now);
  const auto found = m_members.find(sender.vm);
  if (found == m_members.end()) {
    return;
  }
  Member& member = found->second;
  m_heard += member.heard_at == TimePoint{} ? 1 : 0;
  member.heard_at = now;
  std::erase_if(m_probes, [&](const auto& probe) {
    return probe.second.vm == sender.vm;
  });
  // Still believed suspect or gone by an equal or newer word: the member must
  // hear of it to refute it, so the word goes back at once.
  if (member.state() != MemberState::kLive &&
      member.record.epoch == sender.epoch) {
    Queue(sender.vm);
    SendTo(member, GossipKind::kAnnounce, 0);
  }
}

void Membership::OnMessage(const GossipMessage& message, TimePoint now) {
  if (message.protocol != kGossipVersion || message.sender.vm == m_self.vm ||
      message.sender.vm.empty()) {
    return;
  }
  HearFrom(message.sender, now);
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
        // The member's own word is in our records; say that it answered.
        Queue(sender.vm);
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
  if (m_hooks.on_versions) {
    m_hooks.on_versions(sender, message.config, message.vm_list);
  }
}

void Membership::Judge(Member& member, MemberState state, TimePoint now) {
  member.record.state = Number(state);
  member.changed_at = now;
  Queue(member.record.vm);
  Changed(&member);
}

void Membership::Reshuffle() {
  m_order.clear();
  std::ranges::transform(m_members, std::back_inserter(m_order),
                         [](const auto& item) { return item.first; });
  for (std::size_t i = m_order.size(); i > 1; --i) {
    std::swap(m_order[i - 1], m_order[m_hooks.random() % i]);
  }
  m_next = 0;
}

const Member* Membership::NextTarget() {
  const bool remote = ++m_rounds % m_options.remote_every == 0;
  for (std::size_t i = 0; i < m_order.size(); ++i) {
    if (m_next >= m_order.size()) {
      Reshuffle();
    }
    const auto found = m_members.find(m_order[m_next++]);
    if (found == m_members.end() ||
        found->second.state() == MemberState::kGone) {
      continue;
    }
    const bool same_region = found->second.record.region == m_self.region;
    if (same_region != remote) {
      return &found->second;
    }
  }
  // No member of the wanted kind: any that is not gone will do.
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
  const Member* member = NextTarget();
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

void Membership::AskOthers(const Probe& probe, std::uint64_t sequence) {
  std::ranges::for_each(RandomMembers(m_options.indirect_probes, probe.vm),
                        [&](const Member* helper) {
                          Send(GossipKind::kPingRequest, helper->record.ip,
                               helper->record.port, sequence, probe.vm);
                        });
}

void Membership::CheckProbes(TimePoint now) {
  std::vector<std::string> failed;
  std::vector<std::uint64_t> ask;
  std::ranges::for_each(m_probes, [&](auto& item) {
    Probe& probe = item.second;
    const Duration age = now - probe.sent_at;
    if (age >= m_options.ack_timeout + m_options.indirect_timeout) {
      failed.push_back(probe.vm);
    } else if (!probe.indirect && age >= m_options.ack_timeout) {
      probe.indirect = true;
      ask.push_back(item.first);
    }
  });
  std::ranges::for_each(ask, [this](std::uint64_t sequence) {
    const auto probe = m_probes.find(sequence);
    if (probe != m_probes.end()) {
      AskOthers(Probe(probe->second), sequence);
    }
  });
  std::ranges::for_each(failed, [&](const std::string& vm) {
    std::erase_if(m_probes,
                  [&](const auto& item) { return item.second.vm == vm; });
    const auto found = m_members.find(vm);
    if (found != m_members.end() &&
        found->second.state() == MemberState::kLive) {
      Judge(found->second, MemberState::kSuspect, now);
    }
  });
}

void Membership::CheckSuspects(TimePoint now) {
  std::ranges::for_each(m_members, [&](auto& item) {
    Member& member = item.second;
    if (member.state() == MemberState::kSuspect &&
        now - member.changed_at >= m_options.suspicion) {
      Judge(member, MemberState::kGone, now);
    }
  });
}

void Membership::Forget(TimePoint now) {
  const std::size_t erased = std::erase_if(m_members, [&](const auto& item) {
    const Member& member = item.second;
    const bool over =
        member.state() == MemberState::kGone || member.record.epoch == 0;
    return over && !member.listed &&
           now - member.changed_at >= m_options.forget_after;
  });
  if (erased > 0) {
    Reshuffle();
    Changed();
  }
  std::erase_if(m_relays, [&](const auto& item) {
    return now - item.second.at > kRelayLife;
  });
}

void Membership::OnTick(TimePoint now) {
  CheckProbes(now);
  CheckSuspects(now);
  ProbeNext(now);
  ProbeGone(now);
  PushNews(now);
  Forget(now);
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
  const std::size_t tries = m_order.empty() ? 0 : count * 4;
  for (std::size_t i = 0; i < tries && chosen.size() < count; ++i) {
    const auto found =
        m_members.find(m_order[m_hooks.random() % m_order.size()]);
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
