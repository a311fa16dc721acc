#include <criterion/criterion.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include "link/client.h"
#include "link/messages.h"
#include "link/server.h"

using namespace yuccamast;  // NOLINT

namespace {

/// A client and a server end connected over loopback, on one io_context. What
/// their hooks report is collected in the members.
struct ConnectedPair {
  explicit ConnectedPair(const LinkOptions& link = {}) : options(link) {
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    tcp::socket client_socket(io);
    client_socket.connect(acceptor.local_endpoint());
    LinkServerHooks hooks;
    hooks.on_message = [this](LinkPath, std::string bytes,
                              StreamResponder responder, std::uint64_t key) {
      received.push_back(std::move(bytes));
      keys.push_back(key);
      responders.push_back(responder);
    };
    hooks.on_cancelled = [this](std::uint64_t key) { cancelled = key; };
    server = std::make_shared<LinkServer>(acceptor.accept(), options, 1,
                                          std::move(hooks));
    server->Run();
    client = std::make_shared<LinkClient>(std::move(client_socket), options);
    client->Run([this] { ++state_changes; });
  }
  ~ConnectedPair() {
    client->Close();
    server->Close();
    io.run_for(std::chrono::milliseconds(10));
  }

  std::int32_t Send(std::string bytes) {
    return client->Send(LinkPath::kCall, std::move(bytes),
                        [this](StreamOutcome outcome, std::string answer) {
                          outcomes.push_back(outcome);
                          answers.push_back(std::move(answer));
                        });
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const TimePoint until = Clock::now() + std::chrono::seconds(10);
    while (!condition() && Clock::now() < until) {
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
  }

  LinkOptions options;
  asio::io_context io{1};
  std::shared_ptr<LinkServer> server;
  std::shared_ptr<LinkClient> client;
  std::vector<std::string> received;
  std::vector<std::uint64_t> keys;
  std::vector<StreamResponder> responders;
  std::vector<StreamOutcome> outcomes;
  std::vector<std::string> answers;
  std::uint64_t cancelled = 0;
  int state_changes = 0;
};

}  // namespace

Test(link, transfers_large_messages_both_ways_on_concurrent_streams) {
  ConnectedPair pair;
  const std::string large(4U << 20U, 'x');
  pair.Send(large);
  pair.Send("small");
  cr_assert(pair.RunUntil([&] { return pair.received.size() == 2; }));
  pair.responders[0].Answer(large);
  pair.responders[1].Answer("b");
  cr_assert(pair.RunUntil([&] { return pair.answers.size() == 2; }));
  cr_expect(pair.outcomes[0] == StreamOutcome::kAnswered);
  cr_expect_eq(pair.answers[0].size() + pair.answers[1].size(),
               large.size() + 1);
}

// The entry relies on this to offer the call to another exit without the risk
// of a second run.
Test(link, refused_stream_is_reported_as_not_processed) {
  ConnectedPair pair;
  pair.Send("x");
  cr_assert(pair.RunUntil([&] { return pair.responders.size() == 1; }));
  pair.responders[0].Refuse();
  cr_assert(pair.RunUntil([&] { return pair.outcomes.size() == 1; }));
  cr_expect(pair.outcomes[0] == StreamOutcome::kNotProcessed);
}

// Guards against a second run: the peer received the message and may have
// processed it before the connection was lost.
Test(link, lost_connection_after_sending_means_unknown_outcome) {
  ConnectedPair pair;
  pair.Send("x");
  cr_assert(pair.RunUntil([&] { return pair.responders.size() == 1; }));
  pair.server->Close();
  cr_assert(pair.RunUntil([&] { return pair.outcomes.size() == 1; }));
  cr_expect(pair.outcomes[0] == StreamOutcome::kLost);
}

// The server end resets the stream before its owner has seen the message.
Test(link, oversize_message_is_reported_as_not_processed) {
  LinkOptions options;
  options.max_message_bytes = 1000;
  ConnectedPair pair(options);
  pair.Send(std::string(5000, 'x'));
  cr_assert(pair.RunUntil([&] { return pair.outcomes.size() == 1; }));
  cr_expect(pair.outcomes[0] == StreamOutcome::kNotProcessed);
  cr_expect(pair.received.empty());
}

// The client resets a stream whose answer is too large. The message was
// processed by then, so kNotProcessed would be wrong.
Test(link, oversize_answer_means_unknown_outcome) {
  LinkOptions options;
  options.max_message_bytes = 1000;
  ConnectedPair pair(options);
  pair.Send("x");
  cr_assert(pair.RunUntil([&] { return pair.responders.size() == 1; }));
  pair.responders[0].Answer(std::string(5000, 'y'));
  cr_assert(pair.RunUntil([&] { return pair.outcomes.size() == 1; }));
  cr_expect(pair.outcomes[0] == StreamOutcome::kLost);
}

// A stopping exit sends GOAWAY while a message is on its way. The message must
// be reported as not processed, and earlier streams must still be answered.
Test(link, streams_after_goaway_are_reported_as_not_processed) {
  ConnectedPair pair;
  pair.Send("first");
  cr_assert(pair.RunUntil([&] { return pair.responders.size() == 1; }));
  pair.server->BeginGracefulShutdown();
  pair.Send("late");
  cr_assert(pair.RunUntil([&] { return pair.outcomes.size() == 1; }));
  cr_expect(pair.outcomes[0] == StreamOutcome::kNotProcessed);
  pair.responders[0].Answer("whole");
  cr_assert(pair.RunUntil([&] { return pair.outcomes.size() == 2; }));
  cr_expect(pair.outcomes[1] == StreamOutcome::kAnswered);
  cr_expect_eq(pair.received.size(), 1U);
}

// The message was sent completely, so `Cancel` must not return the proof that
// it will not be processed.
Test(link, cancel_notifies_the_server_and_drops_the_answer) {
  ConnectedPair pair;
  const std::int32_t id = pair.Send("x");
  cr_assert(pair.RunUntil([&] { return pair.responders.size() == 1; }));
  cr_expect_not(pair.client->Cancel(id));
  cr_assert(pair.RunUntil([&] { return pair.cancelled != 0; }));
  cr_expect_eq(pair.cancelled, pair.keys[0]);
  pair.responders[0].Answer("late");
  pair.io.run_for(std::chrono::milliseconds(20));
  cr_expect(pair.outcomes.empty());
}

// The message exceeds the flow control window, so part of it is still unsent.
Test(link, cancel_of_an_unsent_message_proves_it_not_processed) {
  ConnectedPair pair;
  const std::int32_t id = pair.Send(std::string(8U << 20U, 'x'));
  cr_expect(pair.client->Cancel(id));
  pair.io.run_for(std::chrono::milliseconds(50));
  cr_expect(pair.received.empty());
}

// The peer accepts the connection but never reads or writes.
Test(link, unresponsive_peer_makes_connection_suspect_then_closed) {
  LinkOptions options;
  options.ping_busy = std::chrono::milliseconds(10);
  options.silence_floor = std::chrono::milliseconds(30);
  options.dead_after = std::chrono::milliseconds(200);
  asio::io_context io(1);
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket client_socket(io);
  client_socket.connect(acceptor.local_endpoint());
  const tcp::socket silent_peer = acceptor.accept();
  auto client = std::make_shared<LinkClient>(std::move(client_socket), options);
  bool suspect = false;
  client->Run([&] { suspect = suspect || client->suspect(); });
  std::vector<StreamOutcome> outcomes;
  client->Send(LinkPath::kCall, "x",
               [&](StreamOutcome outcome, const std::string&) {
                 outcomes.push_back(outcome);
               });
  const TimePoint until = Clock::now() + std::chrono::seconds(10);
  while (outcomes.empty() && Clock::now() < until) {
    io.run_one_for(std::chrono::milliseconds(10));
  }
  cr_expect(suspect);
  cr_assert_eq(outcomes.size(), 1U);
  cr_expect(outcomes[0] == StreamOutcome::kLost);
  cr_expect(client->closed());
}

Test(messages, unpack_rejects_truncated_trailing_and_mistyped_data) {
  OfferMessage offer;
  offer.call_id = "c";
  offer.body = std::string("\0\xff", 2);
  const std::string bytes = Pack(offer);
  cr_expect_eq(Unpack<OfferMessage>(bytes)->body, offer.body);
  cr_expect_not(Unpack<OfferMessage>(bytes + "x").has_value());
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    cr_assert_not(Unpack<OfferMessage>(bytes.substr(0, cut)).has_value());
  }
  cr_expect_not(Unpack<OfferMessage>(Pack(std::string("x"))).has_value());
}

// Load pattern: hundreds of links to peers that are rarely called. Guards
// against a cost at rest that grows with the fleet: a link without streams
// sends nothing for seconds.
Test(link, idle_link_sends_nothing_for_seconds) {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket socket(io);
  socket.connect(acceptor.local_endpoint());
  tcp::socket peer = acceptor.accept();
  const auto client =
      std::make_shared<LinkClient>(std::move(socket), LinkOptions());
  client->Run([] {});
  io.run_for(std::chrono::milliseconds(100));
  const std::size_t greeting = peer.available();
  cr_expect_gt(greeting, 0U);
  io.run_for(std::chrono::seconds(5));
  cr_expect_eq(peer.available(), greeting);
  client->Close();
  io.run_for(std::chrono::milliseconds(10));
}

// Guards against a call that waits for the next check of an idle link before it
// is known that the peer is silent.
Test(link, silent_peer_is_suspect_soon_after_a_call_on_an_idle_link) {
  LinkOptions options;
  options.ping_idle = std::chrono::seconds(60);
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket socket(io);
  socket.connect(acceptor.local_endpoint());
  const tcp::socket peer = acceptor.accept();
  const auto client = std::make_shared<LinkClient>(std::move(socket), options);
  client->Run([] {});
  io.run_for(std::chrono::milliseconds(100));
  client->Send(LinkPath::kCall, "x", [](StreamOutcome, const std::string&) {});
  io.run_for(4 * options.silence_floor);
  cr_expect(client->suspect());
  client->Close();
  io.run_for(std::chrono::milliseconds(10));
}

// Guards against an entry that takes answers of many slow calls beyond its
// memory: the answer waits at the exit, and short ones pass.
Test(link, an_answer_waits_until_there_is_room) {
  MemoryBudget budget(1U << 20U);
  LinkOptions options;
  options.budget = &budget;
  ConnectedPair pair(options);
  pair.Send("long");
  pair.Send("short");
  cr_assert(pair.RunUntil([&] { return pair.responders.size() == 2; }));
  MemoryReservation other(budget, MemoryUse::kWritten);
  other.SetTo(1U << 20U, MemoryUse::kWritten);
  pair.responders[0].Answer(std::string(300'000, 'x'));
  pair.responders[1].Answer("b");
  cr_assert(pair.RunUntil([&] { return pair.answers.size() == 1; }));
  cr_expect_eq(pair.answers[0], "b");
  pair.io.run_for(std::chrono::milliseconds(50));
  cr_expect_eq(pair.answers.size(), 1U);
  other.Reset();
  cr_assert(pair.RunUntil([&] { return pair.answers.size() == 2; }));
  cr_expect_eq(pair.answers[1].size(), 300'000U);
  cr_expect(pair.RunUntil([&] { return budget.used() == 0; }));
}

// Guards against a crowd of long offers to one exit. The proof that they did
// not run lets the entry offer them elsewhere.
Test(link, an_offer_without_room_is_not_processed) {
  MemoryBudget budget(1U << 20U);
  LinkOptions options;
  options.budget = &budget;
  ConnectedPair pair(options);
  pair.Send(std::string(900'000, 'x'));
  cr_assert(pair.RunUntil([&] { return pair.outcomes.size() == 1; }));
  cr_expect(pair.outcomes[0] == StreamOutcome::kNotProcessed);
  cr_expect(pair.received.empty());
  pair.Send("short");
  cr_expect(pair.RunUntil([&] { return pair.received.size() == 1; }));
}

namespace {

/// Moves up to 16 KB every 2 ms from one socket to the other, by `read_some`
/// into a small receive buffer, as a link of a few MB a second.
struct SlowPump {
  SlowPump(asio::io_context& io, tcp::socket& from, tcp::socket& to)
      : m_timer(io), m_from(from), m_to(to) {
    Step();
  }
  void Step() {
    boost::system::error_code error;
    std::array<char, 16'384> buffer{};
    if (m_from.available(error) > 0) {
      const std::size_t size = m_from.read_some(asio::buffer(buffer), error);
      asio::write(m_to, asio::buffer(buffer, size), error);
      moved += size;
    }
    m_timer.expires_after(std::chrono::milliseconds(2));
    m_timer.async_wait([this](const boost::system::error_code& failure) {
      if (!failure) {
        Step();
      }
    });
  }
  std::size_t moved = 0;
  asio::steady_timer m_timer;
  tcp::socket& m_from;
  tcp::socket& m_to;
};

}  // namespace

// Guards against a download that holds up the short answers behind it on a slow
// link: what the kernel was given can't be overtaken.
Test(link, a_short_answer_passes_a_download_on_a_slow_link) {
  asio::io_context io{1};
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket outer(io);
  outer.open(tcp::v4());
  outer.set_option(tcp::socket::receive_buffer_size(16'384));
  outer.connect(acceptor.local_endpoint());
  tcp::socket server_socket = acceptor.accept();
  server_socket.set_option(tcp::socket::send_buffer_size(1 << 20));
  tcp::socket client_socket(io);
  client_socket.connect(acceptor.local_endpoint());
  tcp::socket inner = acceptor.accept();
  std::vector<StreamResponder> responders;
  std::vector<std::size_t> answers;
  LinkServerHooks hooks;
  hooks.on_message = [&](LinkPath, const std::string&,
                         const StreamResponder& responder,
                         std::uint64_t) { responders.push_back(responder); };
  hooks.on_cancelled = [](std::uint64_t) {};
  const LinkOptions options;
  auto server = std::make_shared<LinkServer>(std::move(server_socket), options,
                                             1, std::move(hooks));
  server->Run();
  auto client = std::make_shared<LinkClient>(std::move(client_socket), options);
  client->Run([] {});
  SlowPump down(io, outer, inner);
  SlowPump up(io, inner, outer);
  for (int i = 0; i < 2; ++i) {
    client->Send(LinkPath::kCall, "x",
                 [&](StreamOutcome, const std::string& answer) {
                   answers.push_back(answer.size());
                 });
  }
  const auto run_until = [&](const std::function<bool()>& condition) {
    const TimePoint until = Clock::now() + std::chrono::seconds(20);
    while (!condition() && Clock::now() < until) {
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
  };
  cr_assert(run_until([&] { return responders.size() == 2; }));
  responders[0].Answer(std::string(500'000, 'x'));
  cr_assert(run_until([&] { return down.moved > 100'000; }));
  responders[1].Answer("b");
  cr_assert(run_until([&] { return answers.size() == 2; }));
  cr_expect_eq(answers[0], 1U);
  cr_expect_eq(answers[1], 500'000U);
  client->Close();
  server->Close();
  down.m_timer.cancel();
  up.m_timer.cancel();
  io.run_for(std::chrono::milliseconds(20));
}
