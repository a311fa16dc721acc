#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

/// \file http_server.h
/// A small HTTP/1.1 server for stand-ins. It can answer badly on purpose: a
/// handler gives the raw bytes of the reply, which may be cut or wrong.

namespace yuccamast::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A request that was read whole.
struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> fields;  ///< Names in lower case.
  std::string body;
};

/// What happens to the connection after the bytes are written.
enum class After : std::uint8_t { kKeep, kClose, kReset, kHang };

struct RawReply {
  std::string bytes;
  After after = After::kKeep;
  /// If not 0, this many bytes are sent, then a pause, then the rest.
  std::size_t first_bytes = 0;
  std::chrono::milliseconds pause{0};
};

using Respond = std::function<void(RawReply)>;
/// `gone` may be set to be told that the peer closed before the reply.
using Handler =
    std::function<void(const Request&, Respond, std::function<void()>* gone)>;

/// A well-formed reply.
RawReply Reply(unsigned status,
               const std::string& body,
               const std::string& extra_head = "");

/// Value of a query parameter or a number, with a default.
std::string Param(const Request& request,
                  const std::string& key,
                  const std::string& otherwise);
long Number(const Request& request, const std::string& key, long otherwise);

/// Serves on one io_context.
class HttpServer {
 public:
  HttpServer(asio::io_context& io,
             const std::string& ip,
             std::uint16_t port,
             Handler handler);

  std::size_t connections() const { return *m_connections; }
  std::uint64_t accepted() const { return m_accepted; }

 private:
  void Accept();

  tcp::acceptor m_acceptor;
  Handler m_handler;
  std::shared_ptr<std::size_t> m_connections;
  std::uint64_t m_accepted = 0;
};

}  // namespace yuccamast::standin
