#include "http/upstream_watch.h"

#include "http/fields.h"
#include "log/log.h"

namespace yuccamast {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr Duration kPeriod = std::chrono::milliseconds(500);
constexpr Duration kTimeout = std::chrono::milliseconds(400);

}  // namespace

/// One look at the upstream on a connection of its own.
struct UpstreamWatch::Look {
  explicit Look(boost::asio::io_context& io) : stream(io) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  http::response<http::string_body> response;
};

UpstreamWatch::UpstreamWatch(boost::asio::io_context& io,
                             boost::asio::ip::tcp::endpoint endpoint,
                             std::string health_path,
                             ChangeHook on_change)
    : m_io(io),
      m_endpoint(std::move(endpoint)),
      m_health_path(std::move(health_path)),
      m_on_change(std::move(on_change)),
      m_timer(io) {}

void UpstreamWatch::Start() {
  ArmTimer();
}

void UpstreamWatch::Stop() {
  m_stopped = true;
  m_timer.cancel();
}

void UpstreamWatch::OnSign() {
  m_was_down = false;
  Set(true);
}

void UpstreamWatch::Set(bool draining) {
  if (m_draining != draining) {
    m_draining = draining;
    m_on_change(draining);
  }
}

void UpstreamWatch::ArmTimer() {
  m_timer.expires_after(kPeriod);
  m_timer.async_wait([this](const error_code& error) {
    if (error || m_stopped) {
      return;
    }
    if (m_draining || !m_health_path.empty()) {
      LookNow();
    }
    ArmTimer();
  });
}

void UpstreamWatch::LookNow() {
  auto look = std::make_shared<Look>(m_io);
  look->stream.expires_after(kTimeout);
  look->stream.async_connect(m_endpoint, [this, look](const error_code& error) {
    OnConnected(look, !error);
  });
}

void UpstreamWatch::OnConnected(const std::shared_ptr<Look>& look,
                                bool connected) {
  if (!connected) {
    m_was_down = true;
    return;
  }
  if (!m_health_path.empty()) {
    Ask(look);
    return;
  }
  if (m_was_down) {
    m_was_down = false;
    Set(false);
  }
}

void UpstreamWatch::Ask(const std::shared_ptr<Look>& look) {
  look->request = {http::verb::get, m_health_path, 11};
  look->request.set(http::field::host, "upstream");
  look->request.set(http::field::connection, "close");
  http::async_write(look->stream, look->request,
                    [this, look](const error_code& error, std::size_t) {
                      if (error) {
                        return;
                      }
                      http::async_read(
                          look->stream, look->buffer, look->response,
                          [this, look](const error_code& failed, std::size_t) {
                            if (!failed) {
                              Set(look->response.find(std::string(
                                      kLeavingField)) != look->response.end());
                            }
                          });
                    });
}

}  // namespace yuccamast
