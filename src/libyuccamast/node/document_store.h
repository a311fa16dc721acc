#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "link/messages.h"
#include "yuccamast/membership/member.h"

/// \file document_store.h
/// The documents (configuration, VM list) that a node holds, in the form in
/// which nodes send them to each other.
///
/// The store keeps the current text of each kind and a few earlier ones. A peer
/// that asks for a document names the one that it holds; the answer then is the
/// difference, if that one is still kept here, else the whole text, compressed
/// in either case (document_codec.h). Each answer is encoded once and reused
/// while its document is current.
///
/// Texts are identified by their digest, so two nodes that hold the same
/// digest must hold the same text.

namespace yuccamast {

/// Kinds of documents that nodes fetch from each other. The values are sent, so
/// they must not change.
enum class DocumentKind : std::uint8_t { kConfig, kVmList };

/// Name of a kind in logs: `config` or `vm_list`.
std::string_view NameOf(DocumentKind kind);

inline constexpr std::size_t kDocumentKindCount = 2;

/// Version of the two messages below; requests of another one are refused.
inline constexpr std::uint32_t kDocumentProtocol = 1;

/// Asks a peer for a document.
struct FetchRequest {
  std::uint8_t kind = 0;  ///< A `DocumentKind`.
  std::uint32_t protocol = 0;
  std::string held_digest;  ///< Of the document held; empty: none.
  MSGPACK_DEFINE(kind, protocol, held_digest)
};

/// The answer to a `FetchRequest`.
struct FetchAnswer {
  HeldVersion version;
  std::string base_digest;  ///< Of the base of `data`; empty: none.
  std::string data;         ///< See `CompressDocument`.
  MSGPACK_DEFINE(version, base_digest, data)
};

/// A document as it was fetched.
struct Document {
  HeldVersion version;
  std::string text;
};

/// All methods are thread-safe.
class DocumentStore {
 public:
  /// Makes `text` the current document of its kind.
  void Publish(DocumentKind kind, const HeldVersion& version, std::string text);

  /// Sets the version of the current document, whose text stays as it is. No
  /// effect before the first `Publish` of this kind.
  void SetVersion(DocumentKind kind, const HeldVersion& version);

  /// Digest of the current document; empty if there is none.
  std::string HeldDigest(DocumentKind kind) const;

  /// The packed answer to a packed request; nothing if the request is malformed
  /// or of another protocol, or if no document of the kind is held.
  std::optional<std::string> Answer(std::string_view request) const;

  /// The document in a packed answer; nothing if it is malformed or made from a
  /// base that is not kept here. The text is not checked against the digest.
  std::optional<Document> Decode(DocumentKind kind,
                                 std::string_view answer) const;

 private:
  using Text = std::shared_ptr<const std::string>;

  struct Kept {
    HeldVersion version;
    Text text;
  };
  struct Kind {
    std::deque<Kept> kept;  ///< The current document first.
    /// Encoded forms of the current text by the digest of their base.
    std::map<std::string, std::string, std::less<>> encoded;
  };

  /// The text with this digest, or null. Needs `m_mutex`.
  static Text Find(const Kind& kind, std::string_view digest);

  mutable std::mutex m_mutex;  ///< Guards the rest.
  mutable std::array<Kind, kDocumentKindCount> m_kinds;
};

}  // namespace yuccamast
