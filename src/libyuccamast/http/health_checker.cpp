#include "http/health_checker.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "http/fields.h"
#include "http/read_limits.h"
#include "http/reply_head.h"
#include "log/log.h"

namespace yuccamast {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Timeout of connecting, and of one probe; the connection is then closed.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);
/// A probe unanswered for this long is not expected to be answered soon.
constexpr Duration kSlowProbe = std::chrono::milliseconds(20);
/// Largest health reply that is accepted.
constexpr std::uint64_t kMaxReplyBytes = 64U << 10U;
/// Largest head of a health reply that is accepted.
constexpr std::uint32_t kMaxHeadBytes = 8U << 10U;

}  // namespace

/// The connection for probes, with the request and reply of the pending one.
struct HealthChecker::ProbeConnection {
  explicit ProbeConnection(boost::asio::io_context& io)
      : stream(io), buffer(ReadBufferBytes(kMaxHeadBytes)) {}

  beast::tcp_stream stream;
  ReplyBuffer buffer;
  http::request<http::empty_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  HttpReply reply;   ///< Status and fields of the head.
  bool busy = true;  ///< Connecting, or waiting for a reply.
};

HealthChecker::HealthChecker(boost::asio::io_context& io,
                             boost::asio::ip::tcp::endpoint endpoint,
                             std::string health_path,
                             Duration period,
                             const Dialect& dialect,
                             Metrics& metrics,
                             HealthCheckerHooks hooks)
    : m_io(io),
      m_endpoint(std::move(endpoint)),
      m_health_path(std::move(health_path)),
      m_period(period),
      m_dialect(dialect),
      m_metrics(metrics),
      m_hooks(std::move(hooks)),
      m_timer(io) {}

HealthChecker::~HealthChecker() = default;

void HealthChecker::Start() {
  m_started = true;
  ProbeNow();
  ArmTimer();
}

void HealthChecker::SetHealthPath(const std::string& path) {
  const bool is_first = m_health_path.empty();
  m_health_path = path;
  if (is_first && m_started) {
    ProbeNow();
  }
}

void HealthChecker::Stop() {
  m_stopped = true;
  m_timer.cancel();
  if (m_connection != nullptr) {
    m_connection->stream.close();
  }
}

void HealthChecker::OnLeavingReply() {
  m_connect_failed = false;
  m_leaving_reply_at = Clock::now();
  SetDraining(true);
}

void HealthChecker::SetDraining(bool draining) {
  if (m_draining != draining) {
    m_draining = draining;
    m_hooks.on_draining_changed(draining);
  }
}

void HealthChecker::ArmTimer() {
  m_timer.expires_after(m_period);
  m_timer.async_wait([this](const error_code& error) {
    if (error || m_stopped) {
      return;
    }
    const bool skip_probe = m_hooks.skip_probe && m_hooks.skip_probe();
    if (!skip_probe && (m_draining || !m_health_path.empty())) {
      StartProbe();
    }
    ArmTimer();
  });
}

bool HealthChecker::ProbeNow() {
  const bool pending = m_connection != nullptr && m_connection->busy;
  if (m_stopped || m_health_path.empty() ||
      (pending && Clock::now() - m_probe_sent_at > kSlowProbe)) {
    return false;
  }
  StartProbe();
  return true;
}

void HealthChecker::StartProbe() {
  if (m_connection != nullptr && m_connection->busy) {
    return;
  }
  if (m_connection != nullptr) {
    SendProbe(m_connection);
    return;
  }
  m_probe_sent_at = Clock::now();
  m_connection = std::make_shared<ProbeConnection>(m_io);
  m_connection->stream.expires_after(kProbeTimeout);
  m_connection->stream.async_connect(
      m_endpoint, [this, connection = m_connection](const error_code& error) {
        OnConnected(connection, !error);
      });
}

void HealthChecker::OnConnected(
    const std::shared_ptr<ProbeConnection>& connection,
    bool connected) {
  if (!connected) {
    m_connect_failed = true;
    m_connection.reset();
    return;
  }
  if (!m_health_path.empty()) {
    SendProbe(connection);
    return;
  }
  m_connection.reset();
  if (m_connect_failed) {
    m_connect_failed = false;
    SetDraining(false);
  }
}

void HealthChecker::SendProbe(
    const std::shared_ptr<ProbeConnection>& connection) {
  m_metrics.Add(Counter::kProbesSent);
  m_probe_sent_at = Clock::now();
  connection->busy = true;
  connection->request = {http::verb::get, m_health_path, 11};
  connection->request.set(http::field::host, "upstream");
  connection->parser.emplace();
  connection->parser->header_limit(kMaxHeadBytes);
  connection->parser->body_limit(kMaxReplyBytes);
  connection->stream.expires_after(kProbeTimeout);
  http::async_write(connection->stream, connection->request,
                    [this, connection](const error_code& error, std::size_t) {
                      if (error) {
                        OnReply(connection, false);
                        return;
                      }
                      ReadHead(connection);
                    });
}

void HealthChecker::ReadHead(
    const std::shared_ptr<ProbeConnection>& connection) {
  connection->buffer.StartHead();
  http::async_read_header(
      connection->stream, connection->buffer, *connection->parser,
      [this, connection](const error_code& error, std::size_t) {
        const auto& message = connection->parser->get();
        if (error || !IsValidReplyHead(connection->buffer.EndHead(), message)) {
          OnReply(connection, false);
          return;
        }
        connection->reply = {message.result_int(), CopyFields(message), ""};
        ReadBody(connection);
      });
}

void HealthChecker::ReadBody(
    const std::shared_ptr<ProbeConnection>& connection) {
  if (connection->parser->is_done()) {
    OnReply(connection, true);
    return;
  }
  http::async_read(connection->stream, connection->buffer, *connection->parser,
                   [this, connection](const error_code& error, std::size_t) {
                     OnReply(connection, !error);
                   });
}

void HealthChecker::OnReply(const std::shared_ptr<ProbeConnection>& connection,
                            bool complete) {
  connection->busy = false;
  if (m_stopped) {
    return;
  }
  if (!complete) {
    connection->stream.close();
    m_connection.reset();
    return;
  }
  const HttpReply reply = std::move(connection->reply);
  const TimePoint sent_at = m_probe_sent_at;  // A hook may send a new probe.
  if (!connection->parser->keep_alive() || connection->buffer.size() > 0) {
    connection->stream.close();
    m_connection.reset();
  } else {
    connection->stream.expires_never();
  }
  // A health reply may be older than the reply that said so.
  SetDraining(m_dialect.indicates_leaving(reply) ||
              sent_at < m_leaving_reply_at);
  if (m_hooks.on_health) {
    m_hooks.on_health(m_dialect.parse_health(reply),
                      m_dialect.parse_load(reply));
  }
  if (m_hooks.on_rate_limit) {
    m_hooks.on_rate_limit(m_dialect.parse_rate_limit(reply), sent_at);
  }
  if (m_hooks.on_cold_time) {
    m_hooks.on_cold_time(m_dialect.parse_cold_time(reply), sent_at);
  }
}

}  // namespace yuccamast
