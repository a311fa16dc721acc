#include "http/caller_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "http/fields.h"
#include "http/read_limits.h"
#include "http/tcp_options.h"
#include "log/log.h"

namespace yuccamast {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// In kLingering: longest wait for the next input before the socket is closed.
constexpr std::chrono::seconds kLingerTime{2};

/// In a stop: longest wait for the first request of a new connection. Callers
/// connect in order to send, so it is on its way.
constexpr std::chrono::milliseconds kFirstRequestTime{300};

bool IsBodyTooLarge(const error_code& error) {
  return error == http::error::body_limit;
}

}  // namespace

CallerConnection::CallerConnection(boost::asio::ip::tcp::socket socket,
                                   const Dialect& dialect,
                                   MemoryBudget& budget,
                                   Metrics& metrics,
                                   const CallerHooks& hooks)
    : m_stream(std::move(socket)),
      m_timer(m_stream.get_executor()),
      m_dialect(dialect),
      m_limits(hooks.limits()),
      m_metrics(metrics),
      m_hooks(hooks),
      m_budget(budget),
      m_memory(budget),
      m_buffer(ReadBufferBytes(m_limits.max_head_bytes)) {
  SetTcpOptions(m_stream.socket(), m_limits.silence);
}

void CallerConnection::Start() {
  error_code error;
  const auto remote = m_stream.socket().remote_endpoint(error).address();
  const auto local = m_stream.socket().local_endpoint(error).address();
  m_from_own_vm = !error && (remote == local || remote.is_loopback());
  WaitForRequest();
}

void CallerConnection::WaitForRequest() {
  m_phase = Phase::kIdle;
  m_limits = m_hooks.limits();
  m_request_id.clear();
  if (m_buffer.size() > 0) {
    ReadHead();
    return;
  }
  // Waits for readability without a read buffer, so that idle connections
  // hold no buffer memory.
  m_buffer = beast::flat_buffer(ReadBufferBytes(m_limits.max_head_bytes));
  ArmIdleTimer(m_limits.idle_timeout);
  m_stream.socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const error_code& error) {
        self->OnRequestReadable(error);
      });
}

void CallerConnection::ArmIdleTimer(Duration limit) {
  m_timer.expires_after(limit);
  m_timer.async_wait([self = shared_from_this()](const error_code& error) {
    if (error || self->m_phase != Phase::kIdle) {
      return;
    }
    // If a settings reload raised the idle timeout during the wait, callers
    // may rely on the new value: wait for the difference.
    const Duration current_limit = self->m_hooks.limits().idle_timeout;
    if (!self->m_stopping && current_limit > self->m_limits.idle_timeout) {
      const Duration remaining = current_limit - self->m_limits.idle_timeout;
      self->m_limits.idle_timeout = current_limit;
      self->ArmIdleTimer(remaining);
      return;
    }
    self->CloseIfIdle();
  });
}

void CallerConnection::OnRequestReadable(const error_code& error) {
  m_timer.cancel();
  if (error || m_phase != Phase::kIdle) {
    Close();
    return;
  }
  ReadHead();
}

void CallerConnection::ReadHead() {
  m_phase = Phase::kReading;
  m_has_request = true;
  m_parser.emplace();
  m_parser->header_limit(static_cast<std::uint32_t>(m_limits.max_head_bytes));
  m_parser->body_limit(m_limits.max_body_bytes);
  ArmReadTimer(m_limits.head_timeout);
  http::async_read_header(
      m_stream, m_buffer, *m_parser,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->OnHead(error);
      });
}

void CallerConnection::ArmReadTimer(Duration limit) {
  // The timeout of tcp_stream would close the socket, so that no refusal could
  // be sent. This timer cancels the read only.
  m_timer.expires_after(limit);
  m_timer.async_wait([self = shared_from_this()](const error_code& error) {
    if (!error && self->m_phase == Phase::kReading) {
      self->m_timed_out = true;
      self->m_stream.cancel();
    }
  });
}

std::optional<RefusalReason> CallerConnection::ValidateHead() const {
  const auto& request = m_parser->get();
  const beast::string_view target = request.target();
  if (request.method() == http::verb::connect ||
      request.find(http::field::upgrade) != request.end()) {
    return RefusalReason::kUnsupported;
  }
  if (target.empty() || target.front() != '/') {
    return RefusalReason::kAmbiguousPath;
  }
  const auto count = [&](http::field field) {
    const auto range = request.equal_range(field);
    return std::distance(range.first, range.second);
  };
  const bool has_coding =
      request.find(http::field::transfer_encoding) != request.end();
  const bool has_length = count(http::field::content_length) > 0;
  if (count(http::field::host) > 1 ||
      (request.version() >= 11 && count(http::field::host) != 1) ||
      count(http::field::content_length) > 1 || (has_coding && has_length)) {
    return RefusalReason::kBadRequest;
  }
  const bool is_coding_supported =
      !has_coding ||
      (count(http::field::transfer_encoding) == 1 &&
       EqualIgnoreCase({request[http::field::transfer_encoding].data(),
                        request[http::field::transfer_encoding].size()},
                       "chunked"));
  if (!is_coding_supported) {
    return RefusalReason::kUnsupported;
  }
  return std::nullopt;
}

void CallerConnection::OnHead(const error_code& error) {
  if (m_phase == Phase::kClosed) {
    return;
  }
  if (error) {
    RefuseReadError(error);
    return;
  }
  m_transfer_began_at = Clock::now();
  m_request_fields = CopyFields(m_parser->get());
  m_http_version = m_parser->get().version();
  m_keep_alive = m_parser->get().keep_alive();
  m_is_head_method = m_parser->get().method() == http::verb::head;
  if (!m_dialect.request_id_field.empty()) {
    m_request_id = std::string(m_parser->get()[m_dialect.request_id_field]);
  }
  if (const auto reason = ValidateHead()) {
    Refuse(*reason);
    return;
  }
  const auto length = m_parser->content_length();
  if (length && !m_memory.GrowTo(static_cast<std::size_t>(*length))) {
    Refuse(RefusalReason::kMemoryFull);
    return;
  }
  const auto expect = m_parser->get()[http::field::expect];
  if (!expect.empty() && !m_parser->is_done()) {
    SendContinue();
    return;
  }
  ReadBody();
}

void CallerConnection::SendContinue() {
  static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  boost::asio::async_write(
      m_stream, boost::asio::buffer(kContinue),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        if (error) {
          self->Close();
          return;
        }
        self->ReadBody();
      });
}

void CallerConnection::ReadBody() {
  if (m_parser->is_done()) {
    OnBody({});
    return;
  }
  if (!m_parser->content_length()) {
    std::string& body = m_parser->get().body();
    const std::size_t capacity =
        GrownCapacity(body, std::nullopt, m_limits.max_body_bytes);
    if (!m_memory.GrowTo(capacity)) {
      Refuse(RefusalReason::kMemoryFull);
      return;
    }
    body.reserve(capacity);
  }
  ArmReadTimer(m_limits.body_timeout);
  http::async_read_some(
      m_stream, m_buffer, *m_parser,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->OnBody(error);
      });
}

void CallerConnection::OnBody(const error_code& error) {
  if (m_phase == Phase::kClosed) {
    return;
  }
  if (error) {
    RefuseReadError(error);
    return;
  }
  if (!m_parser->is_done()) {
    ReadBody();
    return;
  }
  HandleCall();
}

void CallerConnection::HandleCall() {
  m_phase = Phase::kHandling;
  m_timer.cancel();
  m_stream.expires_never();
  auto message = m_parser->release();
  m_parser.reset();
  CallerRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.fields = std::exchange(m_request_fields, {});
  request.body = std::move(message.body());
  request.memory = std::make_shared<MemoryReservation>(m_budget);
  request.memory->TakeFrom(m_memory);
  request.from_own_vm = m_from_own_vm;
  m_metrics.Add(Counter::kCallsReceived);
  m_call = m_hooks.handle_call(std::move(request),
                               [weak = weak_from_this()](CallerReply reply) {
                                 if (const auto self = weak.lock()) {
                                   self->OnReply(std::move(reply));
                                 }
                               });
  if (m_phase == Phase::kHandling) {
    WatchForDisconnect();
  } else {
    m_call = {};  // `handle_call` has called `done` already.
  }
}

void CallerConnection::WatchForDisconnect() {
  if (m_buffer.size() > 0) {
    // A pipelined request is buffered, so the caller expects the replies. A
    // disconnect is not noticed before the reply is written.
    return;
  }
  m_stream.socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const error_code& error) {
        self->OnReadableDuringCall(error);
      });
}

void CallerConnection::OnReadableDuringCall(const error_code& error) {
  if (m_phase != Phase::kHandling || error) {
    return;
  }
  char byte = 0;
  const ssize_t received = ::recv(m_stream.socket().native_handle(), &byte, 1,
                                  MSG_PEEK | MSG_DONTWAIT);
  const bool would_block = received < 0 && (errno == EAGAIN || errno == EINTR);
  if (received > 0) {
    return;  // A pipelined request; it stays in the kernel's socket buffer.
  }
  if (would_block) {
    WatchForDisconnect();
    return;
  }
  m_metrics.Add(Counter::kCallersGone);
  const CallHandle call = std::move(m_call);
  Close();
  if (call.on_caller_disconnect) {
    call.on_caller_disconnect();
  }
}

void CallerConnection::OnReply(CallerReply reply) {
  if (m_phase == Phase::kClosed) {
    return;
  }
  m_call = {};
  error_code ignored;
  m_stream.socket().cancel(ignored);
  const bool close = !m_keep_alive || m_hooks.leaving();
  if (auto* http_reply = std::get_if<HttpReply>(&reply.result)) {
    m_metrics.Add(Counter::kCallsAnswered);
    Write(BuildReply(std::move(*http_reply), reply.call_id), close);
  } else {
    const auto reason = std::get<RefusalReason>(reply.result);
    m_metrics.AddRefusal(reason);
    Write(BuildRefusal(reason, reply.call_id), close);
  }
}

void CallerConnection::RefuseReadError(const error_code& error) {
  if (m_closed_for_memory) {
    Refuse(RefusalReason::kMemoryFull);
  } else if (m_timed_out) {
    Refuse(RefusalReason::kRequestTimeout);
  } else if (error == http::error::header_limit ||
             error == http::error::buffer_overflow) {
    Refuse(RefusalReason::kHeadTooLarge);
  } else if (IsBodyTooLarge(error)) {
    Refuse(RefusalReason::kBodyTooLarge);
  } else if (error == http::error::end_of_stream ||
             error == http::error::partial_message ||
             error.category() == boost::asio::error::get_system_category() ||
             error.category() == boost::asio::error::get_misc_category()) {
    Close();
  } else {
    Refuse(RefusalReason::kBadRequest);
  }
}

void CallerConnection::Refuse(RefusalReason reason) {
  m_metrics.AddRefusal(reason);
  Log(LogLevel::kDebug, LogEvent::kCallerRefused,
      {{"reason", InfoOf(reason).name}});
  m_parser.reset();
  m_memory.Reset();
  Write(BuildRefusal(reason, ""), true);
}

void CallerConnection::RefuseAndClose(RefusalReason reason) {
  Refuse(reason);
}

void CallerConnection::Write(Response response, bool close) {
  m_phase = Phase::kWriting;
  m_timer.cancel();
  if (close) {
    response.set(http::field::connection, "close");
  } else if (m_http_version == 10) {
    response.set(http::field::connection, "keep-alive");
  }
  m_response.emplace(std::move(response));
  m_memory.SetTo(m_response->body().capacity(), MemoryUse::kWritten);
  m_transfer_began_at = Clock::now();
  m_close_after_write = close;
  m_serializer.emplace(*m_response);
  WriteSome();
}

void CallerConnection::WriteSome() {
  m_stream.expires_after(m_limits.write_timeout);
  http::async_write_some(
      m_stream, *m_serializer,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        if (!error && self->m_phase == Phase::kWriting &&
            !self->m_serializer->is_done()) {
          self->WriteSome();
          return;
        }
        self->OnWritten(error, self->m_close_after_write);
      });
}

MemoryHolder CallerConnection::memory_held() const {
  const bool is_held = m_phase == Phase::kReading || m_phase == Phase::kWriting;
  return {is_held ? m_memory.bytes() : 0, m_transfer_began_at};
}

void CallerConnection::CloseForMemory() {
  m_metrics.Add(Counter::kCallersClosedForMemory);
  if (m_phase == Phase::kReading) {
    m_closed_for_memory = true;
    m_stream.cancel();
  } else {
    Close();
  }
}

void CallerConnection::OnWritten(const error_code& error, bool close) {
  m_serializer.reset();
  m_response.reset();
  m_memory.Reset();
  if (m_phase == Phase::kClosed) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  if (close) {
    error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                               ignored);
    m_phase = Phase::kLingering;
    DiscardInput();
    return;
  }
  WaitForRequest();
  if (m_stopping) {
    Stop();
  }
}

void CallerConnection::DiscardInput() {
  // Lingering close: closing a socket with unread input makes the kernel send
  // RST, and the caller could lose the reply. Input is read and discarded until
  // the caller closes, nothing arrives for kLingerTime, or the largest body
  // size is exceeded.
  m_buffer.clear();
  m_stream.expires_after(kLingerTime);
  m_stream.async_read_some(
      m_buffer.prepare(kReadChunkBytes),
      [self = shared_from_this()](const error_code& error, std::size_t size) {
        self->m_discarded_bytes += size;
        if (error || self->m_phase == Phase::kClosed ||
            self->m_discarded_bytes > self->m_limits.max_body_bytes) {
          self->Close();
          return;
        }
        self->DiscardInput();
      });
}

void CallerConnection::Stop() {
  m_stopping = true;
  if (m_phase != Phase::kIdle) {
    return;
  }
  error_code error;
  const bool has_input = m_stream.socket().available(error) > 0;
  if (!error && has_input) {
    return;  // The pending wait reads the request.
  }
  if (m_has_request) {
    Close();
  } else {
    ArmIdleTimer(kFirstRequestTime);
  }
}

void CallerConnection::CloseIfIdle() {
  if (m_phase == Phase::kIdle) {
    Close();
  }
}

void CallerConnection::Close() {
  if (m_phase == Phase::kClosed) {
    return;
  }
  m_phase = Phase::kClosed;
  const auto self_guard = shared_from_this();
  m_timer.cancel();
  m_stream.close();
  m_hooks.on_closed(this);
}

}  // namespace yuccamast
