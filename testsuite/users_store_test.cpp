#include <criterion/criterion.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <csignal>
#include <functional>
#include <thread>

#include "platform/store_stand_in.h"
#include "support/local_fleet.h"
#include "support/raw_http.h"

/// System tests of a node that reads the store of the users' platform.

using namespace yuccamast;            // NOLINT
using namespace yuccamast::platform;  // NOLINT
using namespace yuccamast::testing;   // NOLINT
using boost::asio::ip::tcp;

namespace {

/// A stand-in of an upstream that answers requests without a body as the users'
/// upstreams do. Not thread-safe, except for `calls`.
class UpstreamStandIn {
 public:
  explicit UpstreamStandIn(boost::asio::io_context& io,
                           std::string ip = "127.0.0.1",
                           std::string name = "i-1")
      : m_ip(std::move(ip)),
        m_name(std::move(name)),
        m_acceptor(io, tcp::endpoint(boost::asio::ip::make_address(m_ip), 0)) {
    Accept();
  }

  std::string address() const {
    return m_ip + ":" + std::to_string(m_acceptor.local_endpoint().port());
  }

  /// Number of calls received, without those of the health page.
  int calls() const { return m_calls; }

 private:
  void Accept() {
    m_acceptor.async_accept([this](const auto& error, tcp::socket socket) {
      if (!error) {
        Read(std::make_shared<tcp::socket>(std::move(socket)));
        Accept();
      }
    });
  }

  void Read(const std::shared_ptr<tcp::socket>& socket) {
    const auto head = std::make_shared<std::string>();
    boost::asio::async_read_until(
        *socket, boost::asio::dynamic_buffer(*head), "\r\n\r\n",
        [this, socket, head](const auto& error, std::size_t) {
          if (error) {
            return;
          }
          m_calls += head->starts_with("GET /a/") ? 1 : 0;
          const std::string name = "\r\nRequest-Id: ";
          const std::size_t at = head->find(name);
          const std::string id =
              at == std::string::npos
                  ? ""
                  : head->substr(at, head->find("\r\n", at + 2) - at);
          const std::string reply =
              "HTTP/1.1 200 OK\r\nInstance-Id: " + m_name +
              "\r\nResponse-Seal: s" + id + "\r\nContent-Length: 4\r\n\r\nbody";
          boost::system::error_code ignored;
          boost::asio::write(*socket, boost::asio::buffer(reply), ignored);
          Read(socket);
        });
  }

  const std::string m_ip;
  const std::string m_name;
  std::atomic<int> m_calls{0};
  tcp::acceptor m_acceptor;
};

/// The value of a registration.
std::string Registration(const std::string& address,
                         const std::string& service = "ledger",
                         const std::string& zone = "dc1") {
  return R"({"address": ")" + address + R"(", "info": {"service": ")" +
         service + R"(", "zone": ")" + zone + R"(", "slots": 9},
         "status": {"state": "ready", "seq": 1}})";
}

/// The operator's configuration of that version: one route, with `prefix`.
std::string Config(int version, const std::string& prefix = "/a/") {
  return R"({"version": )" + std::to_string(version) +
         R"(, "routes": [{"name": "r-1", "host": "t", "prefix": ")" + prefix +
         R"(", "route_type": "safe", "timeout": "2s", "service": "ledger"}],
  "services": [{"name": "ledger", "health_path": "/h"},
               {"name": "rounds", "health_path": "/h"}]})";
}

const std::string kConfig = Config(7);

ReceivedReply CallToNode(LocalFleet& fleet, const std::string& path = "/a/x") {
  return SendRequest(fleet.vm(0).caller_port, "GET", path, "",
                     "Request-Id: id-1\r\n");
}

unsigned CallStatus(LocalFleet& fleet, const std::string& path = "/a/x") {
  return CallToNode(fleet, path).status;
}

/// A fleet of the node beside `upstream`, at the IP address `ip`.
FleetSpec NodeSpec(const StoreStandIn& store,
                   const UpstreamStandIn& upstream,
                   const std::string& ip,
                   const std::string& data_centre) {
  FleetSpec spec;
  spec.vms.push_back({ip, "", "", data_centre});
  spec.settings = {
      {"ip", ip},
      {"upstream",
       JsonValue::Object{{"listed", true}, {"address", upstream.address()}}},
      {"adapter", JsonValue::Object{{"store", store.address()},
                                    {"zones", JsonValue::Object{{"dc1", "r1"},
                                                                {"dc2", "r1"}}},
                                    {"bounds", JsonValue::Object{}}}}};
  return spec;
}

/// A change of the store.
using StoreChange = std::function<void(StoreStandIn&)>;

/// A node beside the upstream `i-1`, and a store that can be restored.
class RestoredStore {
 public:
  RestoredStore()
      : m_upstream(m_io),
        m_store(m_io,
                {{"op/config", {kConfig}},
                 {"servers/i-1", {Registration(m_upstream.address())}}}),
        m_thread([this] { m_io.run(); }),
        m_fleet(NodeSpec(m_store, m_upstream, "127.0.0.1", "dc1")) {}
  ~RestoredStore() { m_io.stop(); }

  LocalFleet& fleet() { return m_fleet; }
  /// Number of calls that the upstream received.
  int calls() const { return m_upstream.calls(); }

  void Change(const StoreChange& change) {
    boost::asio::post(m_io, [this, change] { change(m_store); });
  }

  /// Makes the changes `lost`, which the node reads, then lets the store be
  /// silent for a second and come back from a copy without them. The changes
  /// `after` are made before the node reads again.
  void Restore(const StoreChange& lost, const StoreChange& after) {
    Change([this, lost](StoreStandIn& store) {
      m_copy = store.TakeCopy();
      lost(store);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    Change([](StoreStandIn& store) { store.GoAway(); });
    std::this_thread::sleep_for(std::chrono::seconds(1));
    Change([this, after](StoreStandIn& store) {
      store.ComeBack(m_copy);
      after(store);
    });
  }

 private:
  boost::asio::io_context m_io;
  const UpstreamStandIn m_upstream;
  StoreStandIn m_store;
  StoreStandIn::Copy m_copy;
  std::jthread m_thread;
  LocalFleet m_fleet;
};

}  // namespace

// Guards against a service that stops when all nodes are restarted while
// entries of another writer stand in the list of upstreams, under names that
// need encoding in a URL, and the list is longer than one page.
Test(users_store, restarted_node_serves_beside_odd_entries) {
  boost::asio::io_context io;
  const UpstreamStandIn upstream(io);
  StoredItems items = {
      {"op/config", {kConfig}},
      {"servers/i-1", {Registration(upstream.address())}},
      {"servers/i-2", {Registration("127.0.0.2:1", "rounds")}}};
  for (const char* name : {"&", "%", "+", "#", " ", "i-1&", "i-1%", "i-1%x",
                           "i-1+x", "i-1#x", "i-1 x", "i-1\n", "i-2&x"}) {
    items["servers/" + std::string(name)] = {Registration(upstream.address()),
                                             9};
  }
  const StoreStandIn store(io, std::move(items));
  std::jthread thread([&io] { io.run(); });

  LocalFleet fleet(NodeSpec(store, upstream, "127.0.0.1", "dc1"));
  for (int start = 1; start <= 2; ++start) {
    cr_expect(fleet.WaitUntilReady(), "start %d", start);
    cr_expect_eq(CallStatus(fleet), 200U, "start %d", start);
    fleet.vm(0).node->Signal(SIGKILL);
    fleet.StartNode(0);
  }
  io.stop();
}

// Guards against calls to a data centre that the operator has emptied: its own
// callers are served by the other one, also after a restart of the node there;
// with both emptied, calls are refused as not run; taken back, it gets calls.
Test(users_store, emptied_data_centre_gets_no_calls_until_it_is_taken_back) {
  constexpr std::chrono::seconds kBound{5};
  boost::asio::io_context io;
  const UpstreamStandIn near(io);
  const UpstreamStandIn far(io, "127.0.0.2", "i-2");
  StoreStandIn store(
      io, {{"op/config", {kConfig}},
           {"servers/i-1", {Registration(near.address())}},
           {"servers/i-2", {Registration(far.address(), "ledger", "dc2")}}});
  std::jthread thread([&io] { io.run(); });
  const auto change = [&](void (*make)(StoreStandIn&)) {
    boost::asio::post(io, [&store, make] { make(store); });
  };
  LocalFleet fleet(NodeSpec(store, near, "127.0.0.1", "dc1"));
  FleetSpec far_spec = NodeSpec(store, far, "127.0.0.2", "dc2");
  for (const char* key : {"inner_port", "advertised_port"}) {
    far_spec.settings.push_back({key, int{fleet.vm(0).inner_port}});
  }
  const LocalFleet far_fleet(far_spec);
  cr_assert(fleet.WaitUntilReady());
  // Whether of a few calls all are answered with `status` and `near` gets none.
  const auto spared = [&](unsigned status) {
    const int before = near.calls();
    bool same = true;
    for (int i = 0; i < 10; ++i) {
      same = CallStatus(fleet) == status && same;
    }
    return same && near.calls() == before;
  };
  const auto gets_calls = [&] {
    const int before = near.calls();
    return CallStatus(fleet) == 200 && near.calls() > before;
  };
  cr_assert(LocalFleet::WaitFor(gets_calls, kBound));

  change([](StoreStandIn& s) { s.Put("op/evacuate/dc1", "{}"); });
  cr_assert(LocalFleet::WaitFor([&] { return spared(200); }, kBound));
  cr_expect(spared(200));
  fleet.vm(0).node->Signal(SIGKILL);
  fleet.StartNode(0);
  const int before_restart = near.calls();
  cr_assert(fleet.WaitUntilReady());
  cr_expect(LocalFleet::WaitFor([&] { return spared(200); }, kBound));
  cr_expect_eq(near.calls(), before_restart);

  change([](StoreStandIn& s) { s.Put("op/evacuate/dc2", "{}"); });
  cr_expect(LocalFleet::WaitFor([&] { return spared(503); }, kBound));
  cr_expect_eq(CallToNode(fleet).Field("yuccamast-reason"), "evacuated");
  change([](StoreStandIn& s) {
    s.Delete("op/evacuate/dc2");
    s.Delete("op/evacuate/dc1");
  });
  cr_expect(LocalFleet::WaitFor(gets_calls, kBound));
  io.stop();
}

// Guards against a version of the configuration that is never in force, since
// the store was silent, came back from a copy and gave out the revision again
// up to which the node had read.
Test(users_store, version_written_after_a_restore_is_in_force) {
  RestoredStore drill;
  cr_assert(drill.fleet().WaitUntilReady());
  drill.Restore(
      [](StoreStandIn& store) {
        store.Put("op/config", Config(8));
        store.Put("op/config", Config(9));
      },
      [](StoreStandIn& store) {
        store.Put("op/config", Config(9));
        store.Put("op/config", Config(12, "/b/"));
      });
  cr_expect(LocalFleet::WaitFor(
      [&] { return CallStatus(drill.fleet(), "/b/x") == 200; },
      std::chrono::seconds(10)));
  cr_expect_eq(CallStatus(drill.fleet(), "/a/x"), 404U);
}

// Guards against an upstream that stays in use after its removal, since the
// lists of a restored store have lower revisions than the one in use.
Test(users_store, upstream_removed_after_a_restore_gets_no_calls) {
  RestoredStore drill;
  cr_assert(drill.fleet().WaitUntilReady());
  drill.Restore(
      [](StoreStandIn& store) {
        for (int i = 0; i < 10; ++i) {
          store.Put("servers/i-2", Registration("127.0.0.2:1", "rounds"));
        }
      },
      [](StoreStandIn&) {});
  std::this_thread::sleep_for(std::chrono::seconds(3));
  cr_expect_eq(CallStatus(drill.fleet()), 200U, "the restored entry is in use");
  drill.Change([](StoreStandIn& store) { store.Delete("servers/i-1"); });
  cr_expect(
      LocalFleet::WaitFor([&] { return CallStatus(drill.fleet()) == 503; },
                          std::chrono::seconds(10)));
  const int before = drill.calls();
  CallStatus(drill.fleet());
  cr_expect_eq(drill.calls(), before);
}
