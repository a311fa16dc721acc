#include <criterion/criterion.h>

#include <csignal>
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
/// upstreams do. Not thread-safe.
class UpstreamStandIn {
 public:
  explicit UpstreamStandIn(boost::asio::io_context& io)
      : m_acceptor(io,
                   tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

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
          const std::string name = "\r\nRequest-Id: ";
          const std::size_t at = head->find(name);
          const std::string id =
              at == std::string::npos
                  ? ""
                  : head->substr(at, head->find("\r\n", at + 2) - at);
          const std::string reply =
              "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nResponse-Seal: s" + id +
              "\r\nContent-Length: 4\r\n\r\nbody";
          boost::system::error_code ignored;
          boost::asio::write(*socket, boost::asio::buffer(reply), ignored);
          Read(socket);
        });
  }

  tcp::acceptor m_acceptor;
};

/// The value of a registration.
std::string Registration(const std::string& address,
                         const std::string& service = "ledger") {
  return R"({"address": ")" + address + R"(", "info": {"service": ")" +
         service + R"(", "zone": "dc1", "slots": 9},
         "status": {"state": "ready", "seq": 1}})";
}

const std::string kConfig = R"({"version": 7,
  "routes": [{"name": "r-1", "host": "t", "prefix": "/a/",
              "route_type": "safe", "timeout": "2s", "service": "ledger"}],
  "services": [{"name": "ledger", "health_path": "/h"},
               {"name": "rounds", "health_path": "/h"}]})";

unsigned CallStatus(LocalFleet& fleet) {
  return SendRequest(fleet.vm(0).caller_port, "GET", "/a/x", "",
                     "Request-Id: id-1\r\n")
      .status;
}

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

  FleetSpec spec;
  spec.vms.push_back({"127.0.0.1", "", ""});
  spec.settings = {
      {"upstream",
       JsonValue::Object{{"listed", true}, {"address", upstream.address()}}},
      {"adapter", JsonValue::Object{{"store", store.address()},
                                    {"zones", JsonValue::Object{{"dc1", "r1"}}},
                                    {"bounds", JsonValue::Object{}}}}};
  LocalFleet fleet(spec);
  for (int start = 1; start <= 2; ++start) {
    cr_expect(fleet.WaitUntilReady(), "start %d", start);
    cr_expect_eq(CallStatus(fleet), 200U, "start %d", start);
    fleet.vm(0).node->Signal(SIGKILL);
    fleet.StartNode(0);
  }
  io.stop();
}
