#include "node/control_plane.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <random>

#include "link/message_mac.h"
#include "link/messages.h"
#include "log/log.h"
#include "yuccamast/membership/reader_rank.h"

namespace yuccamast {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kPauseGap = std::chrono::milliseconds(400);
constexpr Duration kSettle = std::chrono::milliseconds(50);

/// A fresh node waits this long for peers before it trusts the service alone.
constexpr Duration kJoinTime = std::chrono::seconds(2);
constexpr std::size_t kJoinPeers = 3;

/// Without a configuration for this long, a node reads the service itself
/// even if it is not among the readers.
constexpr Duration kReadAnyway = std::chrono::seconds(3);

/// Longest time that a view stays marked old after a pause.
constexpr Duration kOldAtMost = std::chrono::seconds(2);

/// A list that lost half of its VMs must be read this often to be believed.
constexpr std::size_t kShortListReads = 5;

/// Upstreams that lapsed with the list's service are listed again within this.
constexpr Duration kListSettle = std::chrono::milliseconds(2200);

/// Up to this many members, each node reads a current source itself: that
/// costs no more than the readers of a larger fleet.
constexpr std::size_t kSmallFleet = 6;

/// News that come from another data centre first wait this long for a holder
/// in the own one, which is cheaper to fetch from.
constexpr Duration kNearerHolder = std::chrono::milliseconds(150);

/// A request for what a peer holds.
struct HeldRequest {
  std::uint8_t kind = 0;
  MSGPACK_DEFINE(kind)
};

std::uint64_t EpochNow() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

MemberRecord SelfRecord(const NodeSettings& settings) {
  MemberRecord self;
  self.vm = settings.vm;
  self.ip = settings.ip;
  self.port = settings.advertised_port;
  self.data_centre = settings.data_centre;
  self.region = settings.region;
  self.epoch = EpochNow();
  return self;
}

std::int64_t AgeMs(TimePoint then, TimePoint now) {
  return then == TimePoint{}
             ? -1
             : std::chrono::duration_cast<std::chrono::milliseconds>(now - then)
                   .count();
}

}  // namespace

ControlPlane::ControlPlane(asio::io_context& io,
                           const NodeSettings& settings,
                           FleetViewStore& store,
                           Metrics& metrics,
                           SourceFactory make_source)
    : m_io(io),
      m_settings(settings),
      m_store(store),
      m_metrics(metrics),
      m_socket(io, settings, metrics),
      m_random(std::random_device{}()),
      m_membership(SelfRecord(settings), settings.membership, MakeHooks()),
      m_open_source(std::move(make_source)),
      m_vm_list_retention(kListSettle),
      m_started_at(Clock::now()),
      m_pause(kPauseGap, kSettle, Clock::now()),
      m_tick(io) {}

ControlPlane::~ControlPlane() = default;

MembershipHooks ControlPlane::MakeHooks() {
  MembershipHooks hooks;
  hooks.send = [this](const std::string& ip, std::uint16_t port,
                      const GossipMessage& message) {
    m_socket.Send(ip, port, message);
  };
  hooks.random = [this] { return m_random(); };
  hooks.on_change = [this](const Member* member) {
    m_members_changed = true;
    if (member != nullptr) {
      Log(LogLevel::kInfo, LogEvent::kMemberChanged,
          {{"vm", member->record.vm},
           {"state", NameOf(member->state())},
           {"leaving", member->record.leaving},
           {"epoch", member->record.epoch}});
    }
  };
  hooks.on_versions = [this](const MemberRecord& holder,
                             const HeldVersion& config,
                             const HeldVersion& vm_list) {
    OnVersions(holder, config, vm_list);
  };
  return hooks;
}

void ControlPlane::Start() {
  m_socket.Start([this](const std::string& ip) { return AcceptsFrom(ip); },
                 [this](const GossipMessage& message) {
                   m_membership.OnMessage(message, Clock::now());
                 });
  m_source = m_open_source(m_io, m_settings, m_metrics, MakeSourceHooks());
  ArmTick();
}

SourceHooks ControlPlane::MakeSourceHooks() {
  SourceHooks hooks;
  hooks.is_reader = [this] { return m_is_reader.load(); };
  hooks.on_reachable = [this](bool reachable) {
    asio::post(m_io, [this, reachable] { OnSourceReachable(reachable); });
  };
  hooks.reads_config = [this] { return m_reads_config.load(); };
  hooks.reads_vms = [this] { return m_reads_vms.load(); };
  hooks.revision = [this] { return m_wait_beyond.load(); };
  hooks.on_config = [this](PublishedConfig config) {
    asio::post(m_io,
               [this, config = std::move(config)] { OnServiceConfig(config); });
  };
  hooks.on_vms = [this](VmList list) {
    asio::post(m_io, [this, list = std::move(list)]() mutable {
      OnServiceVms(std::move(list));
    });
  };
  return hooks;
}

void ControlPlane::OnSourceReachable(bool reachable) {
  const TimePoint now = Clock::now();
  if (!m_settings.upstreams_listed || m_vms == nullptr) {
    return;
  }
  if (!reachable) {
    m_vm_list_retention.OnSourceLost(m_vms);
  } else if (m_vm_list_retention.is_retaining()) {
    m_vm_list_retention.OnSourceRegained(now);
  }
}

void ControlPlane::UseList(TimePoint now) {
  std::vector<ListedMember> listed;
  std::ranges::transform(m_vms->vms, std::back_inserter(listed),
                         [](const VmRecord& vm) {
                           return ListedMember{vm.id, vm.ip, vm.inner_port,
                                               vm.data_centre, vm.region};
                         });
  m_membership.SetListed(listed, now);
  m_store.SetVms(m_vms);
}

bool ControlPlane::AcceptsFrom(const std::string& ip) const {
  if (m_vms == nullptr || m_settings.upstreams_listed) {
    // Either nothing is known yet, or the list names the VMs with an upstream
    // only, and a node may outlive its upstream. The seal is the only guard.
    return true;
  }
  return std::ranges::any_of(m_vms->vms,
                             [&](const VmRecord& vm) { return vm.ip == ip; });
}

void ControlPlane::OnVersions(const MemberRecord& holder,
                              const HeldVersion& config,
                              const HeldVersion& vm_list) {
  ++m_heard_since_pause;
  const ConfigVersion offered{config.revision, config.digest};
  if (config.revision > 0 && offered > m_keeper.version() &&
      offered != m_keeper.refused_version()) {
    Fetch(Kind::kConfig, holder);
  }
  if (vm_list.revision > m_vm_version.revision &&
      vm_list.digest == m_vm_version.digest) {
    m_vm_version = vm_list;  // The same list, read again later.
    m_membership.SetVmList(m_vm_version);
  } else if (vm_list > m_vm_version) {
    FetchList(holder);
  }
}

void ControlPlane::FetchList(const MemberRecord& holder) {
  const TimePoint now = Clock::now();
  const bool near = holder.data_centre == m_settings.data_centre;
  const bool waited = m_far_holder && now - m_far_since >= kNearerHolder;
  if (near || waited) {
    m_far_holder.reset();
    Fetch(Kind::kVmList, holder);
  } else if (!m_far_holder) {
    m_far_holder = holder;
    m_far_since = now;
  }
}

void ControlPlane::Fetch(Kind kind, const MemberRecord& holder) {
  bool& fetching = m_fetching[static_cast<std::size_t>(kind)];
  boost::system::error_code bad;
  const auto address = asio::ip::make_address(holder.ip, bad);
  if (fetching || bad || m_closed) {
    return;
  }
  fetching = true;
  auto& link = m_links[{address, holder.port}];
  if (link == nullptr) {
    link = std::make_shared<PeerLink>(m_io, tcp::endpoint(address, holder.port),
                                      m_settings.link, m_metrics);
  }
  const HeldRequest request{static_cast<std::uint8_t>(kind)};
  OfferHooks hooks;
  hooks.on_answer = [this, kind](StreamOutcome outcome,
                                 const std::string& bytes) {
    m_fetching[static_cast<std::size_t>(kind)] = false;
    if (outcome == StreamOutcome::kAnswered) {
      OnFetched(kind, bytes);
    }
  };
  link->Send(LinkPath::kControl,
             AppendMac(m_settings.shared_key, Pack(request)), std::move(hooks));
}

std::optional<std::string> ControlPlane::Serve(std::string bytes) const {
  const auto open = VerifyAndStripMac(m_settings.shared_key, std::move(bytes));
  const auto request = open ? Unpack<HeldRequest>(*open) : std::nullopt;
  const auto held = m_held.load();
  m_metrics.Add(Counter::kControlMessagesReceived);
  if (!request || held == nullptr) {
    m_metrics.Add(Counter::kControlMessagesRefused);
    return std::nullopt;
  }
  const std::string& text =
      request->kind == static_cast<std::uint8_t>(Kind::kConfig)
          ? held->config_text
          : held->vm_list_text;
  m_metrics.Add(Counter::kControlBytesSent, text.size());
  return AppendMac(m_settings.shared_key, text);
}

void ControlPlane::OnFetched(Kind kind, const std::string& bytes) {
  m_metrics.Add(Counter::kControlBytesReceived, bytes.size());
  const auto text = VerifyAndStripMac(m_settings.shared_key, bytes);
  if (!text) {
    m_metrics.Add(Counter::kControlMessagesRefused);
    return;
  }
  if (kind == Kind::kConfig) {
    const auto config = ParsePublishedConfig(*text);
    if (config) {
      OfferConfig(config.value());
    }
    return;
  }
  auto list = ParseVmList(*text);
  if (list) {
    OfferVms(std::move(list.value()));
  }
}

bool ControlPlane::Joined() const {
  if (m_source.is_strongly_consistent) {
    return true;
  }
  const TimePoint now = Clock::now();
  const std::size_t peers = m_membership.members().size();
  const std::size_t wanted = std::min(kJoinPeers, peers);
  const bool heard = m_vms != nullptr && m_membership.heard_members() >= wanted;
  const bool waited =
      m_listed_at != TimePoint{} && now - m_listed_at >= kJoinTime;
  return (heard || waited) &&
         !m_fetching[static_cast<std::size_t>(Kind::kConfig)];
}

void ControlPlane::OnServiceConfig(const PublishedConfig& config) {
  if (m_keeper.in_force() == nullptr && !Joined()) {
    m_unjoined_config = config;
    return;
  }
  OfferConfig(config);
}

void ControlPlane::OfferConfig(const PublishedConfig& config) {
  const ConfigVerdict verdict = m_keeper.Submit(config.files, config.revision);
  switch (verdict) {
    case ConfigVerdict::kAccepted:
      OnConfigAccepted();
      break;
    case ConfigVerdict::kRefused:
      std::ranges::for_each(m_keeper.refused_errors(),
                            [&](const ConfigError& error) {
                              Log(LogLevel::kError, LogEvent::kConfigRefused,
                                  {{"revision", config.revision},
                                   {"file", error.file},
                                   {"key", error.key},
                                   {"fault", NameOf(error.fault)},
                                   {"detail", error.detail}});
                            });
      break;
    case ConfigVerdict::kOlder:
      if (!m_config_stale_logged) {
        Log(LogLevel::kWarning, LogEvent::kConfigStale,
            {{"offered", config.revision},
             {"in_force", m_keeper.version().revision}});
      }
      m_config_stale_logged = true;
      break;
    case ConfigVerdict::kSame:
      break;
  }
  m_wait_beyond = std::max(m_keeper.version().revision,
                           m_keeper.refused_version().revision);
}

void ControlPlane::OnConfigAccepted() {
  const ConfigVersion version = m_keeper.version();
  m_accepted_at = Clock::now();
  m_config_stale_logged = false;
  m_unjoined_config.reset();
  m_store.SetConfig(m_keeper.in_force());
  m_membership.SetConfig({version.revision, version.digest});
  PublishHeld();
  m_membership.Announce();
  Log(LogLevel::kInfo, LogEvent::kConfigAccepted,
      {{"revision", version.revision}, {"digest", version.digest}});
  if (m_keeper.conflict_seen()) {
    Log(LogLevel::kError, LogEvent::kConfigConflict,
        {{"revision", version.revision}});
  }
}

void ControlPlane::OnServiceVms(VmList list) {
  const std::size_t before = m_vms == nullptr ? 0 : m_vms->vms.size();
  if (!m_source.is_strongly_consistent && list.vms.size() * 2 < before &&
      ++m_short_lists < kShortListReads) {
    Log(LogLevel::kWarning, LogEvent::kVmListRefused,
        {{"vms", list.vms.size()}, {"before", before}});
    return;
  }
  m_short_lists = 0;
  m_service_list = std::make_shared<const VmList>(std::move(list));
  PublishServiceList();
}

void ControlPlane::PublishServiceList() {
  if (m_service_list == nullptr) {
    return;
  }
  OfferVms(m_vm_list_retention.ApplyVersioned(m_service_list));
}

void ControlPlane::OfferVms(VmList list) {
  // The digest is of what is listed, so that the same list read at another
  // revision is known as the same.
  VmList unversioned = list;
  unversioned.revision = 0;
  const HeldVersion version{list.revision,
                            DigestOf({{"vms", WriteVmList(unversioned)}})};
  if (m_vms != nullptr && version <= m_vm_version) {
    return;
  }
  const bool same = m_vms != nullptr && version.digest == m_vm_version.digest;
  m_vm_version = version;
  m_membership.SetVmList(version);
  if (same) {
    return;
  }
  m_vms = std::make_shared<const VmList>(std::move(list));
  const TimePoint now = Clock::now();
  UseList(now);
  m_far_holder.reset();
  m_membership.Announce();
  if (m_listed_at == TimePoint{}) {
    m_listed_at = now;
    m_membership.Join(kJoinPeers + 2, now);
  }
  PublishHeld();
  Log(LogLevel::kInfo, LogEvent::kVmListAccepted,
      {{"revision", version.revision}, {"vms", m_vms->vms.size()}});
}

void ControlPlane::ArmTick() {
  m_tick.expires_after(kTick);
  m_tick.async_wait([this](const boost::system::error_code& error) {
    if (!error && !m_closed) {
      OnTick();
      ArmTick();
    }
  });
}

void ControlPlane::CheckPause(TimePoint now) {
  const Duration pause = m_pause.Check(now);
  if (pause == Duration::zero()) {
    return;
  }
  m_metrics.Add(Counter::kPauses);
  Log(LogLevel::kWarning, LogEvent::kPauseNoticed,
      {{"face", "control"}, {"ms", AgeMs(now - pause, now)}});
  m_store.MarkStale();
  m_heard_since_pause = 0;
  m_membership.OnPause(pause, now);
}

void ControlPlane::CheckOld(TimePoint now) {
  if (!m_store.IsStale()) {
    m_old_since = {};
    return;
  }
  if (m_old_since == TimePoint{}) {
    m_old_since = now;
    m_heard_since_pause = 0;
    m_membership.Join(kJoinPeers, now);
  }
  const bool heard = m_heard_since_pause >=
                     std::min(kJoinPeers, m_membership.members().size());
  const bool fetching = m_fetching[0] || m_fetching[1];
  if ((heard && !fetching) || now - m_old_since >= kOldAtMost) {
    m_store.ClearStale();
    m_old_since = {};
  }
}

void ControlPlane::OnTick() {
  const TimePoint now = Clock::now();
  CheckPause(now);
  m_membership.OnTick(now);
  if (m_members_changed) {
    m_members_changed = false;
    PublishLiveness();
  }
  CheckOld(now);
  if (m_far_holder && now - m_far_since >= kNearerHolder) {
    const MemberRecord holder = *m_far_holder;
    m_far_holder.reset();
    Fetch(Kind::kVmList, holder);
  }
  if (m_vm_list_retention.EndIfExpired(now)) {
    PublishServiceList();
  }
  const bool reader = m_vms != nullptr && IsReader(m_membership);
  m_is_reader = reader;
  const bool small = m_source.is_strongly_consistent &&
                     m_membership.members().size() < kSmallFleet;
  const bool starved =
      m_keeper.in_force() == nullptr && now - m_started_at >= kReadAnyway;
  m_reads_config = reader || starved || small;
  m_reads_vms = reader || m_vms == nullptr || small;
  if (m_unjoined_config && Joined()) {
    const PublishedConfig config = std::move(*m_unjoined_config);
    m_unjoined_config.reset();
    OfferConfig(config);
  }
}

void ControlPlane::SetLeaving(bool leaving) {
  m_membership.SetLeaving(leaving);
  m_membership.Announce();
}

void ControlPlane::Close() {
  m_closed = true;
  if (m_source.close) {
    m_source.close();
  }
  m_tick.cancel();
  m_socket.Close();
  std::ranges::for_each(m_links,
                        [](const auto& item) { item.second->Close(); });
}

}  // namespace yuccamast
