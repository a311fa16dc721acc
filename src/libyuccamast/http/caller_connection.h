#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "http/dialect.h"
#include "http/memory_budget.h"
#include "link/messages.h"
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
/// Requests are handled one at a time. Pipelined requests stay in the receive
/// buffer and are answered in order.
///
/// Parsing is strict, as a protection against request smuggling. A request is
/// refused and the connection closed if the request has several `Host` or
/// `Content-Length` fields, has both `Content-Length` and `Transfer-Encoding`,
/// lacks the `Host` field that HTTP/1.1 requires, or has a target that does not
/// begin with a slash. Requests with `CONNECT`, `Upgrade` or a transfer coding
/// other than `chunked` are refused as unsupported, and the connection is
/// closed too.
///
/// States (`Phase`): kIdle (waiting for the first byte of a request), kReading
/// (head and body), kHandling (the node handles the call), kWriting, then kIdle
/// again, or kLingering and kClosed. In kLingering the write side is shut down
/// and input is discarded, see `DiscardInput`.

namespace yuccamast {

/// A complete request of a caller.
struct CallerRequest {
  std::string method;
  std::string target;
  std::vector<HttpField> fields;
  std::string body;
  std::shared_ptr<MemoryReservation> memory;  ///< For the body; may be null.
  bool from_own_vm = false;  ///< The connection comes from the node's own VM.
};

/// Answer to a caller: the upstream's reply or a refusal.
struct CallerReply {
  std::string call_id;  ///< Value of `Yuccamast-Call-Id`; may be empty.
  std::variant<HttpReply, RefusalReason> result;
};

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
};

class CallerConnection;

/// Lets a connection tell the node that the caller disconnected during its
/// call.
struct CallHandle {
  /// Called at most once, when the caller closes or resets its connection.
  std::function<void()> on_caller_disconnect;
};

/// Callbacks into the node, called on the connection's thread. They must stay
/// valid until the connection is destroyed.
struct CallerHooks {
  /// Handles a call. `done` must be called exactly once, on the connection's
  /// thread, before or after `handle_call` returns; after
  /// `on_caller_disconnect` it need not be called and has no effect.
  std::function<CallHandle(CallerRequest,
                           std::function<void(CallerReply)> done)>
      handle_call;
  /// Whether the node is leaving; replies then carry `Connection: close`.
  std::function<bool()> leaving;
  /// Called once, when the connection was closed. The owner may release it.
  std::function<void(CallerConnection*)> on_closed;
  /// Value for the `Retry-After` field of a refusal.
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

  /// Bytes of a body that is being read or of a reply that is being written;
  /// none in other states, in which the caller does not keep them.
  MemoryHolder memory_held() const;

  /// Gives back what `memory_held` tells: refuses the request that is being
  /// read, which was not run, or closes.
  void CloseForMemory();

  /// Whether the connection waits for a request.
  bool idle() const { return m_phase == Phase::kIdle; }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  using Serializer =
      boost::beast::http::response_serializer<boost::beast::http::string_body>;

  enum class Phase : std::uint8_t {
    kIdle,
    kReading,
    kHandling,
    kWriting,
    kLingering,
    kClosed
  };

  void WaitForRequest();
  void ArmIdleTimer(Duration limit);
  void CloseIfIdle();
  void OnRequestReadable(const boost::system::error_code& error);
  void ArmReadTimer(Duration limit);
  void DiscardInput();
  void ReadHead();
  void OnHead(const boost::system::error_code& error);
  void ReadBody();
  void OnBody(const boost::system::error_code& error);
  void SendContinue();
  void HandleCall();
  void WatchForDisconnect();
  void OnReadableDuringCall(const boost::system::error_code& error);
  void OnReply(CallerReply reply);
  void Write(Response response, bool close);
  void WriteSome();
  void OnWritten(const boost::system::error_code& error, bool close);
  void RefuseReadError(const boost::system::error_code& error);
  void Refuse(RefusalReason reason);
  Response BuildRefusal(RefusalReason reason, const std::string& call_id);
  Response BuildReply(HttpReply reply, const std::string& call_id);
  std::optional<RefusalReason> ValidateHead() const;
  void Close();

  boost::beast::tcp_stream m_stream;
  boost::asio::steady_timer m_timer;
  const Dialect& m_dialect;
  CallerLimits m_limits;  ///< Read when the wait for this request began.
  Metrics& m_metrics;
  const CallerHooks& m_hooks;
  MemoryBudget& m_budget;
  MemoryReservation m_memory;  ///< For the body or reply under way.
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  std::optional<Response> m_response;
  std::optional<Serializer> m_serializer;  ///< Of `m_response`.
  TimePoint m_transfer_began_at{};         ///< Of the body or reply under way.
  CallHandle m_call;
  Phase m_phase = Phase::kIdle;
  std::size_t m_discarded_bytes = 0;        ///< Read in kLingering.
  std::vector<HttpField> m_request_fields;  ///< Of the head.
  std::string m_request_id;  ///< From `Dialect::request_id_field`, or empty.
  bool m_keep_alive = true;
  bool m_close_after_write = false;
  bool m_stopping = false;     ///< `Stop` was called.
  bool m_has_request = false;  ///< At least one request has begun to arrive.
  bool m_from_own_vm = false;
  bool m_timed_out = false;          ///< The read timer cancelled the read.
  bool m_closed_for_memory = false;  ///< `CloseForMemory` cancelled the read.
  bool m_is_head_method = false;
  unsigned m_http_version = 11;  ///< As in Beast: 10 or 11.
};

}  // namespace yuccamast
