// Case: the operator's change of a time-out that the pages allow makes every
// node refuse the whole configuration.
//
// Usage: case ROOT RECORD

#include "../support-2/kit.hpp"

using namespace kit;

namespace {

constexpr double kConfigApplyS = 2;  // Bound `config_apply`.
constexpr double kWatchedS = 15;     // Requests after the change.
const char* const kHost = "hulo84.example";

std::string WithIdleTimeout(std::string config, const std::string& value) {
  ReplaceAll(config, "\"idle_timeout\":\"15000ms\"",
             "\"idle_timeout\":\"" + value + "\"");
  return config;
}

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
  store.Put("op/config",
            Config(1,
                   {Route("r-pay", kHost, "/pay/", "unsafe", "ledger"),
                    Route("r-read", kHost, "/read/", "safe", "ledger")},
                   services));
  for (Node& node : nodes) {
    node.Start(d);
  }
  if (!started || !WaitReady(d, nodes, 15)) {
    return End(d, nodes, 2, "cannot run: the deployment does not start");
  }
  Sleep(4);

  // Version 5 moves /pay/ from ledger to bookings and adds /new/. With the
  // trouble it also sets `idle_timeout` to a quarter of an hour.
  const std::string next =
      Config(5,
             {Route("r-pay", kHost, "/pay/", "unsafe", "bookings"),
              Route("r-read", kHost, "/read/", "safe", "ledger"),
              Route("r-new", kHost, "/new/", "safe", "bookings")},
             services);
  store.Put("op/config",
            HasTrouble() ? WithIdleTimeout(next, "900s") : next);
  const double acknowledged = Now();
  Note("version 5 is acknowledged");

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
                    is_pay ? "/pay/a" : "/new/a", id, 1500);
        const std::string by = seen.body.substr(0, seen.body.find(' '));
        Note("%s %s on %s: status %d by %s", id.c_str(),
             is_pay ? "/pay/" : "/new/", node.ip.c_str(), seen.status,
             seen.status == 200 ? by.c_str() : "-");
        if (at <= acknowledged + kConfigApplyS) {
          continue;
        }
        ++judged;
        run_by_old += seen.status == 200 && by == "ledger" ? 1 : 0;
        refused_404 += seen.status == 404 ? 1 : 0;
        served += seen.status == 200 && by == "bookings" ? 1 : 0;
      }
    }
    Sleep(0.2);
  }
  char verdict[300];
  std::snprintf(verdict, sizeof(verdict),
                "of %d requests sent later than config_apply after the "
                "acknowledgement: %d run by the old service, %d refused with "
                "404 though the route is there, %d served as version 5 says",
                judged, run_by_old, refused_404, served);
  if (judged == 0 || run_by_old + refused_404 + served == 0) {
    return End(d, nodes, 2, std::string("cannot run: ") + verdict);
  }
  const bool is_broken = run_by_old + refused_404 > 0;
  return End(d, nodes, is_broken ? 1 : 0,
             std::string(is_broken ? "BROKEN " : "held ") + verdict);
}
