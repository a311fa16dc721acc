#include "http/upstream_pool.h"

#include <criterion/criterion.h>

#include <boost/asio/steady_timer.hpp>

#include "http/scripted_server.h"
#include "node/reply_sizes.h"

using namespace yuccamast;  // NOLINT

namespace {

/// Reads one reply of 2000 bytes while another holder has all of a budget of
/// 4000 bytes, and gives it back after `held_for`.
UpstreamResult ReadReply(const std::string& head,
                         const std::string& body,
                         std::chrono::milliseconds held_for) {
  boost::asio::io_context io;
  ScriptedServer server(io, {"HTTP/1.1 200 OK\r\n" + head + "\r\n" + body},
                        false);
  MemoryBudget budget(4000);
  MemoryReservation other(budget, MemoryUse::kWritten);
  other.SetTo(4000, MemoryUse::kWritten);
  boost::asio::steady_timer timer(io, held_for);
  timer.async_wait([&](const boost::system::error_code&) { other.Reset(); });
  UpstreamLimits limits;
  limits.room_wait = std::chrono::milliseconds(200);
  Metrics metrics;
  UpstreamPool pool(io, server.endpoint(), limits, DefaultDialect(), metrics,
                    budget);
  UpstreamResult result = RefusalReason::kCancelled;
  UpstreamHooks hooks;
  hooks.start = [] { return true; };
  hooks.reply_head = [] {};
  hooks.done = [&](UpstreamResult end) {
    result = std::move(end);
    io.stop();
  };
  UpstreamRequest request;
  request.method = "GET";
  request.target = "/";
  const auto run = pool.Run(std::move(request), std::move(hooks));
  io.run_for(std::chrono::seconds(5));
  return result;
}

const std::string kLength = "Content-Length: 2000\r\n";

}  // namespace

// Guards against a node that reads replies beyond its memory: reading waits for
// room, and the reply is whole.
Test(upstream_room, a_reply_waits_until_there_is_room) {
  const std::string body(2000, 'x');
  const auto result = ReadReply(kLength, body, std::chrono::milliseconds(50));
  const auto* reply = std::get_if<HttpReply>(&result);
  cr_assert(reply != nullptr);
  cr_expect(reply->body == body);
}

// Guards against a reply that is left unread until the upstream cuts it.
Test(upstream_room, a_reply_without_room_fails_in_time) {
  const auto result =
      ReadReply(kLength, std::string(2000, 'x'), std::chrono::seconds(4));
  cr_assert(std::holds_alternative<RefusalReason>(result));
  cr_expect(std::get<RefusalReason>(result) == RefusalReason::kReplyTooLarge);
}

// Guards against runs that are started in a row although their replies have no
// room: one long reply is remembered at once, and forgotten by degrees.
Test(upstream_room, the_next_reply_is_expected_to_be_as_long) {
  ReplySizes sizes;
  cr_expect_eq(sizes.Of("read"), 0U);
  sizes.AddSample("read", 100);
  sizes.AddSample("read", 2000);
  cr_expect_eq(sizes.Of("read"), 2000U);
  sizes.AddSample("read", 1000);
  cr_expect_eq(sizes.Of("read"), 1900U);
  cr_expect_eq(sizes.Of("order"), 0U);
}
