#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "node/document_store.h"
#include "node/peer_link.h"
#include "node/settings.h"
#include "yuccamast/membership/member.h"

/// \file document_fetcher.h
/// Fetches documents (configuration, VM list) from peers over inner
/// connections.
///
/// The owner calls `Fetch` with a member that holds a newer document than this
/// node. At most one fetch of each kind is in progress. A holder that is given
/// meanwhile is remembered and asked next if the one asked first stays silent,
/// the fetch fails, or it returns an older version than the other one holds.
///
/// A request names the document that this node holds, so that the peer can
/// answer with the difference; if the answer cannot be decoded, the next
/// request asks for the whole document. The result goes to a hook.

namespace yuccamast {
/// A member and the version that it holds of a document.
struct DocumentHolder {
  MemberRecord member;
  HeldVersion version;
};

/// Use from the thread of its io_context only.
class DocumentFetcher {
 public:
  /// Receives a document. Called on the fetcher's thread.
  using DocumentHook =
      std::function<void(DocumentKind kind, Document document)>;

  /// The references must outlive the fetcher. Handlers refer to it,
  /// so the io_context must have stopped before it is destroyed.
  DocumentFetcher(boost::asio::io_context& io,
                  const NodeSettings& settings,
                  const DocumentStore& documents,
                  Metrics& metrics,
                  DocumentHook on_document);

  /// Notes that a newer document of this kind than the one held is known to
  /// exist. The first of these calls since the last document starts the
  /// time that logs give as `heard_ms`.
  void OnNewerHeard(DocumentKind kind, TimePoint now);

  /// Requests the document from `holder`, or remembers the holder if a
  /// fetch of this kind is in progress and responding. No effect if the
  /// holder's address is malformed or the fetcher is closed.
  void Fetch(DocumentKind kind, const DocumentHolder& holder);

  /// Moves fetches whose holder is silent to another one. To be called about
  /// every 50 ms.
  void OnTick(TimePoint now);

  /// Whether a fetch of this kind is in progress.
  bool IsFetching(DocumentKind kind) const { return StateOf(kind).in_progress; }

  /// Closes the connections. Later calls of `Fetch` have no effect.
  void Close();

 private:
  struct KindState {
    bool in_progress = false;
    TimePoint heard_at{};      ///< Epoch of the clock: nothing newer is known.
    TimePoint requested_at{};  ///< Of the fetch in progress.
    DocumentHolder holder;     ///< Asked by the fetch in progress.
    std::shared_ptr<PeerLink> link;  ///< To `holder`.
    OfferId offer = 0;               ///< On `link`.
    /// Another holder, of the newest version heard during the fetch.
    std::optional<DocumentHolder> other;
    bool wants_whole = false;  ///< The last answer could not be decoded.
  };

  KindState& StateOf(DocumentKind kind) {
    return m_states.at(static_cast<std::size_t>(kind));
  }
  const KindState& StateOf(DocumentKind kind) const {
    return m_states.at(static_cast<std::size_t>(kind));
  }
  void Start(DocumentKind kind, const DocumentHolder& holder);
  /// Abandons the fetch in progress and asks the other holder, if there is
  /// one.
  void MoveToOther(DocumentKind kind);
  void OnSuspect(DocumentKind kind, const tcp::endpoint& endpoint);
  void OnAnswer(DocumentKind kind,
                const std::string& from,
                StreamOutcome outcome,
                const std::string& bytes);

  boost::asio::io_context& m_io;
  const NodeSettings& m_settings;
  const DocumentStore& m_documents;
  Metrics& m_metrics;
  const DocumentHook m_on_document;
  std::array<KindState, kDocumentKindCount> m_states;
  std::map<tcp::endpoint, std::shared_ptr<PeerLink>> m_links;
  bool m_closed = false;
};

}  // namespace yuccamast
