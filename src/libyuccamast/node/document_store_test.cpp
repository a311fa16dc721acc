#include "node/document_store.h"

#include <criterion/criterion.h>

#include <random>

#include "node/document_codec.h"
#include "source/published.h"

using namespace yuccamast;  // NOLINT

namespace {

constexpr std::size_t kNoLimit = 1U << 30U;

/// A `HeldVersion` as nodes sent it before it had an era.
struct EarlierVersion {
  std::uint64_t revision = 0;
  std::string digest;
  MSGPACK_DEFINE(revision, digest)
};

/// A document with `entries` lines that do not resemble each other.
std::string MakeText(std::size_t entries) {
  std::mt19937 random(1);
  std::string text;
  for (std::size_t i = 0; i < entries; ++i) {
    text += "entry " + std::to_string(random()) + " " +
            std::to_string(random()) + "\n";
  }
  return text;
}

/// The request of a node that holds the document with this digest.
std::string RequestFor(const std::string& held_digest) {
  return Pack(FetchRequest{static_cast<std::uint8_t>(DocumentKind::kConfig),
                           kDocumentProtocol, held_digest});
}

/// A store that has published the texts in turn, as versions 1, 2 and so on
/// with the digests "1", "2" and so on.
void PublishAll(DocumentStore& store, const std::vector<std::string>& texts) {
  for (std::size_t i = 0; i < texts.size(); ++i) {
    store.Publish(DocumentKind::kConfig, {i + 1, std::to_string(i + 1)},
                  texts[i]);
  }
}

}  // namespace

// Guards against a transfer whose size follows the document instead of the
// change: the difference for one entry must be a small part of the whole, also
// in a large document.
Test(document_store, one_changed_entry_costs_a_hundredth_of_the_document) {
  for (const std::size_t entries : {500U, 5'000U, 20'000U}) {
    const std::string before = MakeText(entries);
    std::string after = before;
    after.insert(after.size() / 2, "one more entry");
    const std::size_t whole = CompressDocument(after, "").value().size();
    const std::size_t change = CompressDocument(after, before).value().size();
    cr_expect_lt(change * 100, whole, "%zu of %zu bytes", change, whole);
  }
}

// Guards against a node that takes a damaged document, or one made from another
// base than its own, for a valid one.
Test(document_store, damaged_or_oversized_documents_are_refused) {
  const std::string base = MakeText(300);
  const std::string text = base + "more";
  const std::string data = CompressDocument(text, base).value();
  cr_expect_eq(DecompressDocument(data, base, kNoLimit).value(), text);
  cr_expect_not(DecompressDocument(data, base, text.size() - 1));
  cr_expect_not(DecompressDocument(data, MakeText(299), kNoLimit));
  cr_expect_not(DecompressDocument(data, "", kNoLimit));
  for (std::size_t i = 0; i < data.size(); ++i) {
    std::string damaged = data;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x10);
    const auto result = DecompressDocument(damaged, base, kNoLimit);
    cr_expect(!result || *result == text, "byte %zu", i);
    cr_expect_not(DecompressDocument(data.substr(0, i), base, kNoLimit));
  }
}

// Guards against a node that can no longer catch up: one that holds a version
// that its peer has dropped must get the whole document.
Test(document_store, peers_get_a_difference_or_the_whole_document) {
  const std::vector<std::string> texts = {MakeText(100), MakeText(200),
                                          MakeText(300), MakeText(400),
                                          MakeText(500)};
  DocumentStore holder;
  PublishAll(holder, texts);
  for (std::size_t held = 0; held < texts.size(); ++held) {
    DocumentStore peer;
    PublishAll(peer, {texts.begin(), texts.begin() + held});
    const auto answer =
        holder.Answer(RequestFor(peer.HeldDigest(DocumentKind::kConfig)));
    cr_assert(answer);
    const auto document = peer.Decode(DocumentKind::kConfig, *answer);
    cr_assert(document, "a peer with version %zu", held);
    cr_expect_eq(document->text, texts.back());
    cr_expect_eq(document->version.revision, texts.size());
  }
}

// Guards against a difference that is applied to a base that this node does not
// hold, and against answers to requests that are malformed.
Test(document_store, unknown_bases_and_malformed_requests_are_refused) {
  DocumentStore holder;
  cr_expect_not(holder.Answer(RequestFor("")), "nothing is held yet");
  PublishAll(holder, {MakeText(100), MakeText(101)});
  const DocumentStore empty;
  const auto difference = holder.Answer(RequestFor("1"));
  cr_assert(difference);
  cr_expect_not(empty.Decode(DocumentKind::kConfig, *difference));
  cr_expect(
      empty.Decode(DocumentKind::kConfig, *holder.Answer(RequestFor(""))));
  cr_expect_not(empty.Decode(DocumentKind::kConfig, "\x93"));
  cr_expect_not(holder.Answer("\xc1"));
  cr_expect_not(holder.Answer(Pack(FetchRequest{7, kDocumentProtocol, ""})));
  cr_expect_not(holder.Answer(Pack(FetchRequest{0, 0, ""})));
}

// Guards against lists of a restored service that no peer takes, since their
// revisions are lower, and against old ones that win for the same reason.
Test(document_store, version_of_a_later_era_is_newer_whatever_its_revision) {
  const HeldVersion old_era{90, "f", 1};
  const HeldVersion new_era{7, "a", 2};
  cr_expect(new_era > old_era);
  cr_expect(old_era > HeldVersion({91, "f"}), "no era goes before none");
  cr_expect(HeldVersion({8, "a", 2}) > new_era);
  cr_expect(HeldVersion({7, "b", 2}) > new_era);
  cr_expect(HeldVersion({7, "a", 2}) == new_era);
}

// Guards against a fleet that falls apart while nodes with and without eras run
// side by side: each must understand the versions of the other.
Test(document_store, versions_without_an_era_are_understood) {
  const auto read = Unpack<HeldVersion>(Pack(EarlierVersion{7, "a"}));
  cr_assert(read.has_value());
  cr_expect(*read == HeldVersion({7, "a", 0}));
  const auto read_there = Unpack<EarlierVersion>(Pack(HeldVersion{7, "a", 2}));
  cr_assert(read_there.has_value());
  cr_expect_eq(read_there->revision, 7U);
  cr_expect_eq(read_there->digest, "a");
}

// Guards against an era that is lost or refused in the VM list service's
// document.
Test(document_store, era_of_a_vm_list_is_written_and_read) {
  VmList list;
  list.revision = 7;
  cr_expect_eq(WriteVmList(list).find("era"), std::string::npos);
  list.era = 2;
  const auto read = ParseVmList(WriteVmList(list));
  cr_assert(static_cast<bool>(read));
  cr_expect_eq(read.value().era, 2U);
  cr_expect_eq(read.value().revision, 7U);
  cr_expect_not(ParseVmList(R"({"revision": 7, "vms": [], "era": -1})"));
}
