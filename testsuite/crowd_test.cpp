#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <thread>

#include "support/local_fleet.h"

/// System tests of crowds of callers that hold much memory of a node: bodies
/// that stop short, replies that are not read. Whatever a crowd does, the nodes
/// live, their memory and descriptors stay under a bound that follows from the
/// settings, and an ordinary caller is answered while the crowd stays.
///
/// Run one at a time, apart from other load. No test depends on time: the
/// limits below only end a wait that would be in vain.

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMiB = 1U << 20U;
/// The setting `memory_bytes`, and what a node may take beside it: the read
/// buffers of its connections, the state of its links, free memory of the
/// allocator.
constexpr std::size_t kMemoryBytes = 16 * kMiB;
constexpr std::size_t kFixedBytes = 12 * kMiB;
constexpr std::size_t kCrowd = 128;
/// Descriptors beside those of the crowd, and one upstream connection each.
constexpr std::size_t kFixedDescriptors = 100;
constexpr std::size_t kBodyBytes = 4'080'000;
constexpr std::size_t kReplyBytes = 2'000'000;
constexpr std::size_t kChunkBytes = 16'000;

/// A caller of the crowd: sends its bytes as far as the node takes them, reads
/// `read_bytes` in each round, and stays open.
struct CrowdMember {
  int fd = -1;
  std::string bytes;
  std::size_t read_bytes = 0;
  std::size_t sent = 0;
};

class Crowd {
 public:
  Crowd() = default;
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;
  ~Crowd() {
    std::ranges::for_each(m_members,
                          [](const auto& member) { ::close(member.fd); });
  }

  void Add(std::uint16_t port, std::string bytes, std::size_t read_bytes) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int receive_buffer = 4096;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cr_assert_eq(
        ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
        0);
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    m_members.push_back({fd, std::move(bytes), read_bytes, 0});
  }

  /// Plays all members for `rounds` of 20 ms.
  void Play(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      std::ranges::for_each(m_members, [](CrowdMember& member) {
        ssize_t count = 1;
        while (count > 0 && member.sent < member.bytes.size()) {
          count = ::send(member.fd, member.bytes.data() + member.sent,
                         member.bytes.size() - member.sent, MSG_NOSIGNAL);
          member.sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        std::array<char, 4096> buffer{};
        if (member.read_bytes > 0) {
          ::recv(member.fd, buffer.data(),
                 std::min(member.read_bytes, buffer.size()), 0);
        }
      });
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

 private:
  std::vector<CrowdMember> m_members;
};

std::size_t PeakBytes(const Process& process) {
  std::ifstream in("/proc/" + std::to_string(process.pid()) + "/status");
  std::string word;
  while (in >> word) {
    if (word == "VmHWM:") {
      std::size_t kib = 0;
      in >> kib;
      return kib << 10U;
    }
  }
  return 0;
}

std::size_t OpenDescriptors(const Process& process) {
  std::error_code error;
  const std::filesystem::directory_iterator files(
      "/proc/" + std::to_string(process.pid()) + "/fd", error);
  return static_cast<std::size_t>(
      std::distance(begin(files), std::filesystem::directory_iterator()));
}

std::string Post(bool chunked, bool whole) {
  std::string text = "POST /order?sleep_ms=2000 HTTP/1.1\r\nHost: shop\r\n";
  if (!chunked) {
    return text + "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
           std::string(kBodyBytes - (whole ? 0 : 1), 'b');
  }
  text += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t sent = 0; sent < kBodyBytes; sent += kChunkBytes) {
    text += "3e80\r\n" + std::string(kChunkBytes, 'b') + "\r\n";
  }
  return text + (whole ? "0\r\n\r\n" : "0\r\n");
}

/// One node, the upstream beside it, or two, the upstream beside the second.
enum class Place { kOtherMachine, kOwnMachine };

/// Plays a crowd at the first node. `request(i)` makes the bytes that member
/// `i` sends.
void ExpectCrowdIsBorne(const std::function<std::string(std::size_t)>& request,
                        std::size_t read_bytes,
                        Place place = Place::kOtherMachine) {
  FleetSpec spec;
  if (place == Place::kOtherMachine) {
    spec.vms.push_back({"vm-1", "front-1", "front"});
  }
  VmSpec shop{"vm-2", "shop-2", "shop"};
  shop.slots = kCrowd;
  spec.vms.push_back(shop);
  spec.config_files.push_back({"20-rules.json", R"({"rules": {
    "order": {"service": "shop", "method": "POST", "path": "/order",
              "deadline_ms": 8000},
    "read": {"service": "shop", "method": "GET", "path": "/read",
             "idempotent": true, "deadline_ms": 8000}}})"});
  spec.settings = {{"entry_threads", 1},
                   {"memory_bytes", std::int64_t{kMemoryBytes}},
                   {"caller", JsonValue::Object{
                                  {"max_body_bytes", std::int64_t{4 * kMiB}}}}};
  LocalFleet fleet(spec);
  cr_assert(fleet.WaitUntilReady());
  const std::uint16_t port = fleet.vm(0).caller_port;
  const auto is_answered = [port] {
    return SendRequest(port, "GET", "/read").status == 200;
  };
  cr_assert(LocalFleet::WaitFor(is_answered, seconds(10)));
  std::array<std::size_t, 2> base{};
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    base.at(i) = PeakBytes(*fleet.vm(i).node);
  }
  Crowd crowd;
  for (std::size_t i = 0; i < kCrowd; ++i) {
    crowd.Add(port, request(i), read_bytes);
  }
  crowd.Play(300);
  std::array<std::size_t, 2> descriptors{};
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    descriptors.at(i) = OpenDescriptors(*fleet.vm(i).node);
  }
  // The crowd stays open, and no longer sends or reads.
  cr_expect(LocalFleet::WaitFor(is_answered, seconds(60)),
            "an ordinary request is not answered");
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    Process& node = *fleet.vm(i).node;
    cr_expect(node.IsRunning(), "node %zu has ended", i + 1);
    const std::size_t grown = PeakBytes(node) - base.at(i);
    cr_log_info("node %zu grew by %zu KiB", i + 1, grown >> 10U);
    cr_expect_leq(grown, kMemoryBytes + kFixedBytes,
                  "node %zu grew by %zu KiB, allowed %zu", i + 1, grown >> 10U,
                  (kMemoryBytes + kFixedBytes) >> 10U);
    cr_expect_leq(descriptors.at(i), 2 * kCrowd + kFixedDescriptors,
                  "node %zu has %zu descriptors", i + 1, descriptors.at(i));
  }
}

std::string GetLongReply(std::size_t /*member*/) {
  return "GET /read?size=" + std::to_string(kReplyBytes) +
         " HTTP/1.1\r\nHost: shop\r\n\r\n";
}

}  // namespace

// Guards against a node that runs out of memory by bodies with a length of
// which most stop just short of their end and stay open.
Test(crowd, bodies_with_length_that_stop_short) {
  ExpectCrowdIsBorne([](std::size_t i) { return Post(false, i < kCrowd / 4); },
                     0);
}

// The same with bodies that come in pieces of unknown number.
Test(crowd, bodies_in_chunks_that_stop_short) {
  ExpectCrowdIsBorne([](std::size_t i) { return Post(true, i < kCrowd / 4); },
                     0);
}

// Guards against a node that holds a long reply for each of many callers that
// read nothing.
Test(crowd, long_replies_that_are_not_read) {
  ExpectCrowdIsBorne(GetLongReply, 0);
}

// The same with callers that read a little at a time, so that no write stands
// still.
Test(crowd, long_replies_that_are_read_slowly) {
  ExpectCrowdIsBorne(GetLongReply, 1024);
}

namespace {

/// Sends one body of 60 MB to the first node of a fleet whose machines have
/// 260 MB.
void ExpectLongBodyIsServed(const std::vector<VmSpec>& vms) {
  constexpr std::size_t kMachineMb = 260;
  constexpr std::size_t kLongBodyBytes = 60'000'000;
  FleetSpec spec;
  spec.vms = vms;
  spec.config_files.push_back({"20-rules.json", R"({"rules": {
    "order": {"service": "shop", "method": "POST", "path": "/order",
              "deadline_ms": 20000}}})"});
  spec.settings = {{"memory_mb", std::int64_t{kMachineMb}},
                   {"caller", JsonValue::Object{{"max_body_bytes",
                                                 std::int64_t{64 * kMiB}}}}};
  LocalFleet fleet(spec);
  cr_assert(fleet.WaitUntilReady());
  const std::string body(kLongBodyBytes, 'b');
  const auto reply = SendRequest(fleet.vm(0).caller_port, "POST", "/order",
                                 body, "X-Load-Id: long\r\n", seconds(60));
  cr_expect_eq(reply.status, 200U, "%s", reply.raw.c_str());
  cr_expect_neq(reply.body.find(" got=60000000"), std::string::npos, "%s",
                reply.body.c_str());
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const std::size_t peak = PeakBytes(*fleet.vm(i).node);
    cr_log_info("node %zu: %zu KiB", i + 1, peak >> 10U);
    cr_expect_leq(peak, kMachineMb * 1'000'000);
    cr_expect(fleet.vm(i).node->IsRunning());
  }
}

}  // namespace

// Guards against limits for crowds that refuse a single request inside the
// limits, or a node that ends by it.
Test(crowd, one_long_body_is_served_by_another_machine) {
  ExpectLongBodyIsServed(
      {{"vm-1", "front-1", "front"}, {"vm-2", "shop-2", "shop"}});
}

// The same where entry and exit are one process and share its account.
Test(crowd, one_long_body_is_served_by_the_own_machine) {
  ExpectLongBodyIsServed({{"vm-1", "shop-1", "shop"}});
}

// Guards against an entry and an exit in one process that wait for the room
// that the other one holds.
Test(crowd, long_replies_of_the_own_machine_are_not_read) {
  ExpectCrowdIsBorne(GetLongReply, 0, Place::kOwnMachine);
}

// The same with bodies.
Test(crowd, bodies_for_the_own_machine_that_stop_short) {
  ExpectCrowdIsBorne([](std::size_t i) { return Post(false, i < kCrowd / 4); },
                     0, Place::kOwnMachine);
}
