#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/caller_request.h"
#include "http/dialect.h"
#include "http/memory_budget.h"
#include "http/pipeline.h"
#include "memory/holder_choice.h"
#include "metrics/metrics.h"
#include "yuccamast/clock.h"
#include "yuccamast/outcome/refusal.h"

/// \file caller_connection.h
/// Server side of one HTTP/1.0 or HTTP/1.1 connection from a caller.
///
/// Input: an accepted socket. Each request is read completely, passed to
/// `CallerHooks::handle_call` as a `CallerRequest`, and answered with the reply
/// or the refusal that the hook delivers. Requests and replies are buffered
/// whole (store and forward): a reply is written only after it is complete, so
/// that the loss of a peer or an upstream never leaves a caller with a
/// truncated reply.
///
/// Pipelined requests are read on while earlier ones are unanswered, up to
/// bounds in number and bytes; beyond these the connection is not read. Their
/// calls run at once as far as `Pipeline` allows, and the replies are written
/// in the order of the requests.
///
/// A caller that disconnects cancels all its calls. While input is left unread,
/// the kernel does not report the disconnect as readable, so the socket is
/// polled for it.
///
/// Parsing is strict, as a protection against request smuggling. A request is
/// refused and the connection closed if the request has several `Host` or
/// `Content-Length` fields, has both `Content-Length` and `Transfer-Encoding`,
/// lacks the `Host` field that HTTP/1.1 requires, or has a target that does not
/// begin with a slash. Requests with `CONNECT`, `Upgrade` or a transfer coding
/// other than `chunked` are refused as unsupported, and the connection is
/// closed too.
///
/// States (`Phase`): kOpen, kLingering and kClosed. In kLingering the write
/// side is shut down and input is discarded, see `DiscardInput`. Each request
/// has a step of its own, see `PendingRequest`.
///
/// The input is read by waiting for readability and reading without blocking,
/// so that a timeout of the reading need not cancel the operations of the
/// socket, of which a write may be one.

namespace yuccamast {

/// Limits of the callers' connections.
struct CallerLimits {
  std::size_t max_head_bytes = 16U << 10U;
  std::size_t max_body_bytes = 4U << 20U;
  /// From the first byte of a request to the end of its head.
  Duration head_timeout = std::chrono::seconds(10);
  /// For each read of the body, not for the body as a whole.
  Duration body_timeout = std::chrono::seconds(30);
  /// While waiting for the first or the next request.
  Duration idle_timeout = std::chrono::seconds(75);
  /// Longest time in which the caller takes no byte of a reply.
  Duration write_timeout = std::chrono::seconds(30);
  /// A connection whose other end acknowledges nothing for about this long is
  /// closed by the kernel, see `SetTcpOptions`.
  Duration silence = std::chrono::seconds(15);
  /// Open connections of all entry threads; enforced by the owner, which
  /// refuses further ones with `RefuseAndClose`.
  std::size_t max_connections = 12'000;
  /// Unanswered requests of one connection that are read.
  std::size_t max_pipelined = 32;
  /// Bytes of these and of replies that wait for their turn; while more are
  /// held, no further request is read.
  std::size_t max_pipelined_bytes = 4U << 20U;
};

class CallerConnection;

/// Callbacks into the node, called on the connection's thread. They must stay
/// valid until the connection is destroyed.
struct CallerHooks {
  /// Handles a call. `done` must be called on the connection's thread, before
  /// or after `handle_call` returns. Only its first call has an effect, and
  /// none after `on_caller_disconnect`, when it need not be called.
  std::function<CallHandle(CallerRequest,
                           std::function<void(CallerReply)> done)>
      handle_call;
  /// Whether a request may run beside unanswered ones before it: whether it is
  /// idempotent and has no body. Without the hook, none may.
  std::function<bool(const CallerRequest&)> may_overlap;
  /// Whether the node is leaving; replies then carry `Connection: close`.
  std::function<bool()> leaving;
  /// Called once, when the connection was closed. The owner may release it.
  std::function<void(CallerConnection*)> on_closed;
  /// Value for the `Retry-After` field of a refusal that names none.
  std::function<Duration()> retry_after;
  /// Current limits; read again for each request.
  std::function<CallerLimits()> limits;
};

/// See the file comment. Not thread-safe: used only on the thread of the
/// socket's io_context. `dialect`, `budget`, `metrics` and `hooks` must outlive
/// the connection.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   const Dialect& dialect,
                   MemoryBudget& budget,
                   Metrics& metrics,
                   const CallerHooks& hooks);

  /// Starts to wait for the first request. Call once, on a connected socket.
  void Start();

  /// Ends the connection for a stopping node as soon as nothing is lost by it:
  /// a request that has arrived, also one that was not read yet, is still
  /// handled, and a new connection may send its first request for a short time.
  /// No further request is taken after that. Precondition: `Start` was called.
  void Stop();

  /// Answers with a refusal without reading a request, then closes. Call
  /// instead of `Start`.
  void RefuseAndClose(RefusalReason reason);

  /// Bytes of a body that is being read and of replies, if one is being
  /// written; none in other states, in which the caller does not keep them.
  MemoryHolder memory_held() const;

  /// Gives back what `memory_held` tells: refuses the request that is being
  /// read, which was not run, or closes.
  void CloseForMemory();

  /// Whether the connection waits for a request.
  bool idle() const { return m_phase == Phase::kOpen && m_pipeline.empty(); }
  /// The requests that are not answered yet.
  const Pipeline& pipeline() const { return m_pipeline; }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  using Serializer =
      boost::beast::http::response_serializer<boost::beast::http::string_body>;

  enum class Phase : std::uint8_t { kOpen, kLingering, kClosed };

  // Reading, in caller_input.cpp.

  /// Whether input is read now; otherwise it stays in the kernel.
  bool MayRead() const;
  /// Handles the buffered input as far as it goes, then waits for more.
  void ReadOn();
  void WaitForInput();
  void WaitForReadable();
  void OnReadable(const boost::system::error_code& error);
  void Receive();
  /// Returns false if more input is needed.
  bool ParseSome();
  /// Reserves and allocates room for the next part of a body of unknown length.
  bool ReserveBody();
  void BeginRequest();
  void OnHead();
  void OnRequest();
  std::optional<RefusalReason> ValidateHead() const;
  void ArmReadTimer(Duration limit);
  /// Looks for a disconnect without reading.
  void WatchForDisconnect();
  void ArmWatchTimer();
  void RefuseReadError(const boost::system::error_code& error);
  void DiscardInput();

  // Calls and replies.

  void ArmIdleTimer(Duration limit);
  /// Whether `m_timer` ran out and was not set anew in the meantime.
  bool IsTimerDue(const boost::system::error_code& error) const;
  void StartCalls();
  void StartCall(PendingRequest& request);
  void OnReply(std::uint64_t id, CallerReply reply);
  void WriteNext();
  void WriteSome();
  void ArmWriteTimer();
  void OnWritten(const boost::system::error_code& error);
  void SendContinue();
  void OnContinueSent(const boost::system::error_code& error);
  /// Refuses the request that is being read.
  void Refuse(RefusalReason reason);
  void Linger();
  void OnCallerLeft();
  void CancelCalls();
  void Close();

  // In caller_reply.cpp.

  /// Precondition: `refusal` holds a reason.
  Response BuildRefusal(const CallerReply& refusal,
                        const PendingRequest& request);
  Response BuildReply(HttpReply reply,
                      const std::string& call_id,
                      const PendingRequest& request);

  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_timer;  ///< Of the reading, and while idle.
  boost::asio::steady_timer m_write_timer;
  const Dialect& m_dialect;
  CallerLimits m_limits;  ///< Read when the last request began.
  Metrics& m_metrics;
  const CallerHooks& m_hooks;
  MemoryBudget& m_budget;
  Pipeline m_pipeline;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;      ///< Of the request that is being read.
  std::optional<Response> m_response;  ///< While it is written.
  std::optional<Serializer> m_serializer;  ///< Of `m_response`.
  TimePoint m_body_began_at{};
  TimePoint m_write_began_at{};
  Phase m_phase = Phase::kOpen;
  std::size_t m_discarded_bytes = 0;  ///< Read in kLingering.
  bool m_is_waiting = false;          ///< A wait for readability is pending.
  bool m_is_writing = false;          ///< A reply or an interim one.
  /// The request being read expects an interim reply, which has not been sent.
  bool m_awaits_continue = false;
  bool m_caller_left = false;  ///< The input has ended; a reply is written.
  bool m_stopping = false;     ///< `Stop` was called.
  bool m_has_request = false;  ///< At least one request has begun to arrive.
  bool m_from_own_vm = false;
};

}  // namespace yuccamast
