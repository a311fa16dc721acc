#include "http/caller_connection.h"

#include <criterion/criterion.h>

#include <boost/asio/write.hpp>

/// Pipelined requests on one connection of a caller, over loopback; calls end
/// when the test says so. The order alone is tested in pipeline_test.cpp.

using namespace yuccamast;  // NOLINT
using boost::asio::ip::tcp;

namespace {

std::string Get(const std::string& target, const std::string& fields = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

std::string Post(const std::string& target) {
  return "POST " + target +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\ndata";
}

/// A caller whose calls stay open until `Answer`. GET may overlap.
class PipeliningCaller {
 public:
  explicit PipeliningCaller(CallerLimits limits = {})
      : m_acceptor(m_io,
                   tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        m_socket(m_io) {
    m_hooks.handle_call = [this](const CallerRequest& request,
                                 const std::function<void(CallerReply)>& done) {
      started.push_back(request.target);
      m_requests.push_back(request);
      m_done.push_back(done);
      CallHandle handle;
      handle.on_caller_disconnect = [this, target = request.target] {
        cancelled.push_back(target);
        m_requests.clear();
      };
      handle.may_overlap = request.method == "GET";
      return handle;
    };
    m_hooks.may_overlap = [](const CallerRequest& request) {
      return request.method == "GET";
    };
    m_hooks.leaving = [this] { return leaving; };
    m_hooks.on_closed = [this](CallerConnection*) { closed = true; };
    m_hooks.retry_after = [] { return std::chrono::milliseconds(100); };
    m_hooks.limits = [limits] { return limits; };
    m_socket.connect(m_acceptor.local_endpoint());
    m_connection = std::make_shared<CallerConnection>(
        m_acceptor.accept(), DefaultDialect(), m_budget, m_metrics, m_hooks);
    m_connection->Start();
  }

  void Send(const std::string& text) {
    boost::asio::write(m_socket, boost::asio::buffer(text));
    Run();
  }
  /// Sends the bytes and runs only what is ready.
  void SendPart(const std::string& text) {
    boost::asio::write(m_socket, boost::asio::buffer(text));
    m_io.restart();
    m_io.poll();
  }

  /// Runs until `condition` holds, or for `time` without one.
  void Run(
      std::chrono::milliseconds time = std::chrono::milliseconds(30),
      const std::function<bool()>& condition = [] { return false; }) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      m_io.restart();
      m_io.run_for(std::chrono::milliseconds(10));
    }
  }

  /// Answers the call that was started as number `index` with a body.
  void Answer(std::size_t index, const std::string& body) {
    Reply(index, body);
    Run();
  }
  void Reply(std::size_t index, const std::string& body) {
    HttpReply reply;
    reply.status = 200;
    reply.body = body;
    m_requests.at(index) = {};
    m_done.at(index)({"id", std::move(reply)});
  }

  /// What the connection has sent so far.
  std::string Received() {
    Run();
    boost::system::error_code error;
    while (m_socket.available(error) > 0) {
      std::string part(m_socket.available(error), '\0');
      part.resize(m_socket.read_some(boost::asio::buffer(part), error));
      m_received += part;
    }
    return m_received;
  }

  void Leave() {
    m_socket.shutdown(tcp::socket::shutdown_send);
    Run(std::chrono::seconds(5), [this] { return closed; });
  }
  void Reset() {
    m_socket.set_option(boost::asio::socket_base::linger(true, 0));
    m_socket.close();
    Run(std::chrono::seconds(5), [this] { return closed; });
  }
  void Stop() {
    leaving = true;
    m_connection->Stop();
    Run();
  }
  std::size_t reserved() const { return m_budget.used(); }

  std::vector<std::string> started;
  std::vector<std::string> cancelled;
  bool leaving = false;
  bool closed = false;

 private:
  boost::asio::io_context m_io;
  tcp::acceptor m_acceptor;
  tcp::socket m_socket;
  MemoryBudget m_budget{1U << 20U};
  Metrics m_metrics;
  CallerHooks m_hooks;
  std::shared_ptr<CallerConnection> m_connection;
  std::vector<CallerRequest> m_requests;  ///< Kept as long as the calls.
  std::vector<std::function<void(CallerReply)>> m_done;
  std::string m_received;
};

using Targets = std::vector<std::string>;

/// Whether `parts` occur in `text` one after the other.
bool HasInOrder(const std::string& text, const Targets& parts) {
  std::size_t from = 0;
  return std::ranges::all_of(parts, [&](const std::string& part) {
    const std::size_t found = text.find(part, from);
    from = found == std::string::npos ? found : found + part.size();
    return found != std::string::npos;
  });
}

}  // namespace

// Guards against a read that waits for the whole work of the one before it.
Test(caller_pipelining, reads_run_at_once_and_are_answered_in_order) {
  PipeliningCaller caller;
  caller.Send(Get("/1") + Get("/2") + Get("/3"));
  cr_assert_eq(caller.started, (Targets{"/1", "/2", "/3"}));
  cr_expect_gt(caller.reserved(), 0U);
  caller.Answer(2, "third");
  caller.Answer(1, "second");
  cr_expect(caller.Received().empty());
  caller.Answer(0, "first");
  cr_expect(HasInOrder(caller.Received(), {"first", "second", "third"}));
  cr_expect_eq(caller.reserved(), 0U);
}

// Guards against work for a caller that has left: its disconnect comes behind
// requests that are pending, some of which are not read for lack of a place.
Test(caller_pipelining, disconnect_cancels_all_pending_calls) {
  for (const bool reset : {false, true}) {
    CallerLimits limits;
    limits.max_pipelined = 2;
    PipeliningCaller caller(limits);
    caller.Send(Get("/1") + Get("/2") + Get("/3"));
    cr_assert_eq(caller.started, (Targets{"/1", "/2"}));
    reset ? caller.Reset() : caller.Leave();
    cr_expect(caller.closed);
    cr_expect_eq(caller.cancelled, (Targets{"/1", "/2"}));
    cr_expect_eq(caller.started.size(), 2U);
    cr_expect_eq(caller.reserved(), 0U);
  }
}

// Guards against work for a caller that leaves while a large reply is written
// to it.
Test(caller_pipelining, disconnect_during_a_reply_cancels_the_calls_behind) {
  PipeliningCaller caller;
  caller.Send(Get("/1") + Get("/2"));
  caller.Answer(0, std::string(32U << 20U, 'x'));
  caller.Leave();
  cr_expect_eq(caller.cancelled, (Targets{"/2"}));
}

// Guards against a run of a request that its caller sends again: one behind a
// reply that closes the connection, of any kind.
Test(caller_pipelining, nothing_runs_behind_a_reply_that_closes) {
  const Targets closing = {
      Get("/1", "Connection: close\r\n"), "GET /1 HTTP/1.0\r\n\r\n",
      Get("/1", "Content-Length: 1\r\nContent-Length: 2\r\n")};
  for (const std::string& first : closing) {
    PipeliningCaller caller;
    caller.Send(first + Get("/2") + Post("/3"));
    if (!caller.started.empty()) {
      caller.Answer(0, "first");
    }
    caller.Leave();
    cr_expect_leq(caller.started.size(), 1U);
    const std::string received = caller.Received();
    cr_expect(HasInOrder(received, {"HTTP/1.", "Connection: close"}), "%s",
              received.c_str());
    cr_expect_not(HasInOrder(received, {"HTTP/1.", "HTTP/1."}));
  }
}

// Guards against smuggling behind a good request: the good one is answered,
// then the bad one is refused, and what follows it is not taken for a request.
Test(caller_pipelining, refusal_waits_for_the_replies_before_it) {
  PipeliningCaller caller;
  caller.Send(Get("/1") + Get("/2", "Transfer-Encoding: gzip\r\n") + Get("/3"));
  cr_expect(caller.Received().empty());
  caller.Answer(0, "first");
  cr_expect(HasInOrder(caller.Received(),
                       {"first", "HTTP/1.1 501", "Connection: close"}));
  cr_expect_eq(caller.started, (Targets{"/1"}));
}

// Guards against a second run of a request that must run once at most, and
// against a read that overtakes a write of its own caller.
Test(caller_pipelining, writes_wait_their_turn) {
  PipeliningCaller caller;
  caller.Send(Get("/1") + Post("/2") + Get("/3"));
  cr_expect_eq(caller.started, (Targets{"/1"}));
  caller.Answer(0, "first");
  cr_expect_eq(caller.started, (Targets{"/1", "/2"}));
  caller.Answer(1, "second");
  cr_expect_eq(caller.started, (Targets{"/1", "/2", "/3"}));
}

// Guards against a stop that cuts off calls, or runs requests behind the reply
// that closes.
Test(caller_pipelining, stop_answers_what_runs_and_starts_nothing) {
  PipeliningCaller caller;
  caller.Send(Get("/1") + Get("/2") + Post("/3"));
  caller.Stop();
  caller.Send(Get("/4"));
  caller.Answer(1, "second");
  caller.Answer(0, "first");
  const std::string received = caller.Received();
  cr_expect(HasInOrder(received, {"first", "Connection: close", "second"}),
            "%s", received.c_str());
  const std::size_t close = received.find("Connection: close");
  cr_expect_gt(close, received.find("first"));
  cr_expect_eq(caller.started, (Targets{"/1", "/2"}));
  caller.Leave();
  cr_expect(caller.closed);
}

// Guards against an interim reply in the middle of the reply to another
// request.
Test(caller_pipelining, interim_reply_waits_its_turn) {
  PipeliningCaller caller;
  caller.Send(Get("/1") +
              "POST /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
              "Content-Length: 4\r\n\r\n");
  cr_expect(caller.Received().empty());
  caller.Answer(0, "first");
  cr_expect(HasInOrder(caller.Received(), {"first", "100 Continue"}));
  caller.Send("data");
  cr_expect_eq(caller.started, (Targets{"/1", "/2"}));
}

// Guards against a parser that depends on how the kernel splits the bytes.
Test(caller_pipelining, bytes_may_be_split_anywhere) {
  const std::string bytes =
      Get("/1") +
      "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-Sum: 1\r\n\r\n" +
      Get("/3");
  for (std::size_t split = 1; split < bytes.size(); ++split) {
    PipeliningCaller caller;
    const auto wait_for_calls = [&](std::size_t count) {
      caller.Run(std::chrono::seconds(5),
                 [&] { return caller.started.size() >= count; });
    };
    caller.SendPart(bytes.substr(0, split));
    caller.SendPart(bytes.substr(split));
    wait_for_calls(1);
    caller.Reply(0, "first");
    wait_for_calls(2);
    caller.Reply(1, "second");
    wait_for_calls(3);
    cr_assert_eq(caller.started, (Targets{"/1", "/2", "/3"}), "split at %zu",
                 split);
  }
}

// Guards against a connection that is closed as idle while its call runs, and
// against one that a request which stalls behind a call keeps open for ever.
Test(caller_pipelining, timeouts_count_the_reading_only) {
  CallerLimits limits;
  limits.idle_timeout = std::chrono::milliseconds(20);
  limits.head_timeout = std::chrono::milliseconds(20);
  PipeliningCaller caller(limits);
  caller.Send(Get("/1"));
  caller.Run(std::chrono::milliseconds(100));
  cr_assert_not(caller.closed);
  caller.Send("GET /2 HT");
  caller.Run(std::chrono::milliseconds(100));
  caller.Answer(0, "first");
  cr_expect(HasInOrder(caller.Received(), {"first", "HTTP/1.1 408"}));
}

// Guards against a reply that reaches another request than its own: a call that
// answers twice, or after its caller was answered.
Test(caller_pipelining, second_answer_of_a_call_is_dropped) {
  PipeliningCaller caller;
  caller.Send(Get("/1") + Get("/2"));
  caller.Answer(0, "first");
  caller.Answer(0, "again");
  caller.Answer(1, "second");
  caller.Send(Get("/3"));
  caller.Answer(1, "again");
  caller.Answer(2, "third");
  const std::string received = caller.Received();
  cr_expect(HasInOrder(received, {"first", "second", "third"}));
  cr_expect_eq(received.find("again"), std::string::npos);
}
