#include <criterion/criterion.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include "link/client.h"
#include "link/messages.h"
#include "link/server.h"

using namespace yuccamast;  // NOLINT

namespace {

/// A client and a server end on loopback, driven by one io_context.
struct Pair {
  explicit Pair(const LinkOptions& link = {}) : options(link) {
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    tcp::socket near(io);
    near.connect(acceptor.local_endpoint());
    LinkServerHooks hooks;
    hooks.on_message = [this](LinkPath, std::string bytes,
                              StreamResponder reply, std::uint64_t key) {
      received.push_back(std::move(bytes));
      keys.push_back(key);
      replies.push_back(reply);
    };
    hooks.on_cancelled = [this](std::uint64_t key) { cancelled = key; };
    server = std::make_shared<LinkServer>(acceptor.accept(), options, 1,
                                          std::move(hooks));
    server->Run();
    client = std::make_shared<LinkClient>(std::move(near), options);
    client->Run([this] { ++changes; });
  }
  ~Pair() {
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
  std::vector<StreamResponder> replies;
  std::vector<StreamOutcome> outcomes;
  std::vector<std::string> answers;
  std::uint64_t cancelled = 0;
  int changes = 0;
};

}  // namespace

Test(link, large_messages_pass_both_ways_and_calls_interleave) {
  Pair pair;
  const std::string large(4U << 20U, 'x');
  pair.Send(large);
  pair.Send("small");
  cr_assert(pair.RunUntil([&] { return pair.received.size() == 2; }));
  pair.replies[0].Answer(large);
  pair.replies[1].Answer("b");
  cr_assert(pair.RunUntil([&] { return pair.answers.size() == 2; }));
  cr_expect(pair.outcomes[0] == StreamOutcome::kAnswered);
  cr_expect_eq(pair.answers[0].size() + pair.answers[1].size(),
               large.size() + 1);
}

Test(link, a_refused_stream_is_proof) {
  Pair pair;
  pair.Send("x");
  cr_assert(pair.RunUntil([&] { return pair.replies.size() == 1; }));
  pair.replies[0].Refuse();
  cr_assert(pair.RunUntil([&] { return pair.outcomes.size() == 1; }));
  cr_expect(pair.outcomes[0] == StreamOutcome::kNotProcessed);
}

Test(link, a_lost_connection_proves_nothing) {
  Pair pair;
  pair.Send("x");
  cr_assert(pair.RunUntil([&] { return pair.replies.size() == 1; }));
  pair.server->Close();
  cr_assert(pair.RunUntil([&] { return pair.outcomes.size() == 1; }));
  cr_expect(pair.outcomes[0] == StreamOutcome::kLost);
}

Test(link, an_oversize_message_is_refused_with_proof) {
  LinkOptions options;
  options.max_message_bytes = 1000;
  Pair pair(options);
  pair.Send(std::string(5000, 'x'));
  cr_assert(pair.RunUntil([&] { return pair.outcomes.size() == 1; }));
  cr_expect(pair.outcomes[0] == StreamOutcome::kNotProcessed);
  cr_expect(pair.received.empty());
}

Test(link, an_oversize_answer_is_not_taken_for_proof) {
  LinkOptions options;
  options.max_message_bytes = 1000;
  Pair pair(options);
  pair.Send("x");
  cr_assert(pair.RunUntil([&] { return pair.replies.size() == 1; }));
  pair.replies[0].Answer(std::string(5000, 'y'));
  cr_assert(pair.RunUntil([&] { return pair.outcomes.size() == 1; }));
  cr_expect(pair.outcomes[0] == StreamOutcome::kLost);
}

Test(link, termination_proves_later_streams_not_processed) {
  Pair pair;
  pair.Send("first");
  cr_assert(pair.RunUntil([&] { return pair.replies.size() == 1; }));
  pair.server->Terminate();
  pair.Send("late");
  cr_assert(pair.RunUntil([&] { return pair.outcomes.size() == 1; }));
  cr_expect(pair.outcomes[0] == StreamOutcome::kNotProcessed);
  pair.replies[0].Answer("whole");
  cr_assert(pair.RunUntil([&] { return pair.outcomes.size() == 2; }));
  cr_expect(pair.outcomes[1] == StreamOutcome::kAnswered);
  cr_expect_eq(pair.received.size(), 1U);
}

Test(link, cancel_reaches_the_server_and_silences_the_hook) {
  Pair pair;
  const std::int32_t id = pair.Send("x");
  cr_assert(pair.RunUntil([&] { return pair.replies.size() == 1; }));
  cr_expect_not(pair.client->Cancel(id));
  cr_assert(pair.RunUntil([&] { return pair.cancelled != 0; }));
  cr_expect_eq(pair.cancelled, pair.keys[0]);
  pair.replies[0].Answer("late");
  pair.io.run_for(std::chrono::milliseconds(20));
  cr_expect(pair.outcomes.empty());
}

Test(link, cancel_of_a_message_never_sent_is_proof) {
  Pair pair;
  const std::int32_t id = pair.Send(std::string(8U << 20U, 'x'));
  cr_expect(pair.client->Cancel(id));
  pair.io.run_for(std::chrono::milliseconds(50));
  cr_expect(pair.received.empty());
}

Test(link, a_silent_connection_turns_suspect_and_then_dies) {
  LinkOptions options;
  options.ping_busy = std::chrono::milliseconds(10);
  options.silence_floor = std::chrono::milliseconds(30);
  options.dead_after = std::chrono::milliseconds(200);
  asio::io_context io(1);
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket near(io);
  near.connect(acceptor.local_endpoint());
  const tcp::socket silent = acceptor.accept();
  auto client = std::make_shared<LinkClient>(std::move(near), options);
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

Test(messages, malformed_bytes_are_refused) {
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
