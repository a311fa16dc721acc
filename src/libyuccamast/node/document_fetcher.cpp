#include "node/document_fetcher.h"

#include <algorithm>

#include "link/message_mac.h"
#include "log/log.h"

namespace yuccamast {

namespace {

/// A holder that sends nothing for this long is not waited for while another
/// one is known.
constexpr Duration kMaxHolderSilence = std::chrono::milliseconds(500);

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

DocumentFetcher::DocumentFetcher(boost::asio::io_context& io,
                                 const NodeSettings& settings,
                                 const DocumentStore& documents,
                                 Metrics& metrics,
                                 DocumentHook on_document)
    : m_io(io),
      m_settings(settings),
      m_documents(documents),
      m_metrics(metrics),
      m_on_document(std::move(on_document)) {}

void DocumentFetcher::OnNewerHeard(DocumentKind kind, TimePoint now) {
  KindState& state = StateOf(kind);
  if (state.heard_at == TimePoint{}) {
    state.heard_at = now;
  }
}

void DocumentFetcher::Fetch(DocumentKind kind, const DocumentHolder& holder) {
  KindState& state = StateOf(kind);
  if (m_closed) {
    return;
  }
  if (!state.in_progress) {
    Start(kind, holder);
    return;
  }
  const bool is_other = holder.member.ip != state.holder.member.ip ||
                        holder.member.port != state.holder.member.port;
  if (is_other && (!state.other || holder.version >= state.other->version)) {
    state.other = holder;
  }
}

void DocumentFetcher::Start(DocumentKind kind, const DocumentHolder& holder) {
  KindState& state = StateOf(kind);
  boost::system::error_code parse_error;
  const auto address = asio::ip::make_address(holder.member.ip, parse_error);
  if (parse_error) {
    return;
  }
  const tcp::endpoint endpoint(address, holder.member.port);
  auto& link = m_links[endpoint];
  if (link == nullptr) {
    link =
        std::make_shared<PeerLink>(m_io, endpoint, m_settings.link, m_metrics);
  }
  const FetchRequest request{
      static_cast<std::uint8_t>(kind), kDocumentProtocol,
      state.wants_whole ? "" : m_documents.HeldDigest(kind)};
  state.in_progress = true;
  state.requested_at = Clock::now();
  state.holder = holder;
  state.link = link;
  state.other.reset();
  OfferHooks hooks;
  hooks.on_answer = [this, kind, from = holder.member.vm](
                        StreamOutcome outcome, const std::string& bytes) {
    OnAnswer(kind, from, outcome, bytes);
  };
  state.offer = link->Send(LinkPath::kControl,
                           AppendMac(m_settings.shared_key, Pack(request)),
                           std::move(hooks));
}

void DocumentFetcher::OnTick(TimePoint now) {
  for (std::size_t i = 0; i < kDocumentKindCount; ++i) {
    const auto kind = static_cast<DocumentKind>(i);
    const KindState& state = StateOf(kind);
    if (!state.in_progress || !state.other) {
      continue;
    }
    const Duration silence =
        std::min(now - state.requested_at, state.link->TimeSinceReceive(now));
    if (silence >= kMaxHolderSilence) {
      MoveToOther(kind);
    }
  }
}

void DocumentFetcher::MoveToOther(DocumentKind kind) {
  KindState& state = StateOf(kind);
  const DocumentHolder other = *state.other;
  Log(LogLevel::kWarning, LogEvent::kDocumentFetchMoved,
      {{"kind", NameOf(kind)},
       {"from", state.holder.member.vm},
       {"to", other.member.vm},
       {"after_ms", ToMilliseconds(Clock::now() - state.requested_at)}});
  state.link->Cancel(state.offer);
  state.in_progress = false;
  Start(kind, other);
}

void DocumentFetcher::OnAnswer(DocumentKind kind,
                               const std::string& from,
                               StreamOutcome outcome,
                               const std::string& bytes) {
  KindState& state = StateOf(kind);
  const TimePoint now = Clock::now();
  state.in_progress = false;
  const bool answered = outcome == StreamOutcome::kAnswered;
  Log(answered ? LogLevel::kInfo : LogLevel::kWarning,
      answered ? LogEvent::kDocumentFetched : LogEvent::kDocumentFetchFailed,
      {{"kind", NameOf(kind)},
       {"from", from},
       {"bytes", bytes.size()},
       {"heard_ms", state.heard_at == TimePoint{}
                        ? -1
                        : ToMilliseconds(state.requested_at - state.heard_at)},
       {"transfer_ms", ToMilliseconds(now - state.requested_at)}});
  if (!answered) {
    m_metrics.Add(Counter::kDocumentFetchFailures);
    if (const auto other = std::exchange(state.other, std::nullopt)) {
      Start(kind, *other);
    }
    return;
  }
  state.heard_at = TimePoint{};
  m_metrics.Add(Counter::kDocumentsFetched);
  m_metrics.Add(Counter::kControlBytesReceived, bytes.size());
  const auto answer = VerifyAndStripMac(m_settings.shared_key, bytes);
  auto document = answer ? m_documents.Decode(kind, *answer) : std::nullopt;
  state.wants_whole = !document;
  if (!document) {
    m_metrics.Add(Counter::kControlMessagesRefused);
    return;
  }
  const HeldVersion received = document->version;
  const auto other = std::exchange(state.other, std::nullopt);
  m_on_document(kind, std::move(*document));
  if (other && other->version > received && !state.in_progress) {
    Start(kind, *other);
  }
}

void DocumentFetcher::Close() {
  m_closed = true;
  std::ranges::for_each(m_links,
                        [](const auto& item) { item.second->Close(); });
}

}  // namespace yuccamast
