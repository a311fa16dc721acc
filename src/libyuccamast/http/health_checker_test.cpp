#include "http/health_checker.h"

// After the HTTP headers: its macros conflict with those of Boost.Intrusive.
#include <criterion/criterion.h>

#include "http/scripted_server.h"
#include "platform/dialect.h"

using namespace yuccamast;  // NOLINT

namespace {

/// Whether the health checker takes `reply` for the reply to its probe.
bool IsTaken(const std::string& reply) {
  boost::asio::io_context io;
  const ScriptedServer server(io, {reply}, false);
  Metrics metrics;
  bool is_taken = false;
  HealthCheckerHooks hooks;
  hooks.on_draining_changed = [](bool) {};
  hooks.on_health = [&](const HealthStatus&, const auto&) {
    is_taken = true;
    io.stop();
  };
  HealthChecker checker(io, server.endpoint(), "/health",
                        std::chrono::seconds(60), platform::PlatformDialect(),
                        metrics, std::move(hooks));
  checker.Start();
  io.run_for(std::chrono::milliseconds(500));
  checker.Stop();
  return is_taken;
}

const std::string kFields =
    "Instance-Id: i-1\r\nServer-Load: 0,0,9\r\nContent-Length: 0\r\n\r\n";

}  // namespace

// Guards against a load that is read from bytes that are no reply: the status
// is one that HTTP does not have.
Test(health_checker, reply_with_a_status_out_of_range_is_not_taken) {
  cr_expect(IsTaken("HTTP/1.1 200 OK\r\n" + kFields));
  cr_expect(IsTaken("HTTP/1.1 503 Busy\r\n" + kFields));
  for (const char* status : {"000", "099", "600"}) {
    cr_expect_not(
        IsTaken("HTTP/1.1 " + std::string(status) + " X\r\n" + kFields),
        "status %s", status);
  }
}

// Guards against a rate limit or a load that is overlooked, since a spoilt name
// joined its line to the field before it.
Test(health_checker, reply_with_a_folded_line_is_not_taken) {
  for (const char* start : {" ", "\t"}) {
    cr_expect_not(IsTaken("HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\n" +
                          std::string(start) +
                          "Server-Limit: 2\r\nContent-Length: 0\r\n\r\n"));
  }
}
