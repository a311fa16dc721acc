#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "http/dialect.h"
#include "link/messages.h"
#include "metrics/metrics.h"
#include "yuccamast/clock.h"
#include "yuccamast/outcome/refusal.h"

/// \file upstream_pool.h
/// The exit's HTTP/1.1 connections to the upstream beside it.
///
/// A request is written to exactly one connection and never written again,
/// whatever happens to that connection: a second write could be a second run.
/// A kept connection is watched while it is idle and dropped when the upstream
/// closes it; a request only takes a kept connection that was used a moment
/// ago, otherwise a fresh one, since an older one may have gone silent. A reply
/// counts only when its end is proven by its length or its last chunk, or, if
/// the dialect allows, by the orderly end of its connection. A reply to another
/// request is read and dropped; its connection is not kept.

namespace yuccamast {

/// Bounds of the upstream's side.
struct UpstreamLimits {
  std::size_t max_connections = 250;
  std::size_t max_reply_bytes = 8U << 20U;
  std::size_t max_head_bytes = 32U << 10U;
  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration keep_idle = std::chrono::seconds(4);
  Duration proven_alive = std::chrono::milliseconds(200);
  /// A non-idempotent run whose deadline passed is left to finish this long.
  Duration overrun = std::chrono::seconds(3);
  /// A connection whose other end does not acknowledge is closed after this.
  Duration silence = std::chrono::seconds(3);
};

/// A request to the upstream.
struct UpstreamRequest {
  std::string method;
  std::string target;
  std::vector<HttpField> fields;
  std::string body;
  bool idempotent = false;
  std::string request_id;  ///< Of the attempt; replies are told apart by it.
};

/// What became of a run.
using UpstreamResult = std::variant<HttpReply, RefusalReason>;

/// Hooks of one run, called on the pool's thread.
struct UpstreamHooks {
  /// Called right before the first byte is written. False: do not write.
  std::function<bool()> start;
  /// The head of the reply was read.
  std::function<void()> reply_head;
  /// Called exactly once, unless `start` returned false.
  std::function<void(UpstreamResult)> done;
};

class UpstreamRun;

/// Connections to one upstream. Use from the thread of its io_context only.
class UpstreamPool {
 public:
  UpstreamPool(boost::asio::io_context& io,
               boost::asio::ip::tcp::endpoint endpoint,
               const UpstreamLimits& limits,
               const Dialect& dialect,
               Metrics& metrics);
  ~UpstreamPool();

  /// Runs a request. The handle lets the owner abort it.
  std::shared_ptr<UpstreamRun> Run(UpstreamRequest request,
                                   UpstreamHooks hooks);

  std::size_t connections() const { return m_open; }
  std::size_t idle_connections() const { return m_idle.size(); }
  boost::asio::ip::tcp::endpoint endpoint() const { return m_endpoint; }

  /// Closes the kept connections.
  void CloseIdle();

 private:
  friend class UpstreamRun;

  /// One connection and how long it has been idle.
  struct Connection {
    explicit Connection(boost::asio::io_context& io) : stream(io) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    TimePoint used_at;
    std::uint64_t lease = 0;  ///< Grows with each use; outdates watches.
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  ConnectionPtr TakeIdle();
  void Keep(const ConnectionPtr& connection);
  void Watch(const ConnectionPtr& connection);
  void Drop(const ConnectionPtr& connection);

  boost::asio::io_context& m_io;
  const boost::asio::ip::tcp::endpoint m_endpoint;
  const UpstreamLimits& m_limits;
  const Dialect& m_dialect;
  Metrics& m_metrics;
  std::list<ConnectionPtr> m_idle;  ///< Most recently used first.
  std::size_t m_open = 0;
};

/// One request on its way. Use from the pool's thread only.
class UpstreamRun : public std::enable_shared_from_this<UpstreamRun> {
 public:
  UpstreamRun(UpstreamPool& pool, UpstreamRequest request, UpstreamHooks hooks);

  /// Closes the connection; `done` is not called any more. The upstream sees
  /// the close, which is its sign to cancel.
  void Abort();

 private:
  friend class UpstreamPool;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  using Message = boost::beast::http::request<boost::beast::http::string_body>;

  void Begin();
  void Connect();
  void Write();
  void ReadHead();
  void OnHead(const boost::system::error_code& error);
  void ReadBody();
  void OnBody(const boost::system::error_code& error);
  void Succeed();
  bool IsFramed() const;
  HttpReply TakeReply();
  void Judge(HttpReply reply, bool may_follow, bool keep);
  void Release(bool keep);
  void Fail(RefusalReason reason);
  void BuildMessage();
  RefusalReason ReasonOf(const boost::system::error_code& error) const;

  UpstreamPool& m_pool;
  UpstreamRequest m_request;
  UpstreamHooks m_hooks;
  UpstreamPool::ConnectionPtr m_connection;
  Message m_message;
  std::optional<Parser> m_parser;
  bool m_written = false;
  bool m_over = false;
  std::size_t m_foreign = 0;  ///< Replies to other requests, read and dropped.
};

}  // namespace yuccamast
