#include "http/caller_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

#include "http/read_limits.h"
#include "http/tcp_options.h"
#include "log/log.h"

namespace yuccamast {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// In a stop: longest wait for the first request of a new connection. Callers
/// connect in order to send, so it is on its way.
constexpr std::chrono::milliseconds kFirstRequestTime{300};

}  // namespace

CallerConnection::CallerConnection(tcp::socket socket,
                                   const Dialect& dialect,
                                   MemoryBudget& budget,
                                   Metrics& metrics,
                                   const CallerHooks& hooks)
    : m_socket(std::move(socket)),
      m_timer(m_socket.get_executor()),
      m_write_timer(m_socket.get_executor()),
      m_dialect(dialect),
      m_limits(hooks.limits()),
      m_metrics(metrics),
      m_hooks(hooks),
      m_budget(budget),
      m_pipeline(budget),
      m_buffer(ReadBufferBytes(m_limits.max_head_bytes)) {
  SetTcpOptions(m_socket, m_limits.silence);
  error_code ignored;
  m_socket.non_blocking(true, ignored);
}

void CallerConnection::Start() {
  error_code error;
  const auto remote = m_socket.remote_endpoint(error).address();
  const auto local = m_socket.local_endpoint(error).address();
  m_from_own_vm = !error && (remote == local || remote.is_loopback());
  ReadOn();
}

void CallerConnection::ArmIdleTimer(Duration limit) {
  m_timer.expires_after(limit);
  m_timer.async_wait([self = shared_from_this()](const error_code& error) {
    if (!self->IsTimerDue(error) || !self->idle()) {
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
    self->Close();
  });
}

void CallerConnection::StartCalls() {
  PendingRequest* request = m_pipeline.NextToStart(m_hooks.leaving());
  while (request != nullptr) {
    StartCall(*request);
    request = m_pipeline.NextToStart(m_hooks.leaving());
  }
}

void CallerConnection::StartCall(PendingRequest& request) {
  request.step = PendingRequest::Step::kRunning;
  const std::uint64_t id = request.id;
  request.request.memory = std::make_shared<MemoryReservation>(m_budget);
  request.request.memory->TakeFrom(request.memory);
  CallHandle call =
      m_hooks.handle_call(std::move(request.request),
                          [weak = weak_from_this(), id](CallerReply reply) {
                            if (const auto self = weak.lock()) {
                              self->OnReply(id, std::move(reply));
                            }
                          });
  // `handle_call` may have called `done` already.
  PendingRequest* running = m_pipeline.Find(id);
  if (running != nullptr && running->step == PendingRequest::Step::kRunning) {
    running->may_overlap = running->http_version >= 11 && call.may_overlap;
    running->call = std::move(call);
  }
}

void CallerConnection::OnReply(std::uint64_t id, CallerReply reply) {
  const auto* reason = std::get_if<RefusalReason>(&reply.result);
  const auto refused_as =
      reason == nullptr ? std::nullopt : std::optional(*reason);
  if (m_phase != Phase::kOpen || !m_pipeline.Answer(id, std::move(reply))) {
    return;
  }
  if (refused_as) {
    m_metrics.AddRefusal(*refused_as);
  } else {
    m_metrics.Add(Counter::kCallsAnswered);
  }
  StartCalls();
  WriteNext();
}

void CallerConnection::Refuse(RefusalReason reason) {
  m_metrics.AddRefusal(reason);
  Log(LogLevel::kDebug, LogEvent::kCallerRefused,
      {{"reason", InfoOf(reason).name}});
  m_parser.reset();
  m_awaits_continue = false;
  PendingRequest& request = *m_pipeline.reading();
  request.closes = true;
  request.memory.Reset();
  m_pipeline.Answer(request.id, {"", reason});
  WriteNext();
}

void CallerConnection::RefuseAndClose(RefusalReason reason) {
  m_pipeline.Begin();
  Refuse(reason);
}

void CallerConnection::WriteNext() {
  if (m_is_writing) {
    return;
  }
  PendingRequest* request = m_pipeline.NextToWrite(m_hooks.leaving());
  if (request == nullptr) {
    return;
  }
  if (m_pipeline.reading() == nullptr) {
    m_parser.reset();  // The reply closes, and the request behind is dropped.
    m_awaits_continue = false;
  }
  CallerReply reply = std::move(*request->reply);
  if (auto* http_reply = std::get_if<HttpReply>(&reply.result)) {
    m_response.emplace(
        BuildReply(std::move(*http_reply), reply.call_id, *request));
  } else {
    m_response.emplace(BuildRefusal(reply, *request));
  }
  if (request->closes) {
    m_response->set(http::field::connection, "close");
  } else if (request->http_version == 10) {
    m_response->set(http::field::connection, "keep-alive");
  }
  request->memory.SetTo(m_response->body().capacity(), MemoryUse::kWritten);
  m_write_began_at = Clock::now();
  m_serializer.emplace(*m_response);
  WriteSome();
}

void CallerConnection::WriteSome() {
  ArmWriteTimer();
  http::async_write_some(
      m_socket, *m_serializer,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        if (!error && self->m_phase == Phase::kOpen &&
            !self->m_serializer->is_done()) {
          self->WriteSome();
          return;
        }
        self->OnWritten(error);
      });
}

MemoryHolder CallerConnection::memory_held() const {
  const bool is_replying = m_response.has_value();
  return {m_pipeline.ReservedBytes(is_replying),
          is_replying ? m_write_began_at : m_body_began_at};
}

void CallerConnection::CloseForMemory() {
  if (m_phase != Phase::kOpen) {
    return;
  }
  m_metrics.Add(Counter::kCallersClosedForMemory);
  if (m_response || !m_parser) {
    Close();
    return;
  }
  Refuse(RefusalReason::kMemoryFull);
  ReadOn();
}

void CallerConnection::ArmWriteTimer() {
  m_is_writing = true;
  m_write_timer.expires_after(m_limits.write_timeout);
  m_write_timer.async_wait(
      [self = shared_from_this()](const error_code& error) {
        if (!error && self->m_is_writing &&
            self->m_write_timer.expiry() <= std::chrono::steady_clock::now()) {
          self->Close();
        }
      });
}

void CallerConnection::OnWritten(const error_code& error) {
  m_is_writing = false;
  m_write_timer.cancel();
  m_serializer.reset();
  m_response.reset();
  if (m_phase == Phase::kClosed) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  const bool closes = m_pipeline.front().closes;
  m_pipeline.PopWritten();
  if (closes || m_caller_left) {
    Linger();
    return;
  }
  StartCalls();
  WriteNext();
  SendContinue();
  ReadOn();
  if (m_stopping) {
    Stop();
  }
}

void CallerConnection::SendContinue() {
  // An interim reply must not come before the replies to earlier requests.
  if (!m_awaits_continue || m_is_writing || m_pipeline.size() > 1) {
    return;
  }
  static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  ArmWriteTimer();
  boost::asio::async_write(
      m_socket, boost::asio::buffer(kContinue),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->OnContinueSent(error);
      });
}

void CallerConnection::OnContinueSent(const error_code& error) {
  m_is_writing = false;
  m_write_timer.cancel();
  m_awaits_continue = false;
  if (m_phase == Phase::kClosed) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  WriteNext();
  ReadOn();
}

void CallerConnection::Stop() {
  m_stopping = true;
  if (!idle()) {
    return;
  }
  error_code error;
  const bool has_input = m_socket.available(error) > 0;
  if (!error && has_input) {
    return;  // The pending wait reads the request.
  }
  if (m_has_request) {
    Close();
  } else {
    ArmIdleTimer(kFirstRequestTime);
  }
}

void CallerConnection::OnCallerLeft() {
  if (!m_response) {
    Close();
    return;
  }
  // A reply that is being written is still delivered: the caller may have
  // closed its side only.
  m_caller_left = true;
  m_timer.cancel();
  m_parser.reset();
  m_awaits_continue = false;
  CancelCalls();
}

void CallerConnection::CancelCalls() {
  const auto hooks = m_pipeline.Cancel();
  if (hooks.empty()) {
    return;
  }
  m_metrics.Add(Counter::kCallersGone);
  m_metrics.Add(Counter::kCallsCancelled, hooks.size());
  std::ranges::for_each(hooks, [](const auto& hook) { hook(); });
}

void CallerConnection::Close() {
  if (m_phase == Phase::kClosed) {
    return;
  }
  m_phase = Phase::kClosed;
  const auto self_guard = shared_from_this();
  m_timer.cancel();
  m_write_timer.cancel();
  error_code ignored;
  m_socket.close(ignored);
  m_hooks.on_closed(this);
  CancelCalls();
}

}  // namespace yuccamast
