#include "bench/load.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <sstream>

namespace yuccamast::bench {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// In the order of `Outcome`.
constexpr std::array<std::string_view, kOutcomeCount> kOutcomeNames = {
    "answered", "server_error", "not_run", "unknown", "cut"};
constexpr std::uint64_t kMaxReplyBytes = 64U << 20U;

tcp::endpoint Loopback(std::uint16_t port) {
  return {asio::ip::address_v4::loopback(), port};
}

/// A connection to an entry, reused for one request after another.
struct Connection {
  explicit Connection(asio::io_context& io) : stream(io) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};
using ConnectionPtr = std::shared_ptr<Connection>;

class Driver;

/// One request: takes or opens a connection, sends, reads the reply, and writes
/// the result to its record. Its asynchronous operations keep it alive.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Driver& driver,
           std::size_t index,
           SteadyClock::time_point intended_time)
      : m_driver(driver), m_index(index), m_intended_time(intended_time) {}

  void Begin();

 private:
  void Send();
  void Read();
  void OnReply(const error_code& error);
  void ClassifyReply(const http::response<http::string_body>& reply);
  void Finish(bool keep_connection);

  Driver& m_driver;
  const std::size_t m_index;
  const SteadyClock::time_point m_intended_time;
  ConnectionPtr m_connection;
  http::request<http::string_body> m_request;
  std::optional<http::response_parser<http::string_body>> m_parser;
};

/// Sends the requests of a plan and owns their records and the connections. All
/// of it runs on one io_context, in `Run`.
class Driver {
 public:
  explicit Driver(const LoadPlan& plan)
      : m_plan(plan), m_random(plan.seed), m_timer(m_io) {}

  std::vector<RequestRecord> Run() {
    OpenIdleConnections();
    m_start = SteadyClock::now();
    m_next_time = m_start;
    ScheduleNext();
    m_io.run();
    return std::move(m_records);
  }

  const LoadPlan& plan() const { return m_plan; }
  asio::io_context& io() { return m_io; }
  RequestRecord& record(std::size_t index) { return m_records[index]; }

  /// Port of the entry for the request `index`.
  std::uint16_t EntryPortOf(std::size_t index) const {
    return m_plan.entries[index % m_plan.entries.size()];
  }

  /// Removes and returns an unused open connection to the port, or null.
  ConnectionPtr TakePooled(std::uint16_t port) {
    auto& pooled = m_pool[port];
    if (pooled.empty()) {
      return nullptr;
    }
    ConnectionPtr connection = pooled.back();
    pooled.pop_back();
    return connection;
  }
  void ReturnToPool(std::uint16_t port, ConnectionPtr connection) {
    m_pool[port].push_back(std::move(connection));
  }
  /// Stops the run after the last request.
  void OnExchangeEnd() {
    --m_in_flight;
    if (m_done_sending && m_in_flight == 0) {
      m_idle_connections.clear();
      m_pool.clear();
      m_io.stop();
    }
  }

 private:
  void OpenIdleConnections() {
    for (std::size_t i = 0; i < m_plan.idle_connections; ++i) {
      tcp::socket socket(m_io);
      error_code error;
      socket.connect(Loopback(EntryPortOf(i)), error);
      if (!error) {
        m_idle_connections.push_back(std::move(socket));
      }
    }
  }

  double SecondsSinceStart(SteadyClock::time_point time) const {
    return std::chrono::duration<double>(time - m_start).count();
  }

  /// Draws the time of the next request: the gaps of a Poisson process are
  /// exponentially distributed. Uses the rate at the intended time of the
  /// previous request.
  void ScheduleNext() {
    const double now_s = SecondsSinceStart(m_next_time);
    const double rate = m_plan.rate_at ? m_plan.rate_at(now_s) : m_plan.rate;
    std::exponential_distribution<double> gap(std::max(rate, 0.001));
    m_next_time += std::chrono::duration_cast<SteadyClock::duration>(
        std::chrono::duration<double>(gap(m_random)));
    if (SecondsSinceStart(m_next_time) > m_plan.seconds) {
      m_done_sending = true;
      // Counts as a request that ends at once, so that the run also ends if no
      // request is in flight now.
      ++m_in_flight;
      asio::post(m_io, [this] { OnExchangeEnd(); });
      return;
    }
    m_timer.expires_at(m_next_time);
    m_timer.async_wait([this](const error_code&) { SendNextRequest(); });
  }

  /// Starts a request. If the event loop is late, the next request keeps its
  /// intended time and is sent immediately.
  void SendNextRequest() {
    const std::size_t index = m_records.size();
    RequestRecord record;
    record.id =
        "load-" + std::to_string(m_plan.seed) + "-" + std::to_string(index);
    record.kind = PickKind();
    record.intended_s = SecondsSinceStart(m_next_time);
    m_records.push_back(record);
    ++m_in_flight;
    std::make_shared<Exchange>(*this, index, m_next_time)->Begin();
    ScheduleNext();
  }

  std::size_t PickKind() {
    std::vector<double> weights;
    std::ranges::transform(m_plan.mix, std::back_inserter(weights),
                           &RequestKind::weight);
    std::discrete_distribution<std::size_t> pick(weights.begin(),
                                                 weights.end());
    return pick(m_random);
  }

  const LoadPlan& m_plan;
  asio::io_context m_io{1};
  std::mt19937_64 m_random;
  asio::steady_timer m_timer;
  SteadyClock::time_point m_start;
  SteadyClock::time_point m_next_time;
  std::vector<RequestRecord> m_records;
  /// Unused open connections by port.
  std::map<std::uint16_t, std::deque<ConnectionPtr>> m_pool;
  /// Connections that never carry a request, see `LoadPlan`.
  std::deque<tcp::socket> m_idle_connections;
  std::size_t m_in_flight = 0;  ///< Requests without a result yet.
  bool m_done_sending = false;
};

void Exchange::Begin() {
  const RequestKind& kind = m_driver.plan().mix[m_driver.record(m_index).kind];
  m_request.method_string(kind.method);
  m_request.target(kind.target);
  m_request.version(11);
  m_request.set(http::field::host, "load");
  m_request.set("X-Load-Id", m_driver.record(m_index).id);
  m_request.body() = std::string(kind.body_bytes, 'b');
  m_request.prepare_payload();
  const std::uint16_t port = m_driver.EntryPortOf(m_index);
  m_connection = m_driver.TakePooled(port);
  if (m_connection != nullptr) {
    Send();
    return;
  }
  m_connection = std::make_shared<Connection>(m_driver.io());
  m_connection->stream.expires_after(m_driver.plan().caller_timeout);
  m_connection->stream.async_connect(
      Loopback(port), [self = shared_from_this()](const error_code& error) {
        if (error) {
          // The request was never sent, so it cannot have run.
          self->m_driver.record(self->m_index).outcome = Outcome::kNotRun;
          self->m_driver.record(self->m_index).reason = "no_connection";
          self->Finish(false);
          return;
        }
        error_code ignored;
        self->m_connection->stream.socket().set_option(tcp::no_delay(true),
                                                       ignored);
        self->Send();
      });
}

void Exchange::Send() {
  m_connection->stream.expires_after(m_driver.plan().caller_timeout);
  http::async_write(
      m_connection->stream, m_request,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        if (error) {
          self->Finish(false);
          return;
        }
        self->Read();
      });
}

void Exchange::Read() {
  m_parser.emplace();
  m_parser->body_limit(kMaxReplyBytes);
  http::async_read(
      m_connection->stream, m_connection->buffer, *m_parser,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->OnReply(error);
      });
}

void Exchange::OnReply(const error_code& error) {
  if (error) {
    m_driver.record(m_index).reason = error.message();
    Finish(false);
    return;
  }
  const bool keep_connection = m_parser->keep_alive();
  ClassifyReply(m_parser->get());
  Finish(keep_connection);
}

void Exchange::ClassifyReply(const http::response<http::string_body>& reply) {
  RequestRecord& record = m_driver.record(m_index);
  const auto outcome = reply["Yuccamast-Outcome"];
  if (!outcome.empty()) {
    record.outcome =
        outcome == "not-run" ? Outcome::kNotRun : Outcome::kUnknown;
    record.reason = std::string(reply["Yuccamast-Reason"]);
    return;
  }
  if (reply.result_int() >= 500) {
    record.outcome = Outcome::kServerError;
    return;
  }
  record.outcome = Outcome::kAnswered;
  const std::string& body = reply.body();
  record.wrong =
      !body.starts_with("id=" + record.id + " ") || !body.ends_with("END");
}

void Exchange::Finish(bool keep_connection) {
  RequestRecord& record = m_driver.record(m_index);
  record.latency_ms = std::chrono::duration<double, std::milli>(
                          SteadyClock::now() - m_intended_time)
                          .count();
  if (keep_connection) {
    m_connection->stream.expires_never();
    m_driver.ReturnToPool(m_driver.EntryPortOf(m_index), m_connection);
  }
  m_driver.OnExchangeEnd();
}

/// Reads a page by a blocking GET request; an empty string if that fails.
std::string FetchPage(std::uint16_t port, const std::string& target) {
  asio::io_context io;
  tcp::socket socket(io);
  error_code error;
  socket.connect(Loopback(port), error);
  if (error) {
    return "";
  }
  http::request<http::empty_body> request{http::verb::get, target, 11};
  request.set(http::field::host, "load");
  http::write(socket, request, error);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxReplyBytes);
  http::read(socket, buffer, parser, error);
  return error ? "" : parser.get().body();
}

}  // namespace

std::string_view NameOf(Outcome outcome) {
  return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

std::vector<RequestRecord> RunLoad(const LoadPlan& plan) {
  return Driver(plan).Run();
}

double Quantile(std::vector<double>& values, double q) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  const auto index = static_cast<std::size_t>(
      std::llround(q * static_cast<double>(values.size() - 1)));
  return values[std::min(index, values.size() - 1)];
}

std::map<std::string, unsigned> ReadLedgers(
    const std::vector<std::uint16_t>& ports) {
  std::map<std::string, unsigned> ledger;
  std::ranges::for_each(ports, [&](std::uint16_t port) {
    std::istringstream text(FetchPage(port, "/_standin/ledger"));
    std::string id;
    unsigned runs = 0;
    while (text >> id >> runs) {
      ledger[id] += runs;
    }
  });
  return ledger;
}

LedgerCheck CheckAgainstLedgers(const LoadPlan& plan,
                                const std::vector<RequestRecord>& records,
                                const std::map<std::string, unsigned>& ledger) {
  LedgerCheck check;
  std::ranges::for_each(records, [&](const RequestRecord& record) {
    const auto found = ledger.find(record.id);
    const unsigned runs = found == ledger.end() ? 0 : found->second;
    check.wrong += record.wrong ? 1 : 0;
    const bool twice = !plan.mix[record.kind].idempotent && runs > 1;
    check.double_runs += twice ? 1 : 0;
    check.false_not_run +=
        record.outcome == Outcome::kNotRun && runs > 0 ? 1 : 0;
    check.missing_runs +=
        record.outcome == Outcome::kAnswered && runs == 0 ? 1 : 0;
  });
  return check;
}

}  // namespace yuccamast::bench
