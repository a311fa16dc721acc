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

constexpr std::uint64_t kMaxBody = 64U << 20U;

void ParseTarget(const std::string& target, Request& request) {
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark == std::string::npos) {
    return;
  }
  std::string rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string item = rest.substr(0, end);
    const std::size_t equal = std::min(item.find('='), item.size());
    request.query[item.substr(0, equal)] =
        equal < item.size() ? item.substr(equal + 1) : "";
    rest.erase(0, end + 1);
  }
}

class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket,
          Handler& handler,
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

  void Read() {
    m_parser.emplace();
    m_parser->body_limit(kMaxBody);
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
    m_keep = message.keep_alive();
    m_answered = false;
    m_gone = nullptr;
    m_handler(
        request,
        [self = shared_from_this()](RawReply reply) {
          self->Write(std::move(reply));
        },
        &m_gone);
    if (m_gone && !m_answered) {
      Watch();
    }
  }

  void Watch() {
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const error_code& error) {
                          if (!error && !self->m_answered && self->m_gone) {
                            const auto gone = std::move(self->m_gone);
                            self->m_gone = nullptr;
                            gone();
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
    if (error || m_reply.after == After::kClose ||
        (m_reply.after == After::kKeep && !m_keep)) {
      m_socket.shutdown(tcp::socket::shutdown_both, ignored);
      m_socket.close(ignored);
      return;
    }
    if (m_reply.after == After::kReset) {
      m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
      m_socket.close(ignored);
      return;
    }
    if (m_reply.after == After::kHang) {
      m_hang = shared_from_this();
      return;
    }
    Read();
  }

  tcp::socket m_socket;
  asio::steady_timer m_timer;
  Handler& m_handler;
  std::shared_ptr<std::size_t> m_connections;
  boost::beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::function<void()> m_gone;
  RawReply m_reply;
  std::shared_ptr<Session> m_hang;
  bool m_keep = true;
  bool m_answered = false;
};

}  // namespace

RawReply Reply(unsigned status,
               const std::string& body,
               const std::string& extra_head) {
  return {"HTTP/1.1 " + std::to_string(status) + " " +
              std::string(http::obsolete_reason(http::int_to_status(status))) +
              "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
              extra_head + "\r\n" + body,
          After::kKeep};
}

std::string Param(const Request& request,
                  const std::string& key,
                  const std::string& otherwise) {
  const auto found = request.query.find(key);
  return found == request.query.end() ? otherwise : found->second;
}

long Number(const Request& request, const std::string& key, long otherwise) {
  const std::string text = Param(request, key, "");
  return text.empty() ? otherwise : std::strtol(text.c_str(), nullptr, 10);
}

HttpServer::HttpServer(asio::io_context& io,
                       const std::string& ip,
                       std::uint16_t port,
                       Handler handler)
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
