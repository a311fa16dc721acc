#include "http/caller_connection.h"

#include <criterion/criterion.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "http/fields.h"

using namespace yuccamast;  // NOLINT
using boost::asio::ip::tcp;

namespace {

const std::string kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/// A caller and a connection of the entry that answers each request with 200
/// and a body of `body_bytes`.
class Caller {
 public:
  explicit Caller(std::size_t body_bytes = 1, const CallerLimits& limits = {})
      : m_acceptor(m_io,
                   tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        m_socket(m_io) {
    m_hooks.handle_call = [this, body_bytes](
                              const CallerRequest& request,
                              const std::function<void(CallerReply)>& done) {
      ++m_calls;
      m_fields = request.fields;
      HttpReply reply;
      reply.status = 200;
      reply.body.assign(body_bytes, 'x');
      done({"id", std::move(reply)});
      return CallHandle();
    };
    m_hooks.leaving = [this] { return m_leaving; };
    m_hooks.on_closed = [this](CallerConnection*) { m_closed = true; };
    m_hooks.retry_after = [] { return std::chrono::milliseconds(100); };
    m_hooks.limits = [limits] { return limits; };
    m_socket.connect(m_acceptor.local_endpoint());
    m_connection = std::make_shared<CallerConnection>(
        m_acceptor.accept(), DefaultDialect(), m_budget, m_metrics, m_hooks);
    m_connection->Start();
  }

  void Send(const std::string& text) {
    boost::asio::write(m_socket, boost::asio::buffer(text));
  }

  /// Runs the connection for a while.
  void Run(std::chrono::milliseconds time = std::chrono::milliseconds(100)) {
    m_io.restart();
    m_io.run_for(time);
  }

  /// What a planned stop does to the connection.
  void Stop() {
    m_leaving = true;
    m_connection->Stop();
  }

  /// Reads what the connection sends until `size` bytes came or it ends.
  std::string Read(std::size_t size) {
    std::string text(size, '\0');
    std::size_t length = 0;
    boost::system::error_code error;
    boost::asio::async_read(m_socket, boost::asio::buffer(text),
                            [&](const auto& result, std::size_t read) {
                              error = result;
                              length = read;
                            });
    Run(std::chrono::milliseconds(500));
    m_socket.cancel();
    Run();
    text.resize(length);
    return text;
  }

  int calls() const { return m_calls; }
  bool closed() const { return m_closed; }
  /// Of the last call.
  const std::vector<HttpField>& fields() const { return m_fields; }

 private:
  boost::asio::io_context m_io;
  tcp::acceptor m_acceptor;
  tcp::socket m_socket;
  MemoryBudget m_budget{64U << 20U};
  Metrics m_metrics;
  CallerHooks m_hooks;
  std::shared_ptr<CallerConnection> m_connection;
  bool m_leaving = false;
  bool m_closed = false;
  int m_calls = 0;
  std::vector<HttpField> m_fields;
};

}  // namespace

// Guards against a planned stop that cuts off a request which has arrived, but
// which the process has not begun to read.
Test(caller_connection, stop_answers_a_request_that_has_arrived) {
  Caller caller;
  caller.Send(kRequest);
  caller.Stop();
  const std::string reply = caller.Read(4096);
  cr_expect_eq(caller.calls(), 1);
  cr_expect(reply.starts_with("HTTP/1.1 200"), "%s", reply.c_str());
  cr_expect_neq(reply.find("Connection: close"), std::string::npos);
}

// Guards against a planned stop that cuts off the request of a connection that
// was accepted a moment ago: callers open a connection to send a request.
Test(caller_connection, stop_waits_for_the_first_request_of_a_connection) {
  Caller caller;
  caller.Run();
  caller.Stop();
  caller.Run();
  cr_assert_not(caller.closed());
  caller.Send(kRequest);
  cr_expect(caller.Read(4096).starts_with("HTTP/1.1 200"));
  cr_expect_eq(caller.calls(), 1);
}

// Guards against a connection that stays open for the whole stop and takes a
// request when too little time is left for it: its reply was being written when
// the node stopped accepting, so it was not idle then.
Test(caller_connection, stop_ends_a_connection_whose_reply_is_being_written) {
  const std::size_t body_bytes = 32U << 20U;
  Caller caller(body_bytes);
  caller.Send(kRequest);
  caller.Run();
  cr_assert_eq(caller.calls(), 1);
  caller.Stop();
  cr_expect_geq(caller.Read(body_bytes + 4096).size(), body_bytes);
  cr_expect(caller.closed());
  cr_expect_eq(caller.calls(), 1);
}

// Guards against a stop that waits for a connection that sends nothing.
Test(caller_connection, stop_closes_idle_connections) {
  Caller kept;
  kept.Send(kRequest);
  kept.Run();
  kept.Stop();
  kept.Run();
  cr_expect(kept.closed());
  Caller silent;
  silent.Stop();
  silent.Run(std::chrono::seconds(1));
  cr_expect(silent.closed());
}

// Guards against a node that one caller ends, and with it the calls of all
// others: a trailer field that Beast's container of fields rejects.
Test(caller_connection, long_trailer_field_is_refused) {
  for (const std::size_t size : {65'533U, 65'535U, 70'000U, 80'000U}) {
    Caller caller;
    caller.Send(
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        "\r\n5\r\nhello\r\n0\r\nX: " +
        std::string(size, 'x') + "\r\n\r\n");
    const std::string reply = caller.Read(4096);
    cr_expect(reply.starts_with("HTTP/1.1 431"), "%zu bytes: %s", size,
              reply.c_str());
    cr_expect_eq(caller.calls(), 0);
  }
}

// Guards against a caller that sets header fields after they were checked.
Test(caller_connection, trailer_field_is_no_header_field) {
  Caller caller;
  caller.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\nHost: other\r\nX-Sum: 1\r\n\r\n");
  cr_expect(caller.Read(4096).starts_with("HTTP/1.1 200"));
  cr_assert_eq(caller.calls(), 1);
  const auto hosts = std::ranges::count_if(
      caller.fields(),
      [](const HttpField& field) { return field.name == "Host"; });
  cr_expect_eq(hosts, 1);
  cr_expect_null(FindField(caller.fields(), "X-Sum"));
}

// Guards against a limit on heads of 4 GB and more that overflows, so that
// every request is refused as too large.
Test(caller_connection, limit_on_heads_beyond_32_bits_refuses_no_request) {
  CallerLimits limits;
  for (const std::size_t bytes : {1ULL << 32U, 1ULL << 40U}) {
    limits.max_head_bytes = bytes;
    Caller caller(1, limits);
    caller.Send(kRequest);
    const std::string reply = caller.Read(4096);
    cr_expect(reply.starts_with("HTTP/1.1 200"), "%zu: %s", bytes,
              reply.c_str());
  }
}

// Guards against a limit of no body at all that also refuses requests without
// a body, or lets one with a body pass.
Test(caller_connection, limit_of_no_body_refuses_only_bodies) {
  CallerLimits limits;
  limits.max_body_bytes = 0;
  Caller caller(1, limits);
  caller.Send(kRequest);
  cr_expect(caller.Read(4096).starts_with("HTTP/1.1 200"));
  caller.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
  cr_expect(caller.Read(4096).starts_with("HTTP/1.1 413"));
  cr_expect_eq(caller.calls(), 1);
}
