#include "link/client.h"
#include "node/exit_calls.h"
#include "node/fleet_view.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <map>
#include <random>
#include <set>

using namespace yuccamast;  // NOLINT

namespace {

const std::string kConfig =
    R"({"services": {"ledger": {"queue_limit_ms": 9000}, "rounds": {}}})";

std::shared_ptr<const Configuration> MakeConfig() {
  auto merged = MergeConfiguration({{"10.json", kConfig}}, 1);
  cr_assert(static_cast<bool>(merged));
  return std::make_shared<const Configuration>(std::move(merged.value()));
}

VmRecord Vm(const std::string& ip,
            const std::string& data_centre,
            const std::string& service,
            std::uint16_t port = 80) {
  VmRecord vm{ip, ip, 7000, data_centre, "r1", false, {}};
  vm.upstreams = {{"i-" + ip, service, port, 1, false, {}}};
  return vm;
}

/// A view of the node on 10.0.0.1 in dc1. The service ledger has an upstream in
/// each of dc1 and dc2, rounds only one in dc2.
struct ViewFixture {
  explicit ViewFixture(std::uint16_t port = 80)
      : vms{Vm("10.0.0.1", "dc1", "ledger", port),
            Vm("10.0.0.2", "dc2", "ledger"), Vm("10.0.0.3", "dc2", "rounds")} {
    settings.vm = "10.0.0.1";
    settings.data_centre = "dc1";
    settings.region = "r1";
    settings.upstreams_listed = true;
    settings.upstream_ip = "127.0.0.1";
    settings.upstream_port = port;
    store.SetConfig(MakeConfig());
    Evacuate({});
  }

  void Evacuate(std::vector<std::string> names) {
    store.SetVms(
        std::make_shared<const VmList>(VmList{1, vms, std::move(names)}));
  }

  const ServiceView& Service(const std::string& name) {
    view = store.Load();
    return view->services.at(name);
  }

  /// The VMs that a number of choices select.
  std::set<std::string> Chosen(const std::string& name) {
    const ServiceView& service = Service(name);
    std::set<std::string> chosen;
    ChoiceContext context;
    context.now = Clock::now();
    for (int i = 0; i < 200; ++i) {
      const auto member = Choose(PolicyKind::kRandom, service.candidates, {},
                                 context, [this] { return random(); });
      if (member) {
        chosen.insert(service.members[*member].vm);
      }
    }
    return chosen;
  }

  NodeSettings settings;
  std::vector<VmRecord> vms;
  FleetViewStore store{settings};
  std::shared_ptr<const FleetView> view;
  std::mt19937_64 random{7};
};

using Vms = std::set<std::string>;

}  // namespace

// Load: a data centre is emptied while calls arrive, and an upstream joins it
// meanwhile. No call and no load query goes there; the other carries it.
Test(evacuation, no_call_is_sent_to_an_emptied_data_centre) {
  ViewFixture fixture;
  cr_expect_eq(fixture.Chosen("ledger"), (Vms{"10.0.0.1", "10.0.0.2"}));
  fixture.vms.push_back(Vm("10.0.0.4", "dc1", "ledger"));
  fixture.Evacuate({"dc1"});
  cr_expect_eq(fixture.Chosen("ledger"), Vms{"10.0.0.2"});
  for (const auto& candidate : fixture.Service("ledger").candidates) {
    cr_expect_eq(candidate.state->IsUsable(Clock::now()),
                 !candidate.state->IsEvacuated());
  }
  cr_expect_not(fixture.Service("ledger").evacuated);
  cr_expect(fixture.view->evacuated);
  fixture.Evacuate({"nowhere"});
  cr_expect_eq(fixture.Chosen("ledger").size(), 3U);
  cr_expect_not(fixture.view->evacuated);
}

// Guards against a service that is refused as emptied, since this node hears
// nothing of the members elsewhere: more likely it is cut off from them.
Test(evacuation, silent_members_elsewhere_are_still_tried) {
  ViewFixture fixture;
  fixture.Evacuate({"dc1"});
  LivenessMap liveness;
  liveness["10.0.0.2"].gone = true;
  fixture.store.SetLiveness(std::make_shared<const LivenessMap>(liveness));
  cr_expect_not(fixture.Service("ledger").evacuated);
  cr_expect_eq(fixture.Chosen("ledger"), Vms{"10.0.0.2"});
}

// Load: the last data centre of a service is emptied. Its calls are refused at
// once, until an upstream joins elsewhere; those of other services are not.
Test(evacuation, service_without_another_data_centre_is_refused) {
  ViewFixture fixture;
  fixture.Evacuate({"dc2"});
  cr_expect(fixture.Service("rounds").evacuated);
  cr_expect_not(fixture.Service("ledger").evacuated);
  cr_expect_eq(fixture.Chosen("rounds"), Vms{});
  fixture.vms.push_back(Vm("10.0.0.4", "dc3", "rounds"));
  fixture.Evacuate({"dc2"});
  cr_expect_not(fixture.Service("rounds").evacuated);
  cr_expect_eq(fixture.Chosen("rounds"), Vms{"10.0.0.4"});
}

// Load: a queue waits behind a running call when the data centre is emptied.
// The queued call is refused with proof and can move; so is a new offer of an
// entry that has not heard of it. The running call is not touched, and offers
// are admitted again after the return.
Test(evacuation, exit_refuses_queued_and_new_calls_and_lets_running_ones_end) {
  asio::io_context io{1};
  // Accepts connections and reads nothing, so the running call goes on.
  tcp::acceptor upstream(io, {asio::ip::address_v4::loopback(), 0});
  ViewFixture fixture(upstream.local_endpoint().port());
  Metrics metrics;
  MemoryBudget budget(1U << 20U);
  ExitCalls exit(io, fixture.settings, fixture.store, metrics, budget, 1);
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket socket(io);
  socket.connect(acceptor.local_endpoint());
  LinkServerHooks hooks;
  hooks.on_message = [&](LinkPath, const std::string& bytes,
                         const StreamResponder& responder, std::uint64_t key) {
    exit.Offer(bytes, responder, key);
  };
  hooks.on_cancelled = [](std::uint64_t) {};
  const LinkOptions options;
  const auto server = std::make_shared<LinkServer>(acceptor.accept(), options,
                                                   1, std::move(hooks));
  server->Run();
  const auto client = std::make_shared<LinkClient>(std::move(socket), options);
  client->Run([] {});
  std::map<std::string, AnswerMessage> answers;
  std::uint64_t sequence = 0;
  const auto offer = [&](const std::string& id) {
    OfferMessage message;
    message.origin = {"10.0.0.2", 1, ++sequence};
    message.call_id = id;
    message.upstream = "i-10.0.0.1";
    message.remaining_us = 10'000'000;
    message.method = "GET";
    message.target = "/";
    client->Send(
        LinkPath::kCall, Pack(message),
        [&answers, id](StreamOutcome outcome, const std::string& bytes) {
          if (outcome == StreamOutcome::kAnswered) {
            answers[id] = Unpack<AnswerMessage>(bytes).value();
          }
        });
    io.run_for(std::chrono::milliseconds(100));
  };
  offer("running");
  offer("queued");
  cr_expect(answers.empty());
  cr_expect_eq(exit.MakeReport().queued, 1U);
  fixture.Evacuate({"dc1"});
  offer("new");
  for (const char* id : {"queued", "new"}) {
    cr_assert(answers.contains(id), "%s", id);
    cr_expect(answers[id].refused);
    cr_expect_eq(answers[id].reason,
                 static_cast<std::uint8_t>(RefusalReason::kEvacuated));
  }
  cr_expect_not(answers.contains("running"));
  cr_expect(exit.MakeReport().leaving);
  cr_expect_not(exit.leaving(), "the entry goes on");
  fixture.Evacuate({});
  offer("returned");
  cr_expect_eq(exit.MakeReport().running + exit.MakeReport().queued, 2U);
  cr_expect_not(exit.MakeReport().leaving);
  client->Close();
  server->Close();
  io.run_for(std::chrono::milliseconds(10));
}
