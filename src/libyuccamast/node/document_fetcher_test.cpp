#include "node/document_fetcher.h"

#include <criterion/criterion.h>

#include <boost/asio/ip/tcp.hpp>

#include "link/server.h"

using namespace yuccamast;  // NOLINT

namespace {

/// A peer on loopback that answers fetches from its store, or accepts
/// connections and never sends a byte.
class Peer {
 public:
  Peer(asio::io_context& io, bool silent)
      : m_acceptor(io, {asio::ip::address_v4::loopback(), 0}) {
    if (!silent) {
      Accept();
    }
  }

  /// This peer as the VM `vm`, with the given version.
  DocumentHolder As(const std::string& vm, const HeldVersion& version) const {
    DocumentHolder holder;
    holder.member.vm = vm;
    holder.member.ip = "127.0.0.1";
    holder.member.port = m_acceptor.local_endpoint().port();
    holder.version = version;
    return holder;
  }

  DocumentStore documents;

 private:
  void Accept() {
    m_acceptor.async_accept(
        [this](const boost::system::error_code& error, tcp::socket socket) {
          if (error) {
            return;
          }
          LinkServerHooks hooks;
          hooks.on_message = [this](LinkPath, const std::string& bytes,
                                    const StreamResponder& responder,
                                    std::uint64_t) {
            const auto answer = documents.Answer(bytes);
            answer ? responder.Answer(*answer) : responder.Refuse();
          };
          hooks.on_cancelled = [](std::uint64_t) {};
          m_servers.push_back(std::make_shared<LinkServer>(
              std::move(socket), m_options, 1, std::move(hooks)));
          m_servers.back()->Run();
          Accept();
        });
  }

  tcp::acceptor m_acceptor;
  const LinkOptions m_options;
  std::vector<std::shared_ptr<LinkServer>> m_servers;
};

/// A fetcher with the documents that it received, and the revisions of these.
struct FetcherFixture {
  FetcherFixture()
      : fetcher(io,
                settings,
                documents,
                metrics,
                [this](DocumentKind kind, const Document& document) {
                  documents.Publish(kind, document.version, document.text);
                  revisions.push_back(document.version.revision);
                }) {}

  /// Runs the event loop and ticks until a document arrives or a fetch fails.
  void RunUntilEvent() {
    const std::size_t before = revisions.size();
    while (revisions.size() == before &&
           metrics.Get(Counter::kDocumentFetchFailures) == 0) {
      io.run_one_for(std::chrono::milliseconds(20));
      fetcher.OnTick(Clock::now());
    }
  }

  asio::io_context io;
  NodeSettings settings;
  Metrics metrics;
  DocumentStore documents;
  std::vector<std::uint64_t> revisions;
  DocumentFetcher fetcher;
};

}  // namespace

// Guards against a node that stays on its old configuration because the holder
// that it asked first does not answer, while others hold the new one, too.
Test(document_fetcher, silent_holder_does_not_keep_others_from_being_asked) {
  FetcherFixture node;
  Peer silent(node.io, true);
  Peer holder(node.io, false);
  const HeldVersion version{2, "b"};
  holder.documents.Publish(DocumentKind::kConfig, version, "two");
  node.fetcher.Fetch(DocumentKind::kConfig, silent.As("vm-1", version));
  node.fetcher.Fetch(DocumentKind::kConfig, holder.As("vm-2", version));
  node.RunUntilEvent();
  cr_expect_eq(node.metrics.Get(Counter::kDocumentFetchFailures), 0U,
               "the fetch from the silent holder failed first");
  cr_assert_eq(node.revisions.size(), 1U);
  cr_expect_eq(node.revisions.front(), 2U);
}

// Guards against a node that waits for the next datagram although it heard of a
// newer version while it fetched an older one.
Test(document_fetcher, version_heard_during_a_fetch_is_fetched_next) {
  FetcherFixture node;
  Peer first(node.io, false);
  Peer second(node.io, false);
  first.documents.Publish(DocumentKind::kConfig, {2, "b"}, "two");
  second.documents.Publish(DocumentKind::kConfig, {3, "c"}, "three");
  node.fetcher.Fetch(DocumentKind::kConfig, first.As("vm-1", {2, "b"}));
  node.fetcher.Fetch(DocumentKind::kConfig, second.As("vm-2", {3, "c"}));
  node.RunUntilEvent();
  cr_assert(node.fetcher.IsFetching(DocumentKind::kConfig));
  node.RunUntilEvent();
  cr_expect_eq(node.revisions.back(), 3U);
}
