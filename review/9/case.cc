// Case: in a drill the platform's store is away for a moment and comes back
// from a copy some seconds old; a version of the configuration that the store
// acknowledges just after that is never put in force.
//
// Usage: case ROOT RECORD

#include "../support-2/kit.hpp"

using namespace kit;

namespace {

constexpr double kConfigApplyS = 2;  // Bound `config_apply`.
constexpr double kStretchS = 5;      // Bound `stretch_max`.
constexpr double kContactS = 3;      // Bound `contact`.
constexpr double kCopyAgeS = 3;      // "some seconds old"
constexpr double kAwayS = 1;         // "away for a moment"
constexpr double kWriteGapS = 0.15;  // The operator's writes after its return.
constexpr double kWatchedS = 18;
const char* const kHost = "hulo84.example";

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  g_record = std::fopen(argv[2], "w");
  Deployment d = MakeDeployment(argv[1]);
  std::vector<Node> nodes;
  Store store;
  std::vector<std::unique_ptr<Backend>> backends;
  bool started = g_record != nullptr && store.Start(d.store_ip, d.store_port);
  for (int i = 0; i < 4; ++i) {
    auto backend = std::make_unique<Backend>();
    backend->id = "i-" + std::to_string(i);
    backend->service = i < 2 ? "ledger" : "bookings";
    backend->ip = d.net + "." + std::to_string(11 + i);
    started = started && backend->Start();
    Node node;
    node.ip = backend->ip;
    node.zone = i % 2 == 1 ? "mn-central-b" : "mn-central-a";
    node.service = backend->service;
    node.app = node.ip + ":8301";
    started = started && node.WriteSettings(d);
    store.Put("servers/" + backend->id, backend->Entry(node.zone));
    nodes.push_back(node);
    backends.push_back(std::move(backend));
  }
  const std::vector<std::string> services = {"ledger", "bookings"};
  const std::string pay_old = Route("r-pay", kHost, "/pay/", "unsafe",
                                    "ledger");
  const std::string pay_new = Route("r-pay", kHost, "/pay/", "unsafe",
                                    "bookings");
  const std::string one = Route("r-one", kHost, "/one/", "safe", "ledger");
  const std::string two = Route("r-two", kHost, "/two/", "safe", "ledger");
  const std::string three = Route("r-three", kHost, "/three/", "safe",
                                  "bookings");
  store.Put("op/config", Config(1, {pay_old}, services));
  for (Node& node : nodes) {
    node.Start(d);
  }
  if (!started || !WaitReady(d, nodes, 15)) {
    return End(d, nodes, 2, "cannot run: the deployment does not start");
  }
  Sleep(5);

  // Two ordinary changes, one second apart. The copy is from before them.
  const Store::Copy copy = store.TakeCopy();
  Note("the copy is from revision %ld", copy.revision);
  const double copied = Now();
  Sleep(0.5);
  store.Put("op/config", Config(3, {pay_old, one}, services));
  Sleep(0.7);
  store.Put("op/config", Config(5, {pay_old, one, two}, services));
  Note("versions 3 and 5 are acknowledged, revision %ld", store.revision());
  SleepUntil(copied + kCopyAgeS - kAwayS);

  const double away = Now();
  if (HasTrouble()) {
    store.GoAway();
    Note("the store is away");
    SleepUntil(away + kAwayS);
    store.ComeBack(&copy);
    Note("the store is back from the copy, revision %ld", store.revision());
    // The operator writes version 5 again, then the next one.
    Sleep(kWriteGapS);
    store.Put("op/config", Config(5, {pay_old, one, two}, services));
    Note("version 5 is acknowledged again, revision %ld", store.revision());
    Sleep(kWriteGapS);
  } else {
    SleepUntil(away + kAwayS);
  }
  store.Put("op/config", Config(8, {pay_new, one, two, three}, services));
  const double acknowledged = Now();
  Note("version 8 is acknowledged, revision %ld", store.revision());

  // Judged from when the core is stable again and all bounds are over.
  const double judged_from =
      acknowledged + std::max(kContactS, kConfigApplyS + kStretchS);
  int judged = 0;
  int run_by_old = 0;
  int refused_404 = 0;
  int served = 0;
  while (Now() < acknowledged + kWatchedS) {
    for (const Node& node : nodes) {
      for (const bool is_pay : {true, false}) {
        const double at = Now();
        const std::string id = NewId();
        const Seen seen =
            AskOnce(node.ip, d.outbound, is_pay ? "POST" : "GET", kHost,
                    is_pay ? "/pay/a" : "/three/a", id, 1500);
        const std::string by = seen.body.substr(0, seen.body.find(' '));
        Note("%s %s on %s: status %d by %s", id.c_str(),
             is_pay ? "/pay/" : "/three/", node.ip.c_str(), seen.status,
             seen.status == 200 ? by.c_str() : "-");
        if (at <= judged_from) {
          continue;
        }
        ++judged;
        run_by_old += is_pay && seen.status == 200 && by == "ledger" ? 1 : 0;
        refused_404 += seen.status == 404 ? 1 : 0;
        served += seen.status == 200 && by == "bookings" ? 1 : 0;
      }
    }
    Sleep(0.2);
  }
  char verdict[300];
  std::snprintf(verdict, sizeof(verdict),
                "of %d requests sent more than %.0f s after the "
                "acknowledgement: %d run by the old service, %d refused with "
                "404 though the route is there, %d served as version 8 says",
                judged, judged_from - acknowledged, run_by_old, refused_404,
                served);
  if (judged == 0 || run_by_old + refused_404 + served == 0) {
    return End(d, nodes, 2, std::string("cannot run: ") + verdict);
  }
  const bool is_broken = run_by_old + refused_404 > 0;
  return End(d, nodes, is_broken ? 1 : 0,
             std::string(is_broken ? "BROKEN " : "held ") + verdict);
}
