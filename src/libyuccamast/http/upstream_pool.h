#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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
#include "http/read_limits.h"
#include "http/reply_head.h"
#include "link/messages.h"
#include "memory/memory_budget.h"
#include "metrics/metrics.h"
#include "yuccamast/clock.h"
#include "yuccamast/outcome/refusal.h"

/// \file upstream_pool.h
/// Client-side HTTP/1.1 connection pool of the exit for the upstream beside it.
///
/// `UpstreamPool` keeps idle connections in LIFO order; `UpstreamRun` sends one
/// request and delivers one complete reply or a refusal reason.
///
/// At most once: a request is written to exactly one connection and never
/// resent, whatever happens to that connection, since a second write could be a
/// second run.
///
/// Reuse: an idle connection is watched and closed when the upstream closes it
/// or sends unrequested bytes. A request reuses a connection only if it was
/// last used within `UpstreamLimits::proven_alive`; the path of an older one
/// may have been lost without notice, so a new connection is opened instead.
///
/// Completeness: a reply that may have a body (not to HEAD, not status 204 or
/// 304) is accepted only if its end is known from `Content-Length` or the last
/// chunk, or, if `Dialect::accepts_close_delimited` is set, from an orderly
/// close; a close does not count as orderly if writing the request failed. A
/// reply to another request (`ReplyClass::kOtherRequest`) is read and
/// discarded, up to three times a run, and its connection is not reused.
///
/// Validity: a reply whose head is not valid HTTP (see reply_head.h) fails with
/// kReplyIncomplete.
///
/// Memory: a reply takes at most `UpstreamLimits::max_reply_bytes` for its body
/// and `ReadBufferBytes` for everything else. One that needs more fails with
/// kReplyTooLarge or kReplyIncomplete, and its connection is closed. The memory
/// for a body is reserved before it is read. Without room, reading waits for up
/// to `UpstreamLimits::room_wait`, then the run fails with kReplyTooLarge.

namespace yuccamast {

/// Limits of the connections to the upstream.
struct UpstreamLimits {
  std::size_t max_connections = 250;
  std::size_t max_reply_bytes = 8U << 20U;
  std::size_t max_head_bytes = 32U << 10U;
  Duration connect_timeout = std::chrono::milliseconds(500);
  /// A connection idle for longer than this is closed at the next request.
  Duration keep_idle = std::chrono::seconds(4);
  /// A connection is reused only this long after its last use.
  Duration proven_alive = std::chrono::milliseconds(200);
  /// Additional time after its deadline in which a non-idempotent run may still
  /// finish before it is aborted. Applied by the owner of the pool.
  Duration overrun = std::chrono::seconds(3);
  /// A connection whose other end acknowledges nothing for about this long is
  /// closed by the kernel, see `SetTcpOptions`.
  Duration silence = std::chrono::seconds(3);
  /// A reply is left unread for at most this long while memory is short; then
  /// it fails.
  Duration room_wait = std::chrono::seconds(1);
};

/// A request to the upstream.
struct UpstreamRequest {
  std::string method;
  std::string target;
  std::vector<HttpField> fields;
  std::string body;
  bool idempotent = false;
  std::string request_id;  ///< Matches replies with requests; may be empty.
};

/// Result of a run: the complete reply, or why there is none.
using UpstreamResult = std::variant<HttpReply, RefusalReason>;

/// Hooks of one run, called on the pool's thread. None is called after
/// `UpstreamRun::Abort`.
struct UpstreamHooks {
  /// Called at most once, immediately before the first byte is written; not
  /// called if no connection could be made. False: the request is not written,
  /// and the connection goes back to the pool.
  std::function<bool()> start;
  /// The head of a final (not 1xx) reply was read. Called for each such reply,
  /// also for one to another request, which is then discarded.
  std::function<void()> reply_head;
  /// A complete reply to this request was read, also one that states that the
  /// request was not run. Called before `done`. May be empty.
  std::function<void(const HttpReply&)> reply_read;
  /// Called exactly once, unless `start` returned false or the run was
  /// aborted.
  std::function<void(UpstreamResult)> done;
};

class UpstreamRun;

/// Connections to one upstream. Not thread-safe: used only on the thread of its
/// io_context. It must outlive its runs and pending handlers; `limits`,
/// `dialect` and `metrics` must outlive it.
class UpstreamPool {
 public:
  UpstreamPool(boost::asio::io_context& io,
               boost::asio::ip::tcp::endpoint endpoint,
               const UpstreamLimits& limits,
               const Dialect& dialect,
               Metrics& metrics,
               MemoryBudget& budget = MemoryBudget::Unlimited());
  ~UpstreamPool();

  /// Starts a request on an idle or a new connection. The returned handle lets
  /// the owner abort it. `hooks.done` is never called before this returns. If
  /// the pool is full or the upstream does not accept, the result is
  /// kUpstreamUnreachable.
  std::shared_ptr<UpstreamRun> Run(UpstreamRequest request,
                                   UpstreamHooks hooks);

  /// Open connections: idle, in use or connecting.
  std::size_t connections() const { return m_open_connections; }
  std::size_t idle_connections() const { return m_idle.size(); }
  boost::asio::ip::tcp::endpoint endpoint() const { return m_endpoint; }

  /// Closes the idle connections; those in use stay.
  void CloseIdle();

 private:
  friend class UpstreamRun;

  /// One connection and the time of its last use.
  struct Connection {
    Connection(boost::asio::io_context& io, const UpstreamLimits& limits)
        : stream(io), buffer(ReadBufferBytes(limits.max_head_bytes)) {}
    boost::beast::tcp_stream stream;
    ReplyBuffer buffer;
    TimePoint last_used_at;
    /// Incremented when the connection is taken or closed, so that a pending
    /// `WatchIdle` handler of an earlier idle period is ignored.
    std::uint64_t use_count = 0;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  ConnectionPtr TakeIdle();
  void ReturnIdle(const ConnectionPtr& connection);
  void WatchIdle(const ConnectionPtr& connection);
  void CloseConnection(const ConnectionPtr& connection);

  boost::asio::io_context& m_io;
  const boost::asio::ip::tcp::endpoint m_endpoint;
  const UpstreamLimits& m_limits;
  const Dialect& m_dialect;
  Metrics& m_metrics;
  MemoryBudget& m_budget;
  std::list<ConnectionPtr> m_idle;  ///< Most recently used first.
  std::size_t m_open_connections = 0;
};

/// One request to the upstream; made by `UpstreamPool::Run`. Not thread-safe:
/// used only on the pool's thread.
class UpstreamRun : public std::enable_shared_from_this<UpstreamRun> {
 public:
  UpstreamRun(UpstreamPool& pool, UpstreamRequest request, UpstreamHooks hooks);

  /// Reserves the expected size of the reply ahead, whatever the limit says.
  void ExpectReply(std::size_t bytes) {
    m_memory.SetTo(bytes, MemoryUse::kReply);
  }

  /// Closes the connection, which tells the upstream to cancel. No hook is
  /// called any more. Does nothing if the run is over.
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
  /// Reserves what the next read needs. Returns false without room.
  bool ReserveBody();
  void WaitForRoom();
  void OnBody(const boost::system::error_code& error);
  void OnReplyComplete();
  bool IsFramed() const;
  HttpReply TakeReply();
  void HandleReply(HttpReply reply, bool more_may_follow, bool reusable);
  void FinishConnection(bool reusable);
  void Fail(RefusalReason reason);
  void BuildMessage();
  RefusalReason RefusalFor(const boost::system::error_code& error) const;

  UpstreamPool& m_pool;
  UpstreamRequest m_request;
  UpstreamHooks m_hooks;
  UpstreamPool::ConnectionPtr m_connection;
  Message m_message;
  MemoryReservation m_memory;  ///< For the body of the reply.
  boost::asio::steady_timer m_room_timer;
  TimePoint m_room_wanted_at{};  ///< Epoch of the clock: not waiting.
  std::optional<Parser> m_parser;
  HttpReply m_reply;       ///< Set when its head was read, but for the body.
  bool m_written = false;  ///< The whole request was written.
  bool m_write_failed = false;  ///< Writing it ended with an error.
  bool m_finished =
      false;  ///< Reply delivered, failed, not started or aborted.
  std::size_t m_skipped_replies = 0;  ///< Replies to other requests.
};

}  // namespace yuccamast
