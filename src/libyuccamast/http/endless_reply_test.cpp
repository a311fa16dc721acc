#include "http/upstream_pool.h"

// After the HTTP headers: its macros conflict with those of Boost.Intrusive.
#include <criterion/criterion.h>

#include <boost/asio/write.hpp>

#include "http/health_checker.h"
#include "platform/dialect.h"
#include "platform/store_client.h"

using namespace yuccamast;  // NOLINT
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kOfferedBytes = 64U << 20U;
/// More than the socket buffers of both ends hold, so that a larger amount was
/// read by the client.
constexpr std::size_t kMaxTakenBytes = 16U << 20U;

/// A TCP server that answers the first read of each connection with `start`,
/// followed by 64 MB of `piece`, and then keeps the connection open.
class EndlessServer {
 public:
  EndlessServer(boost::asio::io_context& io,
                std::string start,
                std::string piece)
      : m_acceptor(io,
                   tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        m_start(std::move(start)),
        m_piece(std::move(piece)) {
    while (m_piece.size() < (64U << 10U)) {
      m_piece += m_piece;
    }
    Accept();
  }

  tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
  /// Bytes that the sockets accepted, over all connections.
  std::size_t taken() const { return m_taken; }

 private:
  void Accept() {
    m_acceptor.async_accept([this](const auto& error, tcp::socket accepted) {
      if (error) {
        return;
      }
      auto socket = std::make_shared<tcp::socket>(std::move(accepted));
      socket->async_read_some(boost::asio::buffer(m_buffer),
                              [this, socket](const auto& failed, std::size_t) {
                                if (!failed) {
                                  Send(socket, m_start, 0);
                                }
                              });
      Accept();
    });
  }

  void Send(const std::shared_ptr<tcp::socket>& socket,
            const std::string& text,
            std::size_t sent) {
    boost::asio::async_write(
        *socket, boost::asio::buffer(text),
        [this, socket, sent](const auto& error, std::size_t size) {
          m_taken += size;
          if (error) {
            return;
          }
          if (sent + size < kOfferedBytes) {
            Send(socket, m_piece, sent + size);
          } else {
            m_held.push_back(socket);
          }
        });
  }

  tcp::acceptor m_acceptor;
  const std::string m_start;
  std::string m_piece;
  std::array<char, 4096> m_buffer{};
  std::vector<std::shared_ptr<tcp::socket>> m_held;
  std::size_t m_taken = 0;
};

/// A reply that has a start but no end.
struct EndlessReply {
  const char* where;
  std::string start;  ///< Follows the status line and the request's id.
  std::string piece;
};

const std::string kHead = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n";
const std::string kChunked =
    "Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";

/// One endless reply for each part of a message that a parser has to keep
/// until it is complete.
std::vector<EndlessReply> EndlessReplies() {
  return {
      {"field", "X: ", "x"},
      {"fields", "", "X: x\r\n"},
      {"chunk size", kChunked, "0"},
      {"chunk extension", kChunked + "5;", "x"},
      {"trailers", kChunked + "0\r\n", "X: x\r\n"},
      {"input after a long trailer field",
       kChunked + "0\r\nX: " + std::string(70'000, 'x') + "\r\n\r\n", "x"},
      {"body", "Response-Seal: s\r\n\r\n", "x"},
      {"chunked body", kChunked, "400\r\n" + std::string(1024, 'x') + "\r\n"}};
}

}  // namespace

// Guards against a node that keeps all bytes of a reply without end: it is
// killed for its memory, and the other calls on its VM are cut with it.
Test(endless_reply, upstream_pool_ends_it_at_a_limit) {
  for (const EndlessReply& reply : EndlessReplies()) {
    boost::asio::io_context io;
    EndlessServer server(io, kHead + reply.start, reply.piece);
    const UpstreamLimits limits;
    Metrics metrics;
    UpstreamPool pool(io, server.endpoint(), limits,
                      platform::PlatformDialect(), metrics);
    std::optional<UpstreamResult> result;
    UpstreamHooks hooks;
    hooks.start = [] { return true; };
    hooks.reply_head = [] {};
    hooks.done = [&](UpstreamResult end) {
      result = std::move(end);
      io.stop();
    };
    UpstreamRequest request;
    request.method = "POST";
    request.target = "/a/";
    request.request_id = "id-1";
    const auto run = pool.Run(std::move(request), std::move(hooks));
    io.run_for(std::chrono::seconds(5));
    cr_expect(result.has_value(), "endless %s: the run does not end",
              reply.where);
    cr_expect(result && std::holds_alternative<RefusalReason>(*result),
              "endless %s: not refused", reply.where);
    cr_expect_eq(pool.connections(), 0U, "endless %s: connection open",
                 reply.where);
    cr_expect_lt(server.taken(), kMaxTakenBytes, "endless %s: %zu bytes taken",
                 reply.where, server.taken());
  }
}

// Guards against the same in the reply to a health probe, which is read within
// a timeout: a fast link delivers the memory of a node in that time.
Test(endless_reply, health_checker_ends_it_at_a_limit) {
  for (const EndlessReply& reply : EndlessReplies()) {
    boost::asio::io_context io;
    EndlessServer server(io, kHead + reply.start, reply.piece);
    Metrics metrics;
    HealthChecker checker(io, server.endpoint(), "/health",
                          std::chrono::seconds(60), platform::PlatformDialect(),
                          metrics, {});
    checker.Start();
    io.run_for(std::chrono::seconds(1));
    cr_expect_gt(server.taken(), 0U);
    cr_expect_lt(server.taken(), kMaxTakenBytes, "endless %s: %zu bytes taken",
                 reply.where, server.taken());
    checker.Stop();
  }
}

// Guards against the same in a reply of the platform's store.
Test(endless_reply, store_client_ends_it_at_a_limit) {
  for (const EndlessReply& reply : EndlessReplies()) {
    boost::asio::io_context io;
    EndlessServer server(io, kHead + reply.start, reply.piece);
    auto client =
        std::make_shared<platform::StoreClient>(io, server.endpoint());
    std::optional<platform::StoreResult> result;
    client->Get("/range", std::chrono::seconds(3),
                [&](platform::StoreResult end) {
                  result = std::move(end);
                  io.stop();
                });
    io.run_for(std::chrono::seconds(5));
    cr_expect(result && !result->has_value(), "endless %s", reply.where);
    cr_expect_lt(server.taken(), kMaxTakenBytes, "endless %s: %zu bytes taken",
                 reply.where, server.taken());
    client->Close();
  }
}
