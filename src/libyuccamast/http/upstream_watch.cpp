#include "http/upstream_watch.h"

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
/// Largest health page that is read.
constexpr std::uint64_t kMaxPageBytes = 64U << 10U;

}  // namespace

/// A connection for questions, and the question that is open on it.
struct UpstreamWatch::Look {
  explicit Look(boost::asio::io_context& io) : stream(io) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  bool busy = true;
};

UpstreamWatch::UpstreamWatch(boost::asio::io_context& io,
                             boost::asio::ip::tcp::endpoint endpoint,
                             std::string health_path,
                             Duration period,
                             const Dialect& dialect,
                             Metrics& metrics,
                             UpstreamWatchHooks hooks)
    : m_io(io),
      m_endpoint(std::move(endpoint)),
      m_health_path(std::move(health_path)),
      m_period(period),
      m_dialect(dialect),
      m_metrics(metrics),
      m_hooks(std::move(hooks)),
      m_timer(io) {}

UpstreamWatch::~UpstreamWatch() = default;

void UpstreamWatch::Start() {
  ArmTimer();
}

void UpstreamWatch::Stop() {
  m_stopped = true;
  m_timer.cancel();
  if (m_look != nullptr) {
    m_look->stream.close();
  }
}

void UpstreamWatch::OnSign() {
  m_was_down = false;
  Set(true);
}

void UpstreamWatch::Set(bool draining) {
  if (m_draining != draining) {
    m_draining = draining;
    m_hooks.on_change(draining);
  }
}

void UpstreamWatch::ArmTimer() {
  m_timer.expires_after(m_period);
  m_timer.async_wait([this](const error_code& error) {
    if (error || m_stopped) {
      return;
    }
    const bool knows = m_hooks.knows && m_hooks.knows();
    if (!knows && (m_draining || !m_health_path.empty())) {
      LookNow();
    }
    ArmTimer();
  });
}

void UpstreamWatch::LookNow() {
  if (m_look != nullptr && m_look->busy) {
    return;
  }
  if (m_look != nullptr) {
    Ask(m_look);
    return;
  }
  m_look = std::make_shared<Look>(m_io);
  m_look->stream.expires_after(kTimeout);
  m_look->stream.async_connect(m_endpoint,
                               [this, look = m_look](const error_code& error) {
                                 OnConnected(look, !error);
                               });
}

void UpstreamWatch::OnConnected(const std::shared_ptr<Look>& look,
                                bool connected) {
  if (!connected) {
    m_was_down = true;
    m_look.reset();
    return;
  }
  if (!m_health_path.empty()) {
    Ask(look);
    return;
  }
  m_look.reset();
  if (m_was_down) {
    m_was_down = false;
    Set(false);
  }
}

void UpstreamWatch::Ask(const std::shared_ptr<Look>& look) {
  m_metrics.Add(Counter::kProbesSent);
  look->busy = true;
  look->request = {http::verb::get, m_health_path, 11};
  look->request.set(http::field::host, "upstream");
  look->parser.emplace();
  look->parser->body_limit(kMaxPageBytes);
  look->stream.expires_after(kTimeout);
  http::async_write(look->stream, look->request,
                    [this, look](const error_code& error, std::size_t) {
                      if (error) {
                        OnReply(look, false);
                        return;
                      }
                      http::async_read(
                          look->stream, look->buffer, *look->parser,
                          [this, look](const error_code& failed, std::size_t) {
                            OnReply(look, !failed);
                          });
                    });
}

void UpstreamWatch::OnReply(const std::shared_ptr<Look>& look, bool whole) {
  look->busy = false;
  if (m_stopped) {
    return;
  }
  if (!whole) {
    look->stream.close();
    m_look.reset();
    return;
  }
  const auto& message = look->parser->get();
  HttpReply reply;
  reply.status = message.result_int();
  for (const auto& field : message) {
    reply.fields.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  if (!look->parser->keep_alive() || look->buffer.size() > 0) {
    look->stream.close();
    m_look.reset();
  } else {
    look->stream.expires_never();
  }
  Set(m_dialect.says_leaving(reply));
  if (m_hooks.on_word) {
    m_hooks.on_word(m_dialect.read_health(reply), m_dialect.read_load(reply));
  }
}

}  // namespace yuccamast
