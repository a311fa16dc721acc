// A back end in trouble ends a chunked answer with one long trailer field:
// bytes that are no answer. The node beside it must survive.
#include "../support/harness.hpp"

using namespace review;

namespace {
// The largest dose of `garble` in the site file: 0.35 of the servers spoil 0.02
// of their answers for 5.5 s. Here it is one server of six.
constexpr int kOneIn = 50;
constexpr double kFaultyFor = 5.5;
}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, [](bool trouble) {
    Deployment site({{"ledger", "zone-a"},
                     {"ledger", "zone-a"},
                     {"ledger", "zone-b"},
                     {"dispatch", "zone-a"},
                     {"dispatch", "zone-b"},
                     {"dispatch", "zone-b"}});
    const Route history{"ledger", "history.example", "/history/", true, 1200,
                        2};
    const Route van{"dispatch", "van.example", "/van/", false, 2000, 2};
    std::atomic<bool> faulty{false};
    std::atomic<int> answers{0};
    std::atomic<int> spoilt{0};
    for (std::size_t i = 0; i < 6; ++i) {
      Backend::Options options =
          site.BackendOptions(i, Format("i-%zu%08zx", i, i * 7919));
      options.work_s = options.service == "ledger" ? 0.05 : 0.6;
      if (i == 0) {
        options.trouble = [&](int fd, const Message& request) {
          if (!faulty || ++answers % kOneIn != 0) {
            return false;
          }
          ++spoilt;
          const std::string id = request.Field("Request-Id");
          Note("spoilt   " + id);
          SendAll(fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                          "\r\nResponse-Seal: seal-" + id +
                          "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
                          "0\r\nX: " +
                          std::string(70000, 'x') + "\r\n\r\n");
          SleepS(0.2);
          return true;
        };
      }
      site.AddBackend(options);
    }
    site.Start(Config(7, {history, van}));
    std::atomic<bool> over{false};
    std::mutex mutex;
    std::vector<Outcome> kept;
    std::vector<std::thread> threads;
    // Clients of machine 0, whose own back end turns faulty: eight send orders
    // to the sound back ends of the other service.
    for (int k = 0; k < 8; ++k) {
      threads.emplace_back([&] {
        Client client(site.Ip(0), site.outbound());
        while (!over) {
          const Outcome outcome = client.Call("POST", van, 2000, "order");
          const std::lock_guard lock(mutex);
          kept.push_back(outcome);
          if (outcome.status == 0) {
            SleepS(0.2);
          }
        }
      });
    }
    for (std::size_t k = 0; k < 12; ++k) {
      threads.emplace_back([&, k] {
        Client client(site.Ip(k % 6), site.outbound());
        while (!over) {
          if (client.Call("GET", history, 2500).status == 0) {
            SleepS(0.05);
          }
        }
      });
    }
    SleepS(4);
    faulty = trouble;
    SleepS(kFaultyFor);
    faulty = false;
    SleepS(2);
    over = true;
    for (auto& thread : threads) {
      thread.join();
    }
    int ends = 0;
    for (const auto& machine : site.machines) {
      ends += machine->ends_by_itself();
    }
    std::set<std::string> ran;
    for (const Arrival& arrival : site.arrivals.All()) {
      if (arrival.run && arrival.service == "dispatch") {
        ran.insert(arrival.id);
      }
    }
    int lost = 0;
    for (const Outcome& outcome : kept) {
      // A kept connection: one that has served a request before.
      lost += outcome.closed && outcome.reused && ran.contains(outcome.id);
    }
    Note(
        Format("spoilt answers %d; ends of a node by itself %d; orders that a "
               "sound back end ran and whose kept connection was closed "
               "without an answer: %d of %zu (allowed: 3)",
               spoilt.load(), ends, lost, kept.size()));
    printf("ends %d, lost %d of %zu\n", ends, lost, kept.size());
    return lost <= 3;
  });
}
