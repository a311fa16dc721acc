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
#include "metrics/metrics.h"
#include "yuccamast/clock.h"
#include "yuccamast/outcome/refusal.h"

/// \file caller_connection.h
/// One connection of a caller: strict HTTP/1.1, one request at a time.
///
/// A request is read whole before anything is done with it, and a reply is
/// whole before its first byte is sent, so a caller never sees the beginning
/// of an answer whose end got lost behind the entry. What could be understood
/// in two ways is refused and the connection closed. Pipelined requests wait
/// in the buffer and are answered in order.

namespace yuccamast {

/// A request that was read whole.
struct CallerRequest {
  std::string method;
  std::string target;
  std::vector<HttpField> fields;
  std::string body;
  bool from_own_vm = false;  ///< Its connection comes from the node's own VM.
};

/// What goes back: the upstream's reply or a refusal.
struct CallerReply {
  std::string call_id;
  std::variant<HttpReply, RefusalReason> result;
};

/// Bounds of the callers' side.
struct CallerLimits {
  std::size_t max_head_bytes = 16U << 10U;
  std::size_t max_body_bytes = 4U << 20U;
  Duration head_timeout = std::chrono::seconds(10);
  Duration body_timeout = std::chrono::seconds(30);
  Duration idle_timeout = std::chrono::seconds(75);
  Duration write_timeout = std::chrono::seconds(30);
  Duration silence = std::chrono::seconds(15);
  std::size_t max_connections = 12'000;
};

class CallerConnection;

/// A handle on a running call.
struct CallHandle {
  std::function<void()> on_caller_disconnect;  ///< Called at most once.
};

/// What a connection needs of the node. All hooks run on its thread.
struct CallerHooks {
  /// Runs a call; `done` is called exactly once unless `on_caller_disconnect`
  /// was.
  std::function<CallHandle(CallerRequest,
                           std::function<void(CallerReply)> done)>
      run;
  /// Whether replies should ask callers to close their connection.
  std::function<bool()> leaving;
  std::function<void(CallerConnection*)> on_closed;
  /// When a refused caller should come back.
  std::function<Duration()> retry_after;
  /// Bounds in force; read again for each request.
  std::function<CallerLimits()> limits;
};

/// Use from the thread of its io_context only.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   const Dialect& dialect,
                   MemoryBudget& budget,
                   Metrics& metrics,
                   const CallerHooks& hooks);

  /// Reads the first request. Call once.
  void Start();

  /// Closes the connection at once if it is idle between two requests, so
  /// that a stop need not wait for it.
  void CloseIfIdle();

  /// Refuses the connection as such and closes it.
  void RefuseAndClose(RefusalReason reason);

  bool idle() const { return m_phase == Phase::kIdle; }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  enum class Phase : std::uint8_t {
    kIdle,
    kReading,
    kRunning,
    kWriting,
    kLingering,
    kClosed
  };

  void WaitForRequest();
  void ArmIdleTimer(Duration limit);
  void OnReadable(const boost::system::error_code& error);
  void ArmReadTimer(Duration limit);
  void Linger();
  void ReadHead();
  void OnHead(const boost::system::error_code& error);
  void ReadBody();
  void OnBody(const boost::system::error_code& error);
  void SendContinue();
  void RunCall();
  void WatchCaller();
  void OnCallerSignal(const boost::system::error_code& error);
  void OnReply(CallerReply reply);
  void Write(Response response, bool close);
  void OnWritten(const boost::system::error_code& error, bool close);
  void RefuseParse(const boost::system::error_code& error);
  void Refuse(RefusalReason reason);
  Response BuildRefusal(RefusalReason reason, const std::string& call_id);
  Response BuildReply(HttpReply reply, const std::string& call_id);
  std::optional<RefusalReason> CheckHead() const;
  void Close();

  boost::beast::tcp_stream m_stream;
  boost::asio::steady_timer m_timer;
  const Dialect& m_dialect;
  CallerLimits m_limits;  ///< In force when the present request was awaited.
  Metrics& m_metrics;
  const CallerHooks& m_hooks;
  MemoryReservation m_memory;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  std::optional<Response> m_response;
  CallHandle m_call;
  Phase m_phase = Phase::kIdle;
  std::size_t m_lingered = 0;
  std::string m_caller_id;  ///< Of the present request, if callers give one.
  bool m_keep_alive = true;
  bool m_from_own_vm = false;
  bool m_timed_out = false;
  bool m_head_request = false;
  unsigned m_version = 11;
};

}  // namespace yuccamast
