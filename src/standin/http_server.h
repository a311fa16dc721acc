#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

/// \file http_server.h
/// A small asynchronous HTTP/1.1 server for the test doubles ("stand-ins") of
/// this folder.
///
/// A request is read completely, with a body of up to 64 MiB, and given to the
/// handler, which answers by a callback, at once or later. The reply is raw
/// bytes that are written as given: a handler can send a reply that is cut
/// short or malformed, pause within it, and close, reset or hang the connection
/// afterwards.
///
/// Requests of one connection are handled one after another. Everything runs on
/// the io_context and is not thread-safe: a single thread must run it.

namespace yuccamast::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A completely received request.
struct Request {
  std::string method;
  std::string path;                           ///< Without the query.
  std::map<std::string, std::string> query;   ///< Not percent-decoded.
  std::map<std::string, std::string> fields;  ///< Names in lower case.
  std::string body;
};

/// What happens to the connection after the bytes of a reply are written. A
/// write error closes it in any case.
enum class ConnectionAction : std::uint8_t {
  kKeep,   ///< Reads the next request; closes if `Connection: close` was sent.
  kClose,  ///< Shuts it down and closes it.
  kReset,  ///< Closes it by a reset (RST).
  kHang    ///< Leaves it open and neither reads nor writes any more.
};

/// A reply as it is written to the connection.
struct RawReply {
  std::string bytes;  ///< Status line, fields and body.
  ConnectionAction action = ConnectionAction::kKeep;
  /// If not 0, this many bytes are sent, then a pause, then the rest.
  std::size_t first_bytes = 0;
  std::chrono::milliseconds pause{0};
};

/// Sends the reply to a request. Call it at most once for each request.
using ReplyCallback = std::function<void(RawReply)>;

/// Handles one request. It may set `*on_disconnect` before it returns; that
/// function is called at most once, if the caller closes the connection (or
/// sends further bytes) before the reply. The pointer must not be used after
/// the handler has returned.
using RequestHandler = std::function<
    void(const Request&, ReplyCallback, std::function<void()>* on_disconnect)>;

/// Makes a well-formed reply with a Content-Length field. `extra_head` holds
/// further field lines, each ended by CR LF.
RawReply MakeReply(unsigned status,
                   const std::string& body,
                   const std::string& extra_head = "");

/// Returns the value of a query parameter, or `fallback` if it is missing.
std::string QueryParameter(const Request& request,
                           const std::string& key,
                           const std::string& fallback);

/// Returns a query parameter as a decimal number, or `fallback` if it is
/// missing or empty. Text that is no number counts as 0.
long QueryNumber(const Request& request, const std::string& key, long fallback);

/// Accepts connections as soon as it is constructed. Must outlive the run of
/// the io_context.
class HttpServer {
 public:
  /// Binds and listens. Throws boost::system::system_error if `ip` is not an
  /// address or the port cannot be bound.
  HttpServer(asio::io_context& io,
             const std::string& ip,
             std::uint16_t port,
             RequestHandler handler);

  /// Connections that are open now.
  std::size_t connections() const { return *m_connections; }
  /// Connections accepted since the start.
  std::uint64_t accepted() const { return m_accepted; }

 private:
  void Accept();

  tcp::acceptor m_acceptor;
  RequestHandler m_handler;
  /// Shared with the connections, which may outlive this server.
  std::shared_ptr<std::size_t> m_connections;
  std::uint64_t m_accepted = 0;
};

}  // namespace yuccamast::standin
