#include "node/document_store.h"

#include <algorithm>

#include "node/document_codec.h"

namespace yuccamast {

namespace {

/// Texts of each kind that are kept, the current one included.
constexpr std::size_t kKeptTexts = 3;
/// Largest document that is accepted.
constexpr std::size_t kMaxDocumentBytes = 32U << 20U;

}  // namespace

std::string_view NameOf(DocumentKind kind) {
  constexpr std::array<std::string_view, kDocumentKindCount> kNames = {
      "config", "vm_list"};
  return kNames.at(static_cast<std::size_t>(kind));
}

DocumentStore::Text DocumentStore::Find(const Kind& kind,
                                        std::string_view digest) {
  const auto found = std::ranges::find_if(kind.kept, [&](const Kept& kept) {
    return kept.version.digest == digest;
  });
  return found == kind.kept.end() ? nullptr : found->text;
}

void DocumentStore::Publish(DocumentKind kind_value,
                            const HeldVersion& version,
                            std::string text) {
  const std::lock_guard lock(m_mutex);
  Kind& kind = m_kinds.at(static_cast<std::size_t>(kind_value));
  kind.encoded.clear();
  kind.kept.push_front(
      {version, std::make_shared<const std::string>(std::move(text))});
  if (kind.kept.size() > kKeptTexts) {
    kind.kept.pop_back();
  }
}

void DocumentStore::SetVersion(DocumentKind kind_value,
                               const HeldVersion& version) {
  const std::lock_guard lock(m_mutex);
  Kind& kind = m_kinds.at(static_cast<std::size_t>(kind_value));
  if (!kind.kept.empty()) {
    kind.kept.front().version = version;
  }
}

std::string DocumentStore::HeldDigest(DocumentKind kind_value) const {
  const std::lock_guard lock(m_mutex);
  const Kind& kind = m_kinds.at(static_cast<std::size_t>(kind_value));
  return kind.kept.empty() ? "" : kind.kept.front().version.digest;
}

std::optional<std::string> DocumentStore::Answer(
    std::string_view request_bytes) const {
  const auto request = Unpack<FetchRequest>(request_bytes);
  if (!request || request->protocol != kDocumentProtocol ||
      request->kind >= kDocumentKindCount) {
    return std::nullopt;
  }
  const std::lock_guard lock(m_mutex);
  Kind& kind = m_kinds.at(request->kind);
  if (kind.kept.empty()) {
    return std::nullopt;
  }
  const Kept& current = kind.kept.front();
  const Text base = Find(kind, request->held_digest);
  FetchAnswer answer{current.version,
                     base == nullptr ? "" : request->held_digest, ""};
  auto encoded = kind.encoded.find(answer.base_digest);
  if (encoded == kind.encoded.end()) {
    auto data = CompressDocument(*current.text,
                                 base == nullptr ? std::string_view() : *base);
    if (!data) {
      return std::nullopt;
    }
    encoded = kind.encoded.emplace(answer.base_digest, std::move(*data)).first;
  }
  answer.data = encoded->second;
  return Pack(answer);
}

std::optional<Document> DocumentStore::Decode(
    DocumentKind kind,
    std::string_view answer_bytes) const {
  const auto answer = Unpack<FetchAnswer>(answer_bytes);
  if (!answer) {
    return std::nullopt;
  }
  Text base;
  if (!answer->base_digest.empty()) {
    const std::lock_guard lock(m_mutex);
    base =
        Find(m_kinds.at(static_cast<std::size_t>(kind)), answer->base_digest);
    if (base == nullptr) {
      return std::nullopt;
    }
  }
  auto text = DecompressDocument(answer->data,
                                 base == nullptr ? std::string_view() : *base,
                                 kMaxDocumentBytes);
  if (!text) {
    return std::nullopt;
  }
  return Document{answer->version, std::move(*text)};
}

}  // namespace yuccamast
