#include "standin/http_server.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <optional>

namespace yuccamast::standin {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 64U << 20U;

/// Splits a request target into path and query. A parameter without `=` has an
/// empty value.
void ParseTarget(const std::string& target, Request& request) {
  const std::size_t query_start = target.find('?');
  request.path = target.substr(0, query_start);
  if (query_start == std::string::npos) {
    return;
  }
  std::string remaining = target.substr(query_start + 1);
  while (!remaining.empty()) {
    const std::size_t end = std::min(remaining.find('&'), remaining.size());
    const std::string parameter = remaining.substr(0, end);
    const std::size_t equals_position =
        std::min(parameter.find('='), parameter.size());
    request.query[parameter.substr(0, equals_position)] =
        equals_position < parameter.size()
            ? parameter.substr(equals_position + 1)
            : "";
    remaining.erase(0, end + 1);
  }
}

/// One connection. Reads a request, waits for its reply, writes it, and so on.
/// The handlers of its asynchronous operations keep it alive.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket,
          RequestHandler& handler,
          std::shared_ptr<std::size_t> connections)
      : m_socket(std::move(socket)),
        m_timer(m_socket.get_executor()),
        m_handler(handler),
        m_connections(std::move(connections)) {
    ++*m_connections;
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  ~Session() { --*m_connections; }

  /// Reads the next request. A malformed one, or the end of the connection,
  /// ends the session without a reply.
  void Read() {
    m_parser.emplace();
    m_parser->body_limit(kMaxBodyBytes);
    http::async_read(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          if (!error) {
            self->Handle();
          }
        });
  }

 private:
  void Handle() {
    auto message = m_parser->release();
    Request request;
    request.method = std::string(message.method_string());
    ParseTarget(std::string(message.target()), request);
    for (const auto& field : message) {
      std::string name(field.name_string());
      std::ranges::transform(name, name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
      });
      request.fields[name] = std::string(field.value());
    }
    request.body = std::move(message.body());
    m_keep_alive = message.keep_alive();
    m_answered = false;
    m_on_disconnect = nullptr;
    m_handler(
        request,
        [self = shared_from_this()](RawReply reply) {
          self->Write(std::move(reply));
        },
        &m_on_disconnect);
    if (m_on_disconnect && !m_answered) {
      WaitForDisconnect();
    }
  }

  /// Waits until the socket is readable, which before the reply means that the
  /// caller closed the connection or sent further bytes.
  void WaitForDisconnect() {
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](
                                                    const error_code& error) {
      if (!error && !self->m_answered && self->m_on_disconnect) {
        const auto on_disconnect = std::move(self->m_on_disconnect);
        self->m_on_disconnect = nullptr;
        on_disconnect();
      }
    });
  }

  void Write(RawReply reply) {
    if (m_answered) {
      return;
    }
    m_answered = true;
    error_code ignored;
    m_socket.cancel(ignored);
    m_reply = std::move(reply);
    if (m_reply.first_bytes > 0) {
      WriteFirst();
    } else {
      WriteRest();
    }
  }

  /// Writes the first part, then the rest after the pause.
  void WriteFirst() {
    const std::size_t first =
        std::min(m_reply.first_bytes, m_reply.bytes.size());
    asio::async_write(m_socket, asio::buffer(m_reply.bytes.data(), first),
                      [self = shared_from_this(), first](
                          const error_code& error, std::size_t) {
                        self->m_reply.bytes.erase(0, first);
                        if (error) {
                          return;
                        }
                        self->m_timer.expires_after(self->m_reply.pause);
                        self->m_timer.async_wait(
                            [self](const error_code&) { self->WriteRest(); });
                      });
  }

  void WriteRest() {
    asio::async_write(
        m_socket, asio::buffer(m_reply.bytes),
        [self = shared_from_this()](const error_code& error, std::size_t) {
          self->OnWritten(error);
        });
  }

  void OnWritten(const error_code& error) {
    error_code ignored;
    if (error || m_reply.action == ConnectionAction::kClose ||
        (m_reply.action == ConnectionAction::kKeep && !m_keep_alive)) {
      m_socket.shutdown(tcp::socket::shutdown_both, ignored);
      m_socket.close(ignored);
      return;
    }
    if (m_reply.action == ConnectionAction::kReset) {
      m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
      m_socket.close(ignored);
      return;
    }
    if (m_reply.action == ConnectionAction::kHang) {
      m_self_reference = shared_from_this();
      return;
    }
    Read();
  }

  tcp::socket m_socket;
  asio::steady_timer m_timer;
  RequestHandler& m_handler;
  std::shared_ptr<std::size_t> m_connections;
  boost::beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::function<void()> m_on_disconnect;
  RawReply m_reply;
  /// Keeps this object, and so the connection, alive after `kHang`. It is never
  /// reset: the connection stays open until the process ends.
  std::shared_ptr<Session> m_self_reference;
  bool m_keep_alive = true;
  bool m_answered = false;
};

}  // namespace

RawReply MakeReply(unsigned status,
                   const std::string& body,
                   const std::string& extra_head) {
  return {"HTTP/1.1 " + std::to_string(status) + " " +
              std::string(http::obsolete_reason(http::int_to_status(status))) +
              "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
              extra_head + "\r\n" + body,
          ConnectionAction::kKeep};
}

std::string QueryParameter(const Request& request,
                           const std::string& key,
                           const std::string& fallback) {
  const auto found = request.query.find(key);
  return found == request.query.end() ? fallback : found->second;
}

long QueryNumber(const Request& request,
                 const std::string& key,
                 long fallback) {
  const std::string text = QueryParameter(request, key, "");
  return text.empty() ? fallback : std::strtol(text.c_str(), nullptr, 10);
}

HttpServer::HttpServer(asio::io_context& io,
                       const std::string& ip,
                       std::uint16_t port,
                       RequestHandler handler)
    : m_acceptor(io),
      m_handler(std::move(handler)),
      m_connections(std::make_shared<std::size_t>(0)) {
  const tcp::endpoint endpoint(asio::ip::make_address(ip), port);
  m_acceptor.open(endpoint.protocol());
  m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  m_acceptor.bind(endpoint);
  m_acceptor.listen(1024);
  Accept();
}

void HttpServer::Accept() {
  m_acceptor.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error) {
      return;
    }
    ++m_accepted;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<Session>(std::move(socket), m_handler, m_connections)
        ->Read();
    Accept();
  });
}

}  // namespace yuccamast::standin
