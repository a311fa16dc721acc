#include "http/health_checker.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "http/fields.h"
#include "log/log.h"

namespace yuccamast {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// A question without an answer for this long gives its connection up.
constexpr Duration kTimeout = std::chrono::milliseconds(400);
/// A question that has had no answer for this long will not have one soon.
constexpr Duration kSlowAnswer = std::chrono::milliseconds(20);
/// Largest health page that is read.
constexpr std::uint64_t kMaxPageBytes = 64U << 10U;

}  // namespace

/// A connection for questions, and the question that is open on it.
struct HealthChecker::Page {
  explicit Page(boost::asio::io_context& io) : stream(io) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  bool busy = true;
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
  ArmTimer();
}

void HealthChecker::Stop() {
  m_stopped = true;
  m_timer.cancel();
  if (m_page != nullptr) {
    m_page->stream.close();
  }
}

void HealthChecker::OnLeavingReply() {
  m_was_down = false;
  Set(true);
}

void HealthChecker::Set(bool draining) {
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
      LookNow();
    }
    ArmTimer();
  });
}

bool HealthChecker::ProbeNow() {
  const bool unanswered = m_page != nullptr && m_page->busy;
  if (m_stopped || m_health_path.empty() ||
      (unanswered && Clock::now() - m_asked_at > kSlowAnswer)) {
    return false;
  }
  LookNow();
  return true;
}

void HealthChecker::LookNow() {
  if (m_page != nullptr && m_page->busy) {
    return;
  }
  if (m_page != nullptr) {
    Ask(m_page);
    return;
  }
  m_asked_at = Clock::now();
  m_page = std::make_shared<Page>(m_io);
  m_page->stream.expires_after(kTimeout);
  m_page->stream.async_connect(m_endpoint,
                               [this, page = m_page](const error_code& error) {
                                 OnConnected(page, !error);
                               });
}

void HealthChecker::OnConnected(const std::shared_ptr<Page>& page,
                                bool connected) {
  if (!connected) {
    m_was_down = true;
    m_page.reset();
    return;
  }
  if (!m_health_path.empty()) {
    Ask(page);
    return;
  }
  m_page.reset();
  if (m_was_down) {
    m_was_down = false;
    Set(false);
  }
}

void HealthChecker::Ask(const std::shared_ptr<Page>& page) {
  m_metrics.Add(Counter::kProbesSent);
  m_asked_at = Clock::now();
  page->busy = true;
  page->request = {http::verb::get, m_health_path, 11};
  page->request.set(http::field::host, "upstream");
  page->parser.emplace();
  page->parser->body_limit(kMaxPageBytes);
  page->stream.expires_after(kTimeout);
  http::async_write(page->stream, page->request,
                    [this, page](const error_code& error, std::size_t) {
                      if (error) {
                        OnReply(page, false);
                        return;
                      }
                      http::async_read(
                          page->stream, page->buffer, *page->parser,
                          [this, page](const error_code& failed, std::size_t) {
                            OnReply(page, !failed);
                          });
                    });
}

void HealthChecker::OnReply(const std::shared_ptr<Page>& page, bool whole) {
  page->busy = false;
  if (m_stopped) {
    return;
  }
  if (!whole) {
    page->stream.close();
    m_page.reset();
    return;
  }
  const auto& message = page->parser->get();
  HttpReply reply;
  reply.status = message.result_int();
  for (const auto& field : message) {
    reply.fields.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  if (!page->parser->keep_alive() || page->buffer.size() > 0) {
    page->stream.close();
    m_page.reset();
  } else {
    page->stream.expires_never();
  }
  Set(m_dialect.indicates_leaving(reply));
  if (m_hooks.on_health) {
    m_hooks.on_health(m_dialect.parse_health(reply),
                      m_dialect.parse_load(reply));
  }
}

}  // namespace yuccamast
