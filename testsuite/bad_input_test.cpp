#include <criterion/criterion.h>
#include <sys/resource.h>

#include <csignal>
#include <fstream>
#include <sstream>

#include "support/local_fleet.h"

/// System tests of malformed, unusual and very many requests of callers against
/// one node with its upstream, over raw TCP connections.

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT

namespace {

constexpr std::chrono::seconds kReplyTimeout{10};

/// One VM with short read timeouts and limits that the tests can exceed.
FleetSpec OneVmSpec() {
  FleetSpec spec;
  spec.vms.push_back({"vm-1", "shop-1", "shop"});
  spec.config_files.push_back(
      {"20-rules.json",
       R"({"rules": {"read": {"service": "shop", "method": "GET",
                              "path": "/read/**", "idempotent": true},
                     "head": {"service": "shop", "method": "HEAD",
                              "path": "/read/**", "idempotent": true},
                     "order": {"service": "shop", "method": "POST",
                               "path": "/order"}}})"});
  spec.settings.push_back(
      {"caller", JsonValue::Object{{"head_timeout_ms", 500},
                                   {"body_timeout_ms", 500},
                                   {"max_body_bytes", 100'000},
                                   {"max_connections", 11'000}}});
  return spec;
}

/// Sends the bytes on a new connection to the entry and reads one reply.
ReceivedReply Exchange(LocalFleet& fleet, const std::string& bytes) {
  RawConnection connection(fleet.vm(0).caller_port);
  connection.Send(bytes);
  return connection.ReadReply(kReplyTimeout);
}

/// Checks that the reply is complete and is a refusal by the node, which states
/// that the call was not run.
void ExpectRefusal(const ReceivedReply& reply,
                   unsigned status,
                   const std::string& reason) {
  cr_expect_eq(reply.status, status, "%s: %s", reason.c_str(),
               reply.raw.c_str());
  cr_expect(reply.complete);
  cr_expect_eq(reply.Field("yuccamast-reason"), reason);
  cr_expect_eq(reply.Field("yuccamast-outcome"), "not-run");
}

/// Resident memory of a process in KiB.
long ResidentKb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::strtol(line.c_str() + 6, nullptr, 10);
    }
  }
  return 0;
}

}  // namespace

// Guards against requests that the node reads in another way than the upstream
// (request smuggling, ambiguous paths), that exceed a limit, or that stall:
// each is refused with its status and reason, reaches no upstream, and leaves
// the node running.
Test(bad_input, malformed_requests_are_refused_and_never_run) {
  LocalFleet fleet(OneVmSpec());
  cr_assert(fleet.WaitUntilReady());
  const std::string post = "POST /order HTTP/1.1\r\nHost: t\r\n";
  struct BadRequest {
    std::string bytes;
    unsigned status;
    std::string reason;
  };
  const std::vector<BadRequest> bad_requests = {
      {"GET /read/1 HTTP/1.1\r\nHost: t\r\nX: " + std::string(40'000, 'x') +
           "\r\n\r\n",
       431, "head_too_large"},
      {post + "Content-Length: 200000\r\n\r\n" + std::string(200'000, 'x'), 413,
       "body_too_large"},
      {post + "Content-Length: -1\r\n\r\n", 400, "bad_request"},
      {post + "Content-Length: 1x\r\n\r\n", 400, "bad_request"},
      {post + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", 400,
       "bad_request"},
      {post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400,
       "bad_request"},
      {post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", 400,
       "bad_request"},
      {post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc", 400,
       "bad_request"},
      {post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501,
       "unsupported"},
      {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", 400,
       "bad_request"},
      {post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n", 400,
       "bad_request"},
      {post + "Content-Length: 10\r\n\r\nabc", 408, "request_timeout"},
      {"GET /read/1 HT", 408, "request_timeout"},
      {"GET /read/1 HTTP/1.1\r\n\r\n", 400, "bad_request"},
      {"GET /read/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400,
       "bad_request"},
      {"GET /read/1 HTTP/3.0\r\nHost: t\r\n\r\n", 400, "bad_request"},
      {"\x16\x03\x01 not http\r\n\r\n", 400, "bad_request"},
      {"GET http://x/read/1 HTTP/1.1\r\nHost: t\r\n\r\n", 400,
       "ambiguous_path"},
      {"GET /read/../order HTTP/1.1\r\nHost: t\r\n\r\n", 400, "ambiguous_path"},
      {"GET /read/%2e%2e/order HTTP/1.1\r\nHost: t\r\n\r\n", 400,
       "ambiguous_path"},
      {"CONNECT t:1 HTTP/1.1\r\nHost: t\r\n\r\n", 501, "unsupported"},
      {"GET /nothing HTTP/1.1\r\nHost: t\r\n\r\n", 404, "no_rule"},
      {"GET /read/1 HTTP/1.1\r\nHost: t\r\nYuccamast-Depth: x\r\n\r\n", 400,
       "bad_request"},
      {"GET /read/1 HTTP/1.1\r\nHost: t\r\nYuccamast-Depth: 99\r\n\r\n", 508,
       "depth_exceeded"},
      {"GET /read/1 HTTP/1.1\r\nHost: t\r\nYuccamast-Deadline-Ms: 0\r\n\r\n",
       504, "deadline_not_run"},
  };
  for (const BadRequest& bad_request : bad_requests) {
    ExpectRefusal(Exchange(fleet, bad_request.bytes), bad_request.status,
                  bad_request.reason);
  }
  cr_expect(fleet.ReadLedgers().empty());
  cr_expect(fleet.vm(0).node->IsRunning());
}

// Guards against replies in the order in which the calls end instead of the
// order of the requests. Each of the pipelined requests takes less time than
// the one before it.
Test(bad_input, pipelined_requests_are_answered_in_order) {
  LocalFleet fleet(OneVmSpec());
  cr_assert(fleet.WaitUntilReady());
  RawConnection connection(fleet.vm(0).caller_port);
  std::string bytes;
  for (int i = 0; i < 5; ++i) {
    bytes += "GET /read/1?sleep_ms=" + std::to_string(20 - 4 * i) +
             " HTTP/1.1\r\nHost: t\r\nX-Load-Id: p" + std::to_string(i) +
             "\r\n\r\n";
  }
  connection.Send(bytes);
  for (int i = 0; i < 5; ++i) {
    const ReceivedReply reply = connection.ReadReply(kReplyTimeout);
    cr_expect(reply.complete);
    cr_expect(reply.body.starts_with("id=p" + std::to_string(i) + " "), "%s",
              reply.body.c_str());
  }
}

// Guards against a chunked body that reaches the upstream incomplete, and
// against a caller that waits for the interim reply 100 in vain.
Test(bad_input, chunked_body_after_expect_continue_arrives_complete) {
  LocalFleet fleet(OneVmSpec());
  cr_assert(fleet.WaitUntilReady());
  RawConnection connection(fleet.vm(0).caller_port);
  connection.Send(
      "POST /order HTTP/1.1\r\nHost: t\r\nExpect: 100-continue\r\n"
      "Transfer-Encoding: chunked\r\nX-Load-Id: c\r\n\r\n");
  cr_expect_eq(connection.ReadReply(kReplyTimeout).status, 100U);
  connection.Send("3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
  const ReceivedReply reply = connection.ReadReply(kReplyTimeout);
  cr_expect_eq(reply.status, 200U);
  cr_expect_neq(reply.body.find("got=7 "), std::string::npos);
}

// Guards against a reply to HEAD that waits for, or carries, the body that its
// Content-Length announces.
Test(bad_input, head_reply_is_complete_without_a_body) {
  LocalFleet fleet(OneVmSpec());
  cr_assert(fleet.WaitUntilReady());
  const auto reply =
      SendRequest(fleet.vm(0).caller_port, "HEAD", "/read/1?size=100");
  cr_expect_eq(reply.status, 200U);
  cr_expect(reply.complete);
  cr_expect(reply.body.empty());
}

// Guards against idle connections that exhaust the node: 10,000 of them may add
// less than 64 MiB and must not prevent calls. Connections above the configured
// limit are refused, and calls are served again after the idle ones are closed.
Test(bad_input, ten_thousand_idle_connections_fit_in_memory) {
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  if (files.rlim_cur < 21'000) {
    cr_skip_test("needs a limit of 21,000 open files (RLIMIT_NOFILE)");
  }
  LocalFleet fleet(OneVmSpec());
  cr_assert(fleet.WaitUntilReady());
  const long before_kb = ResidentKb(fleet.vm(0).node->pid());
  std::vector<std::unique_ptr<RawConnection>> idle;
  for (int i = 0; i < 10'000; ++i) {
    idle.push_back(std::make_unique<RawConnection>(fleet.vm(0).caller_port));
    cr_assert(idle.back()->connected());
  }
  const auto reply = SendRequest(fleet.vm(0).caller_port, "GET", "/read/1");
  cr_expect_eq(reply.status, 200U);
  const long grown_kb = ResidentKb(fleet.vm(0).node->pid()) - before_kb;
  cr_expect_lt(grown_kb, 64L * 1024);
  for (int i = 0; i < 1'500; ++i) {
    idle.push_back(std::make_unique<RawConnection>(fleet.vm(0).caller_port));
  }
  const ReceivedReply refused = idle.back()->ReadReply(kReplyTimeout);
  ExpectRefusal(refused, 503, "too_many_connections");
  idle.clear();
  cr_expect(LocalFleet::WaitFor(
      [&] {
        return SendRequest(fleet.vm(0).caller_port, "GET", "/read/1").status ==
               200;
      },
      kReplyTimeout));
}
