#include "node/control_plane.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <random>

#include "link/message_mac.h"
#include "log/log.h"
#include "node/config_document.h"

namespace yuccamast {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(50);
/// A gap this long between two ticks is a pause of the process.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(400);
/// Required by `PauseDetector`; has no effect here.
constexpr Duration kPauseSettleTime = std::chrono::milliseconds(50);
/// A node that has just started applies a configuration of the platform once it
/// has heard `kJoinPeerCount` peers, or `kJoinTimeout` after its first VM list.
constexpr Duration kJoinTimeout = std::chrono::seconds(2);
constexpr std::size_t kJoinPeerCount = 3;
/// A node unconfigured for this long reads the configuration, reader or not.
constexpr Duration kUnconfiguredReadDelay = std::chrono::seconds(3);
/// Maximum time for which the view stays marked stale after a pause.
constexpr Duration kMaxStaleTime = std::chrono::seconds(2);
/// Upstreams whose entries expired during an outage of the service that holds
/// the list are registered again within this time of its return.
constexpr Duration kVmListRetentionPeriod = std::chrono::milliseconds(2200);
/// A newer VM list at a peer in another data centre is fetched after this wait,
/// unless a peer in the same data centre, which is cheaper, has it before.
constexpr Duration kLocalHolderWait = std::chrono::milliseconds(150);

/// Wall clock in milliseconds: a later run of the process has a greater epoch.
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

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// Milliseconds since `then`, or -1 if it is unset (the epoch of the clock).
std::int64_t AgeMs(TimePoint then, TimePoint now) {
  return then == TimePoint{} ? -1 : ToMilliseconds(now - then);
}

}  // namespace

ControlPlane::ControlPlane(asio::io_context& io,
                           const NodeSettings& settings,
                           FleetViewStore& view_store,
                           Metrics& metrics,
                           SourceFactory make_source)
    : m_io(io),
      m_settings(settings),
      m_view_store(view_store),
      m_metrics(metrics),
      m_socket(io, settings, metrics),
      m_random(std::random_device{}()),
      m_membership(SelfRecord(settings),
                   settings.membership,
                   MakeMembershipHooks()),
      m_make_source(std::move(make_source)),
      m_vm_list_retention(kVmListRetentionPeriod),
      m_fetcher(io,
                settings,
                m_documents,
                metrics,
                [this](DocumentKind kind, const Document& document) {
                  OnFetched(kind, document);
                }),
      m_reader_role(
          settings,
          m_membership,
          [this] { return m_random(); },
          Clock::now()),
      m_started_at(Clock::now()),
      m_pause_detector(kPauseThreshold, kPauseSettleTime, Clock::now()),
      m_tick_timer(io) {}

ControlPlane::~ControlPlane() = default;

MembershipHooks ControlPlane::MakeMembershipHooks() {
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
  hooks.contact = [this] { return m_reader_role.ContactToSend(Clock::now()); };
  hooks.on_contact = [this](const SourceContact& contact) {
    m_reader_role.OnMessage(contact, Clock::now());
  };
  hooks.on_versions = [this](const MemberRecord& holder,
                             const HeldVersion& config,
                             const HeldVersion& vm_list) {
    OnPeerVersions(holder, config, vm_list);
  };
  return hooks;
}

void ControlPlane::Start() {
  m_socket.Start([this](const std::string& ip) { return IsAllowedSender(ip); },
                 [this](const GossipMessage& message) {
                   m_membership.OnMessage(message, Clock::now());
                 });
  m_source = m_make_source(m_io, m_settings, m_metrics, MakeSourceHooks());
  ArmTick();
}

SourceHooks ControlPlane::MakeSourceHooks() {
  SourceHooks hooks;
  hooks.reader_count = [this] { return m_reader_role.reader_count(); };
  hooks.on_reachable = [this](bool reachable) {
    asio::post(m_io, [this, reachable] { OnSourceReachable(reachable); });
  };
  hooks.reads_config = [this] { return m_reader_role.reads_config(); };
  hooks.reads_vm_list = [this] { return m_reader_role.reads_vm_list(); };
  hooks.known_revision = [this] { return m_newest_known_revision.load(); };
  hooks.on_config = [this](PublishedConfig config) {
    asio::post(m_io,
               [this, config = std::move(config)] { OnSourceConfig(config); });
  };
  hooks.on_vm_list = [this](VmList list) {
    asio::post(m_io, [this, list = std::move(list)]() mutable {
      OnSourceVmList(std::move(list));
    });
  };
  return hooks;
}

bool ControlPlane::IsAllowedSender(const std::string& ip) const {
  if (m_vm_list == nullptr || m_settings.upstreams_listed) {
    // No list yet, or one that names only VMs with an upstream, which a node
    // may outlive. Then the MAC alone authenticates the sender.
    return true;
  }
  return std::ranges::any_of(m_vm_list->vms,
                             [&](const VmRecord& vm) { return vm.ip == ip; });
}

void ControlPlane::OnPeerVersions(const MemberRecord& holder,
                                  const HeldVersion& config,
                                  const HeldVersion& vm_list) {
  ++m_messages_since_pause;
  const ConfigVersion peer_config{config.revision, config.digest};
  if (config.revision > 0 && peer_config > m_config_selector.version() &&
      peer_config != m_config_selector.refused_version()) {
    m_fetcher.OnNewerHeard(DocumentKind::kConfig, Clock::now());
    m_fetcher.Fetch(DocumentKind::kConfig, {holder, config});
  }
  if (vm_list > m_vm_list_version &&
      vm_list.digest == m_vm_list_version.digest) {
    SetVmListVersion(vm_list);  // Same content in a newer version.
    m_documents.SetVersion(DocumentKind::kVmList, vm_list);
  } else if (vm_list > m_vm_list_version) {
    FetchVmList({holder, vm_list});
  }
}

void ControlPlane::FetchVmList(const DocumentHolder& holder) {
  const TimePoint now = Clock::now();
  m_fetcher.OnNewerHeard(DocumentKind::kVmList, now);
  const bool same_data_centre =
      holder.member.data_centre == m_settings.data_centre;
  const bool waited =
      m_remote_holder && now - m_remote_holder_since >= kLocalHolderWait;
  if (same_data_centre || waited) {
    m_remote_holder.reset();
    m_fetcher.Fetch(DocumentKind::kVmList, holder);
  } else if (!m_remote_holder) {
    m_remote_holder = holder;
    m_remote_holder_since = now;
  }
}

std::optional<std::string> ControlPlane::HandleFetch(std::string bytes) const {
  const auto request =
      VerifyAndStripMac(m_settings.shared_key, std::move(bytes));
  auto answer = request ? m_documents.Answer(*request) : std::nullopt;
  m_metrics.Add(Counter::kControlMessagesReceived);
  if (!answer) {
    m_metrics.Add(Counter::kControlMessagesRefused);
    return std::nullopt;
  }
  m_metrics.Add(Counter::kControlBytesSent, answer->size());
  m_metrics.Add(Counter::kDocumentBytesSent, answer->size());
  return AppendMac(m_settings.shared_key, std::move(*answer));
}

void ControlPlane::OnFetched(DocumentKind kind, const Document& document) {
  if (kind == DocumentKind::kConfig) {
    const auto files = UnpackConfigFiles(document.text);
    if (files && DigestOf(*files) == document.version.digest) {
      SubmitConfig({document.version.revision, *files});
    }
    return;
  }
  auto list = ParseVmList(document.text);
  if (list) {
    list.value().era = document.version.era;
    list.value().revision = document.version.revision;
    SubmitVmList(std::move(list.value()));
  }
}

bool ControlPlane::MayApplySourceConfig() const {
  if (m_source.is_strongly_consistent) {
    return true;
  }
  const TimePoint now = Clock::now();
  const std::size_t peers = m_membership.members().size();
  const std::size_t required_peers = std::min(kJoinPeerCount, peers);
  const bool heard_enough =
      m_vm_list != nullptr && m_membership.heard_members() >= required_peers;
  const bool waited = m_first_vm_list_at != TimePoint{} &&
                      now - m_first_vm_list_at >= kJoinTimeout;
  return (heard_enough || waited) &&
         !m_fetcher.IsFetching(DocumentKind::kConfig);
}

void ControlPlane::OnSourceConfig(const PublishedConfig& config) {
  if (m_config_selector.in_force() == nullptr && !MayApplySourceConfig()) {
    m_pending_config = config;
    return;
  }
  SubmitConfig(config);
}

void ControlPlane::SubmitConfig(const PublishedConfig& config) {
  const TimePoint submitted_at = Clock::now();
  const ConfigVerdict verdict =
      m_config_selector.Submit(config.files, config.revision);
  switch (verdict) {
    case ConfigVerdict::kAccepted:
      OnConfigAccepted(Clock::now() - submitted_at);
      break;
    case ConfigVerdict::kRefused:
      std::ranges::for_each(m_config_selector.refused_errors(),
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
             {"in_force", m_config_selector.version().revision}});
      }
      m_config_stale_logged = true;
      break;
    case ConfigVerdict::kSame:
      break;
  }
  m_newest_known_revision =
      std::max(m_config_selector.version().revision,
               m_config_selector.refused_version().revision);
}

void ControlPlane::OnConfigAccepted(Duration check_time) {
  const ConfigVersion version = m_config_selector.version();
  m_config_accepted_at = Clock::now();
  m_config_stale_logged = false;
  m_pending_config.reset();
  m_view_store.SetConfig(m_config_selector.in_force());
  m_membership.SetConfigVersion({version.revision, version.digest});
  m_documents.Publish(DocumentKind::kConfig, {version.revision, version.digest},
                      PackConfigFiles(m_config_selector.files()));
  m_membership.Announce();
  Log(LogLevel::kInfo, LogEvent::kConfigAccepted,
      {{"revision", version.revision},
       {"digest", version.digest},
       {"rules", m_config_selector.in_force()->rules.size()},
       {"check_ms", ToMilliseconds(check_time)},
       {"publish_ms", ToMilliseconds(Clock::now() - m_config_accepted_at)}});
  if (m_config_selector.conflict_seen()) {
    Log(LogLevel::kError, LogEvent::kConfigConflict,
        {{"revision", version.revision}});
  }
}

void ControlPlane::SubmitVmList(VmList list) {
  // The digest leaves era and revision out: the same VMs read at another
  // revision are recognised as the same list.
  VmList unversioned = list;
  unversioned.era = 0;
  unversioned.revision = 0;
  std::string text = WriteVmList(unversioned);
  const HeldVersion version{list.revision, DigestOf({{"vms", text}}), list.era};
  if (m_vm_list != nullptr && version <= m_vm_list_version) {
    return;
  }
  const bool same =
      m_vm_list != nullptr && version.digest == m_vm_list_version.digest;
  SetVmListVersion(version);
  if (same) {
    m_documents.SetVersion(DocumentKind::kVmList, version);
    return;
  }
  const auto before =
      std::exchange(m_vm_list, std::make_shared<const VmList>(std::move(list)));
  const TimePoint now = Clock::now();
  m_departed_upstreams.OnList(before.get(), *m_vm_list, now);
  ApplyVmList(now);
  m_documents.Publish(DocumentKind::kVmList, version, std::move(text));
  m_remote_holder.reset();
  m_membership.Announce();
  if (m_first_vm_list_at == TimePoint{}) {
    m_first_vm_list_at = now;
    m_membership.Join(kJoinPeerCount + 2, now);
  }
  Log(LogLevel::kInfo, LogEvent::kVmListAccepted,
      {{"revision", version.revision},
       {"era", version.era},
       {"vms", m_vm_list->vms.size()}});
  ReportEvacuations(before.get());
}

void ControlPlane::ArmTick() {
  m_tick_timer.expires_after(kTickPeriod);
  m_tick_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error && !m_closed) {
      OnTick();
      ArmTick();
    }
  });
}

void ControlPlane::CheckPause(TimePoint now) {
  const Duration pause = m_pause_detector.Check(now);
  if (pause == Duration::zero()) {
    return;
  }
  m_metrics.Add(Counter::kPauses);
  Log(LogLevel::kWarning, LogEvent::kPauseNoticed,
      {{"face", "control"}, {"ms", AgeMs(now - pause, now)}});
  m_view_store.MarkStale();
  m_messages_since_pause = 0;
  m_membership.OnPause(pause, now);
}

void ControlPlane::UpdateStaleness(TimePoint now) {
  if (!m_view_store.IsStale()) {
    m_stale_since = {};
    return;
  }
  if (m_stale_since == TimePoint{}) {
    m_stale_since = now;
    m_messages_since_pause = 0;
    m_membership.Join(kJoinPeerCount, now);
  }
  const bool heard_enough =
      m_messages_since_pause >=
      std::min(kJoinPeerCount, m_membership.members().size());
  const bool fetching = m_fetcher.IsFetching(DocumentKind::kConfig) ||
                        m_fetcher.IsFetching(DocumentKind::kVmList);
  if ((heard_enough && !fetching) || now - m_stale_since >= kMaxStaleTime) {
    m_view_store.ClearStale();
    m_stale_since = {};
  }
}

void ControlPlane::UpdateReaderRole(TimePoint now) {
  const ReaderState before = m_reader_role.state();
  const bool unconfigured = m_config_selector.in_force() == nullptr &&
                            now - m_started_at >= kUnconfiguredReadDelay;
  m_reader_role.Update(m_source, {m_vm_list != nullptr, unconfigured}, now);
  const ReaderState state = m_reader_role.state();
  const bool lost = m_reader_role.IsPlatformLost(now);
  if (state == ReaderState::kSubstitute && before != state && lost) {
    OnSourceReachable(false);
  } else if (state == ReaderState::kSubstitute && m_reader_role.in_contact()) {
    OnSourceReachable(true);
  } else if (state == ReaderState::kNone && !lost) {
    // Peers that read the platform also retain what is missing in their lists.
    m_vm_list_retention.Clear();
  }
}

void ControlPlane::OnTick() {
  const TimePoint now = Clock::now();
  CheckPause(now);
  m_membership.OnTick(now);
  m_fetcher.OnTick(now);
  if (m_members_changed) {
    m_members_changed = false;
    PublishLiveness();
  }
  UpdateStaleness(now);
  if (m_remote_holder && now - m_remote_holder_since >= kLocalHolderWait) {
    const DocumentHolder holder = *m_remote_holder;
    m_remote_holder.reset();
    m_fetcher.Fetch(DocumentKind::kVmList, holder);
  }
  if (m_vm_list_retention.EndIfExpired(now)) {
    SubmitSourceVmList();
  }
  if (m_departed_upstreams.EndIfExpired(now)) {
    ApplyVmList(now);
  }
  UpdateReaderRole(now);
  if (m_pending_config && MayApplySourceConfig()) {
    const PublishedConfig config = std::move(*m_pending_config);
    m_pending_config.reset();
    SubmitConfig(config);
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
  m_tick_timer.cancel();
  m_socket.Close();
  m_fetcher.Close();
}

}  // namespace yuccamast
