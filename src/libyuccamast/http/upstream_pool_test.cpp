#include "http/upstream_pool.h"

#include <criterion/criterion.h>

#include <boost/asio/write.hpp>

#include "platform/dialect.h"

using namespace yuccamast;  // NOLINT
using boost::asio::ip::tcp;

namespace {

/// A server that answers each request on a connection with the next text, and
/// closes the connection after the last.
class ScriptedServer {
 public:
  ScriptedServer(boost::asio::io_context& io,
                 std::vector<std::string> replies,
                 bool reset)
      : m_acceptor(io,
                   tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        m_replies(std::move(replies)),
        m_reset(reset) {
    Accept();
  }

  tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
  std::size_t requests() const { return m_requests; }

 private:
  void Accept() {
    m_acceptor.async_accept([this](const auto& error, tcp::socket socket) {
      if (!error) {
        Read(std::make_shared<tcp::socket>(std::move(socket)));
        Accept();
      }
    });
  }

  void Read(const std::shared_ptr<tcp::socket>& socket) {
    socket->async_read_some(boost::asio::buffer(m_buffer),
                            [this, socket](const auto& error, std::size_t) {
                              if (error) {
                                return;
                              }
                              if (m_requests < m_replies.size()) {
                                boost::asio::write(
                                    *socket,
                                    boost::asio::buffer(m_replies[m_requests]));
                              }
                              ++m_requests;
                              if (m_requests >= m_replies.size()) {
                                Close(*socket);
                                return;
                              }
                              Read(socket);
                            });
  }

  void Close(tcp::socket& socket) const {
    if (m_reset) {
      socket.set_option(boost::asio::socket_base::linger(true, 0));
    }
    socket.close();
  }

  tcp::acceptor m_acceptor;
  const std::vector<std::string> m_replies;
  const bool m_reset;
  std::array<char, 4096> m_buffer{};
  std::size_t m_requests = 0;
};

struct Outcome {
  UpstreamResult result = RefusalReason::kCancelled;
  std::size_t requests = 0;

  std::string Body() const {
    const auto* reply = std::get_if<HttpReply>(&result);
    return reply == nullptr ? "refused" : reply->body;
  }
  RefusalReason Reason() const {
    const auto* reason = std::get_if<RefusalReason>(&result);
    return reason == nullptr ? RefusalReason::kCancelled : *reason;
  }
};

/// Runs one request against a server that answers with `replies`.
Outcome RunOne(const std::vector<std::string>& replies, bool reset = false) {
  boost::asio::io_context io;
  ScriptedServer server(io, replies, reset);
  UpstreamLimits limits;
  Metrics metrics;
  UpstreamPool pool(io, server.endpoint(), limits, platform::PlatformDialect(),
                    metrics);
  Outcome outcome;
  UpstreamRequest request;
  request.method = "POST";
  request.target = "/a/";
  request.request_id = "id-1";
  UpstreamHooks hooks;
  hooks.start = [] { return true; };
  hooks.reply_head = [] {};
  hooks.done = [&](UpstreamResult result) {
    outcome.result = std::move(result);
    io.stop();
  };
  const auto run = pool.Run(std::move(request), std::move(hooks));
  io.run_for(std::chrono::seconds(5));
  outcome.requests = server.requests();
  return outcome;
}

std::string Reply(const std::string& id,
                  const std::string& body,
                  const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id +
         "\r\nResponse-Seal: s\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

Test(upstream_pool, a_late_second_reply_is_skipped_and_the_own_one_taken) {
  const Outcome outcome =
      RunOne({Reply("id-0", "of another") + Reply("id-1", "mine")});
  cr_expect_eq(outcome.Body(), "mine");
  cr_expect_eq(outcome.requests, 1U);
}

Test(upstream_pool, a_foreign_reply_alone_is_an_unknown_outcome) {
  const Outcome outcome = RunOne({Reply("id-0", "of another")});
  cr_expect(InfoOf(outcome.Reason()).run_outcome == RunOutcome::kUnknown);
}

Test(upstream_pool, a_reply_without_length_is_whole_at_an_orderly_close) {
  const std::string text =
      "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Seal: s\r\n\r\nto the "
      "end";
  cr_expect_eq(RunOne({text}).Body(), "to the end");
}

Test(upstream_pool, a_reply_without_length_that_is_reset_is_not_whole) {
  const std::string text =
      "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Seal: s\r\n\r\nto the "
      "end";
  const Outcome outcome = RunOne({text}, true);
  cr_expect(InfoOf(outcome.Reason()).run_outcome == RunOutcome::kUnknown);
}

Test(upstream_pool, a_cut_reply_is_never_passed_off_as_whole) {
  const std::string whole = Reply("id-1", "0123456789");
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    const Outcome outcome = RunOne({whole.substr(0, cut)});
    cr_expect_eq(outcome.Body(), "refused", "cut at %zu", cut);
    cr_expect(InfoOf(outcome.Reason()).run_outcome == RunOutcome::kUnknown);
    cr_expect_eq(outcome.requests, 1U);
  }
}

Test(upstream_pool, the_word_of_not_run_and_the_wrong_instance_are_proofs) {
  const Outcome shed = RunOne(
      {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"});
  cr_expect(shed.Reason() == RefusalReason::kUpstreamShed);
  const Outcome other =
      RunOne({"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"});
  cr_expect(other.Reason() == RefusalReason::kMisdirected);
}

Test(upstream_pool, bytes_that_are_no_reply_leave_the_outcome_unknown) {
  for (const char* text :
       {"nonsense\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "\n"}) {
    cr_expect(InfoOf(RunOne({text}).Reason()).run_outcome ==
              RunOutcome::kUnknown);
  }
}
