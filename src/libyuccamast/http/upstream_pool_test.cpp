#include "http/upstream_pool.h"

#include <criterion/criterion.h>

#include <cctype>

#include "http/fields.h"
#include "http/scripted_server.h"
#include "platform/dialect.h"

using namespace yuccamast;  // NOLINT
using boost::asio::ip::tcp;

namespace {

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

/// Sends one request with id `id-1` to `endpoint`, in the platform's dialect.
Outcome SendRequest(boost::asio::io_context& io,
                    const tcp::endpoint& endpoint,
                    std::string body = "") {
  UpstreamLimits limits;
  Metrics metrics;
  UpstreamPool pool(io, endpoint, limits, platform::PlatformDialect(), metrics);
  Outcome outcome;
  UpstreamRequest request;
  request.method = "POST";
  request.target = "/a/";
  request.request_id = "id-1";
  request.body = std::move(body);
  UpstreamHooks hooks;
  hooks.start = [] { return true; };
  hooks.reply_head = [] {};
  hooks.done = [&](UpstreamResult result) {
    outcome.result = std::move(result);
    io.stop();
  };
  const auto run = pool.Run(std::move(request), std::move(hooks));
  io.run_for(std::chrono::seconds(5));
  return outcome;
}

/// Runs one request with id `id-1` against a server that answers with
/// `replies`, in the platform's dialect.
Outcome RunRequest(const std::vector<std::string>& replies,
                   bool reset = false) {
  boost::asio::io_context io;
  ScriptedServer server(io, replies, reset);
  Outcome outcome = SendRequest(io, server.endpoint());
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

// A reply to an earlier request arrives late on a reused connection, before the
// reply to this request. The caller must get its own.
Test(upstream_pool, skips_reply_to_other_request_and_takes_the_matching_one) {
  const Outcome outcome =
      RunRequest({Reply("id-0", "of another") + Reply("id-1", "mine")});
  cr_expect_eq(outcome.Body(), "mine");
  cr_expect_eq(outcome.requests, 1U);
}

// Guards against passing on another request's reply, or claiming that the
// request was not run, when the connection ends after such a reply.
Test(upstream_pool, only_a_reply_to_another_request_means_unknown_outcome) {
  const Outcome outcome = RunRequest({Reply("id-0", "of another")});
  cr_expect(InfoOf(outcome.Reason()).run_outcome == RunOutcome::kUnknown);
}

// The platform's dialect accepts a body that ends with its connection.
Test(upstream_pool, close_delimited_reply_is_complete_after_orderly_close) {
  const std::string text =
      "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Seal: s\r\n\r\nto the "
      "end";
  cr_expect_eq(RunRequest({text}).Body(), "to the end");
}

// Guards against delivering a truncated body: after a reset, the end of the
// connection does not prove the end of the body.
Test(upstream_pool, close_delimited_reply_is_incomplete_after_reset) {
  const std::string text =
      "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Seal: s\r\n\r\nto the "
      "end";
  const Outcome outcome = RunRequest({text}, true);
  cr_expect(InfoOf(outcome.Reason()).run_outcome == RunOutcome::kUnknown);
}

// The upstream closes the connection at any byte of its reply. The outcome is
// unknown, and the request is written once only.
Test(upstream_pool, truncated_reply_is_never_delivered_or_resent) {
  const std::string complete_reply = Reply("id-1", "0123456789");
  for (std::size_t length = 0; length < complete_reply.size(); ++length) {
    const Outcome outcome = RunRequest({complete_reply.substr(0, length)});
    cr_expect_eq(outcome.Body(), "refused", "cut at %zu", length);
    cr_expect(InfoOf(outcome.Reason()).run_outcome == RunOutcome::kUnknown);
    cr_expect_eq(outcome.requests, 1U);
  }
}

// Guards against a cut head or body that is passed on as a whole reply. The
// upstream closes the connection, orderly or by a reset, at each byte of
// replies with each kind of framing: after an interim reply, in the status
// line, in a field, after the blank line, in a chunk, its extension, and the
// trailers. A body that ends with its connection has no end other than an
// orderly close, so such a reply counts as cut up to the end of its head only.
Test(upstream_pool, reply_cut_in_head_or_framing_is_never_delivered) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Seal: s\r\n";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string chunks =
      "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5;a=b\r\n01234\r\n"
      "5\r\n56789\r\n0\r\nX-Sum: 1\r\n\r\n";
  const std::string sized = "Content-Length: 10\r\n\r\n0123456789";
  const auto expect_refused = [](const std::string& reply, std::size_t size) {
    for (const bool reset : {false, true}) {
      const Outcome outcome = RunRequest({reply.substr(0, size)}, reset);
      cr_expect_eq(outcome.Body(), "refused", "cut at %zu", size);
      cr_expect(InfoOf(outcome.Reason()).run_outcome == RunOutcome::kUnknown);
      cr_expect_eq(outcome.requests, 1U);
    }
  };
  for (const std::string& reply :
       {head + sized, head + chunks, interim + head + sized}) {
    for (std::size_t size = 0; size < reply.size(); ++size) {
      expect_refused(reply, size);
    }
  }
  for (std::size_t size = 0; size < head.size() + 2; ++size) {
    expect_refused(head + "\r\nbody", size);
  }
  cr_expect_eq(RunRequest({head + chunks}).Body(), "0123456789");
  cr_expect_eq(RunRequest({interim + head + sized}).Body(), "0123456789");
}

// Guards against a field that a cut head left incomplete: the connection is
// closed within a field name or value, and the reply before it looks whole.
Test(upstream_pool, status_without_body_is_refused_when_its_head_is_cut) {
  for (const char* status : {"204 No Content", "304 Not Modified", "500 No"}) {
    const std::string head = "HTTP/1.1 " + std::string(status) +
                             "\r\nRequest-Id: id-1\r\nResponse-Seal: s\r\n";
    for (std::size_t size = 0; size <= head.size(); ++size) {
      const Outcome outcome = RunRequest({head.substr(0, size)});
      cr_expect_eq(outcome.Body(), "refused", "%s cut at %zu", status, size);
    }
  }
}

// Guards against memory and a slot that an upstream takes without end: a head,
// an interim reply or a body that goes on is ended at its limit.
Test(upstream_pool, reply_without_end_is_refused_at_its_limit) {
  const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n";
  const std::string endless_field =
      start + "X: " + std::string(64U << 10U, 'x');
  const std::string endless_body =
      start + "Response-Seal: s\r\n\r\n" + std::string(9U << 20U, 'x');
  cr_expect_eq(RunRequest({endless_field}).Body(), "refused");
  cr_expect(RunRequest({endless_body}).Reason() ==
            RefusalReason::kReplyTooLarge);
}

// Guards against giving up a call that may safely be moved: `Not-Executed` and
// status 421 both state that the request was not run. Guards also against
// taking them for a statement about this request if they do not name it.
Test(upstream_pool, not_executed_and_misdirected_replies_prove_not_run) {
  const std::string not_executed =
      " 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n";
  const std::string misdirected = " 421 Misdirected\r\nContent-Length: 0\r\n";
  const std::string id = "Request-Id: id-1\r\n";
  const auto reason = [](const std::string& text) {
    return RunRequest({"HTTP/1.1" + text + "\r\n"}).Reason();
  };
  cr_expect(reason(not_executed + id) == RefusalReason::kUpstreamShed);
  cr_expect(reason(misdirected + id) == RefusalReason::kMisdirected);
  for (const std::string& text : {not_executed, misdirected}) {
    cr_expect(InfoOf(reason(text)).run_outcome == RunOutcome::kUnknown);
  }
}

// A parse error says nothing about whether the request was run.
Test(upstream_pool, malformed_reply_means_unknown_outcome) {
  for (const char* text :
       {"nonsense\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "\n"}) {
    cr_expect(InfoOf(RunRequest({text}).Reason()).run_outcome ==
              RunOutcome::kUnknown);
  }
}

// Guards against a node that ends itself, and with it all calls of its VM, when
// an upstream sends a trailer field that Beast's container of fields rejects.
Test(upstream_pool, long_trailer_field_is_refused) {
  const std::string start =
      "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Seal: s\r\n"
      "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: ";
  for (const std::size_t size : {65'533U, 65'535U, 70'000U, 90'000U}) {
    const Outcome outcome =
        RunRequest({start + std::string(size, 'x') + "\r\n\r\n"});
    cr_expect(InfoOf(outcome.Reason()).run_outcome == RunOutcome::kUnknown,
              "%zu bytes", size);
    cr_expect_eq(outcome.requests, 1U);
  }
}

// Guards against a trailer field that is taken for a header field: here it
// would be the seal of a reply whose head has none.
Test(upstream_pool, trailer_field_is_no_header_field) {
  const std::string text =
      "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nTransfer-Encoding: chunked\r\n"
      "\r\n5\r\nhello\r\n0\r\nResponse-Seal: s\r\n\r\n";
  const Outcome outcome = RunRequest({text});
  if (const auto* reply = std::get_if<HttpReply>(&outcome.result)) {
    cr_expect_null(FindField(reply->fields, "Response-Seal"));
  }
}

// Guards against a caller that gets an answer whose status HTTP does not have.
Test(upstream_pool, reply_with_a_status_out_of_range_is_refused) {
  for (const char* status : {"000", "001", "099", "600", "999"}) {
    const Outcome outcome =
        RunRequest({Reply("id-1", "body", std::string(status) + " Trouble")});
    cr_expect_eq(outcome.Body(), "refused", "status %s", status);
    cr_expect(InfoOf(outcome.Reason()).run_outcome == RunOutcome::kUnknown);
    cr_expect_eq(outcome.requests, 1U);
  }
  for (const char* status : {"200", "404", "599"}) {
    cr_expect_eq(
        RunRequest({Reply("id-1", "body", status + std::string(" X"))}).Body(),
        "body", "status %s", status);
  }
}

// Guards against a line with a malformed field name that is passed on, or that
// hides the end of the body: a byte that no token has stands before, within or
// after the name, also that of the field with the length of the body.
Test(upstream_pool, reply_with_a_malformed_field_name_is_refused) {
  const std::string status_line = "HTTP/1.1 200 OK\r\n";
  const std::string fields = "Request-Id: id-1\r\nResponse-Seal: s\r\n";
  const std::string sized = "Content-Length: 4\r\n";
  const std::string token_punctuation = "!#$%&'*+-.^_`|~";
  const auto expect_refused = [&](std::string line, std::size_t at, int byte) {
    line.insert(at, 1, static_cast<char>(byte));
    for (const std::string& head :
         {line + fields + sized, fields + line + sized, fields + sized + line,
          fields + line}) {
      const Outcome outcome = RunRequest({status_line + head + "\r\nbody"});
      cr_expect_eq(outcome.Body(), "refused", "byte %d at %zu of %s", byte, at,
                   line.c_str());
      cr_expect(InfoOf(outcome.Reason()).run_outcome == RunOutcome::kUnknown);
    }
  };
  for (int byte = 0; byte < 256; ++byte) {
    const bool is_token_byte =
        (byte < 128 && std::isalnum(byte) != 0) ||
        token_punctuation.find(static_cast<char>(byte)) != std::string::npos;
    if (is_token_byte) {
      continue;
    }
    for (const std::string& line : {std::string("X-Ab: 1\r\n"), sized}) {
      for (const std::size_t at :
           {std::size_t{0}, std::size_t{1}, line.find(':')}) {
        if (byte != ':' || at == 0) {
          expect_refused(line, at, byte);
        }
      }
    }
  }
}

// Guards against a coded body that is passed on as the body itself: the node
// removes Transfer-Encoding but decodes `chunked` only.
Test(upstream_pool, reply_with_another_transfer_coding_is_refused) {
  const std::string start =
      "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Seal: s\r\n"
      "Transfer-Encoding: ";
  const std::string rest = "\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  for (const char* coding :
       {"gzip", "identity", "gzip, chunked", "chunked, gzip",
        "chunked, chunked", "xchunked", "chunked;q=1", "", ","}) {
    cr_expect_eq(RunRequest({start + coding + rest}).Body(), "refused",
                 "coding '%s'", coding);
  }
  for (const char* coding : {"chunked", "Chunked", " chunked "}) {
    cr_expect_eq(RunRequest({start + coding + rest}).Body(), "body",
                 "coding '%s'", coding);
  }
}

// Guards against a caller that gets bytes of another protocol as an answer.
Test(upstream_pool, reply_of_another_protocol_version_is_refused) {
  const std::string rest =
      " 200 OK\r\nRequest-Id: id-1\r\nResponse-Seal: s\r\n"
      "Content-Length: 4\r\n\r\nbody";
  for (const char* version : {"0.0", "0.9", "2.0", "9.9"}) {
    cr_expect_eq(RunRequest({"HTTP/" + std::string(version) + rest}).Body(),
                 "refused", "version %s", version);
  }
  for (const char* version : {"1.0", "1.1"}) {
    cr_expect_eq(RunRequest({"HTTP/" + std::string(version) + rest}).Body(),
                 "body", "version %s", version);
  }
}

// Guards against a body that ends elsewhere than the upstream's: its length is
// malformed or given in two ways.
Test(upstream_pool, reply_with_an_ambiguous_length_is_refused) {
  const std::string start =
      "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Seal: s\r\n";
  for (const char* fields :
       {"Content-Length: ", "Content-Length: +4", "Content-Length: -4",
        "Content-Length: 4 4", "Content-Length: 0x4", "Content-Length: 4,5",
        "Content-Length: 99999999999999999999",
        "Content-Length: 4\r\nContent-Length: 5",
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 4"}) {
    cr_expect_eq(
        RunRequest({start + fields + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}).Body(),
        "refused", "%s", fields);
  }
}

namespace {

/// How an upstream ends the connection on which it has answered an upload
/// before it has read it.
enum class UploadEnd {
  kReset,      ///< By a reset (RST).
  kClose,      ///< It closes the socket, of which it has not read everything.
  kReadToEnd,  ///< In order (FIN), and it reads the rest of the upload.
};

/// A TCP server that answers the start of an upload at once and then ends the
/// connection after `delay`.
class EarlyReplyServer {
 public:
  EarlyReplyServer(boost::asio::io_context& io,
                   std::string reply,
                   UploadEnd end,
                   std::chrono::milliseconds delay)
      : m_acceptor(io,
                   tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        m_socket(io),
        m_timer(io),
        m_reply(std::move(reply)),
        m_end(end) {
    m_acceptor.async_accept(m_socket, [this, delay](const auto& error) {
      if (error) {
        return;
      }
      m_socket.async_read_some(
          boost::asio::buffer(m_buffer), [this, delay](const auto&, auto) {
            boost::asio::write(m_socket, boost::asio::buffer(m_reply));
            m_timer.expires_after(delay);
            m_timer.async_wait([this](const auto&) { End(); });
          });
    });
  }

  tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

 private:
  void End() {
    if (m_end == UploadEnd::kReadToEnd) {
      m_socket.shutdown(tcp::socket::shutdown_send);
      ReadRest();
      return;
    }
    if (m_end == UploadEnd::kReset) {
      m_socket.set_option(boost::asio::socket_base::linger(true, 0));
    }
    m_socket.close();
  }

  void ReadRest() {
    m_socket.async_read_some(boost::asio::buffer(m_buffer),
                             [this](const auto& error, std::size_t) {
                               if (!error) {
                                 ReadRest();
                               }
                             });
  }

  tcp::acceptor m_acceptor;
  tcp::socket m_socket;
  boost::asio::steady_timer m_timer;
  const std::string m_reply;
  const UploadEnd m_end;
  std::array<char, 4096> m_buffer{};
};

/// Sends an upload that does not fit the buffers of the sockets to a server
/// that answers it early without a length.
Outcome RunUpload(UploadEnd end, std::chrono::milliseconds delay) {
  constexpr std::size_t kUploadBytes = 32U << 20U;
  boost::asio::io_context io;
  const EarlyReplyServer server(
      io,
      "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Seal: s\r\n\r\nstart",
      end, delay);
  return SendRequest(io, server.endpoint(), std::string(kUploadBytes, 'x'));
}

constexpr std::array<std::chrono::milliseconds, 4> kEndDelays = {
    std::chrono::milliseconds(0), std::chrono::milliseconds(1),
    std::chrono::milliseconds(5), std::chrono::milliseconds(50)};

}  // namespace

// Guards against a part of a body that is taken for the whole: the upstream
// answers a long upload at once, without a length, and resets the connection
// while the upload is still written.
Test(upstream_pool, close_delimited_reply_is_incomplete_after_reset_in_upload) {
  for (const auto delay : kEndDelays) {
    for (const UploadEnd end : {UploadEnd::kReset, UploadEnd::kClose}) {
      const Outcome outcome = RunUpload(end, delay);
      cr_expect_eq(outcome.Body(), "refused", "end %d after %ld ms",
                   static_cast<int>(end), static_cast<long>(delay.count()));
      cr_expect(InfoOf(outcome.Reason()).run_outcome == RunOutcome::kUnknown);
    }
  }
}

// Guards against a complete reply that is withheld: the upstream answers a long
// upload at once, without a length, ends its reply in order and reads on.
Test(upstream_pool, close_delimited_reply_before_end_of_upload_is_complete) {
  for (const auto delay : kEndDelays) {
    cr_expect_eq(RunUpload(UploadEnd::kReadToEnd, delay).Body(), "start",
                 "after %ld ms", static_cast<long>(delay.count()));
  }
}
