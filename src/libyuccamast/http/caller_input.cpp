#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/error.hpp>
#include <utility>

#include "http/caller_connection.h"
#include "http/fields.h"
#include "http/read_limits.h"

/// \file caller_input.cpp
/// Reading of a caller's connection: when, the parsing and its limits, and the
/// end of the input.

namespace yuccamast {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Least size of a read, so that an ordinary request is read at once.
constexpr std::size_t kMinReadBytes = 2048;

/// Period of the poll for a disconnect behind input that is not read. Work for
/// a caller that has left is to stop within half a second.
constexpr std::chrono::milliseconds kWatchPeriod{100};

/// In kLingering: longest wait for the next input before the socket is closed.
constexpr std::chrono::seconds kLingerTime{2};

bool IsWouldBlock(const error_code& error) {
  return error == boost::asio::error::would_block ||
         error == boost::asio::error::try_again ||
         error == boost::asio::error::interrupted;
}

}  // namespace

bool CallerConnection::MayRead() const {
  if (m_phase != Phase::kOpen || m_caller_left || m_awaits_continue) {
    return false;
  }
  return m_parser.has_value() ||
         m_pipeline.MayBegin(
             {m_limits.max_pipelined, m_limits.max_pipelined_bytes},
             m_hooks.leaving());
}

void CallerConnection::ReadOn() {
  while (m_buffer.size() > 0 && MayRead()) {
    if (!m_parser) {
      BeginRequest();
    }
    if (!ParseSome()) {
      break;
    }
  }
  if (m_phase == Phase::kOpen && !m_caller_left) {
    WaitForInput();
  }
}

void CallerConnection::WaitForInput() {
  if (idle()) {
    m_limits = m_hooks.limits();
  }
  if (!m_parser && m_buffer.size() == 0) {
    // A wait for readability needs no buffer, so that connections that wait for
    // a request hold no buffer memory.
    m_buffer =
        boost::beast::flat_buffer(ReadBufferBytes(m_limits.max_head_bytes));
  }
  if (idle()) {
    if (!m_stopping) {
      ArmIdleTimer(m_limits.idle_timeout);
    }
  } else if (!m_parser || m_awaits_continue) {
    m_timer.cancel();
  } else if (m_parser->is_header_done()) {
    ArmReadTimer(m_limits.body_timeout);
  }
  WaitForReadable();
}

void CallerConnection::WaitForReadable() {
  if (m_is_waiting) {
    return;
  }
  m_is_waiting = true;
  m_socket.async_wait(tcp::socket::wait_read,
                      [self = shared_from_this()](const error_code& error) {
                        self->m_is_waiting = false;
                        self->OnReadable(error);
                      });
}

void CallerConnection::OnReadable(const error_code& error) {
  if (m_phase == Phase::kClosed || m_caller_left) {
    return;
  }
  if (error) {
    Close();
  } else if (m_phase == Phase::kLingering) {
    DiscardInput();
  } else if (MayRead()) {
    Receive();
  } else {
    WatchForDisconnect();
  }
}

void CallerConnection::Receive() {
  const std::size_t unused = m_buffer.capacity() - m_buffer.size();
  const std::size_t size = std::min(m_buffer.max_size() - m_buffer.size(),
                                    std::max(kMinReadBytes, unused));
  error_code error;
  m_buffer.commit(m_socket.read_some(m_buffer.prepare(size), error));
  if (!error || IsWouldBlock(error)) {
    ReadOn();
  } else {
    OnCallerLeft();
  }
}

void CallerConnection::BeginRequest() {
  if (!m_pipeline.empty()) {
    m_limits = m_hooks.limits();
  }
  m_has_request = true;
  m_pipeline.Begin();
  m_parser.emplace();
  m_parser->header_limit(static_cast<std::uint32_t>(
      std::min<std::size_t>(m_limits.max_head_bytes, UINT32_MAX)));
  m_parser->body_limit(m_limits.max_body_bytes);
  ArmReadTimer(m_limits.head_timeout);
}

bool CallerConnection::IsTimerDue(const error_code& error) const {
  return !error && m_timer.expiry() <= std::chrono::steady_clock::now();
}

void CallerConnection::ArmReadTimer(Duration limit) {
  m_timer.expires_after(limit);
  m_timer.async_wait([self = shared_from_this()](const error_code& error) {
    // The timer may be due in the same turn in which the connection was closed.
    if (self->IsTimerDue(error) && self->m_phase == Phase::kOpen &&
        self->m_pipeline.reading() != nullptr) {
      self->Refuse(RefusalReason::kRequestTimeout);
      self->ReadOn();
    }
  });
}

bool CallerConnection::ParseSome() {
  PendingRequest& request = *m_pipeline.reading();
  const bool had_head = m_parser->is_header_done();
  if (had_head && !ReserveBody()) {
    Refuse(RefusalReason::kMemoryFull);
    return true;
  }
  error_code error;
  const std::size_t used = m_parser->put(m_buffer.data(), error);
  m_buffer.consume(used);
  request.held_bytes += used;
  if (error == http::error::need_more) {
    if (m_buffer.size() < m_buffer.max_size()) {
      return false;
    }
    error = http::error::buffer_overflow;
  }
  if (error) {
    RefuseReadError(error);
  } else if (!had_head && m_parser->is_header_done()) {
    OnHead();
  }
  if (m_parser && m_parser->is_done()) {
    OnRequest();
  }
  return true;
}

bool CallerConnection::ReserveBody() {
  if (m_parser->content_length()) {
    return true;
  }
  std::string& body = m_parser->get().body();
  const std::size_t capacity =
      GrownCapacity(body, std::nullopt, m_limits.max_body_bytes);
  if (!m_pipeline.reading()->memory.GrowTo(capacity)) {
    return false;
  }
  body.reserve(capacity);
  return true;
}

std::optional<RefusalReason> CallerConnection::ValidateHead() const {
  const auto& request = m_parser->get();
  const boost::beast::string_view target = request.target();
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

void CallerConnection::OnHead() {
  PendingRequest& request = *m_pipeline.reading();
  m_body_began_at = Clock::now();
  const auto& head = m_parser->get();
  request.request.fields = CopyFields(head);
  request.http_version = head.version();
  request.closes = !head.keep_alive();
  request.is_head_method = head.method() == http::verb::head;
  if (!m_dialect.request_id_field.empty()) {
    request.request_id = std::string(head[m_dialect.request_id_field]);
  }
  if (const auto reason = ValidateHead()) {
    Refuse(*reason);
    return;
  }
  // The head of a connection's only request is bounded by the number of
  // connections; those of pipelined ones need the budget.
  const std::size_t head_bytes = m_pipeline.size() > 1 ? request.held_bytes : 0;
  const auto length =
      static_cast<std::size_t>(m_parser->content_length().value_or(0));
  if (!request.memory.GrowTo(std::max(head_bytes, length))) {
    Refuse(RefusalReason::kMemoryFull);
    return;
  }
  if (!head[http::field::expect].empty() && !m_parser->is_done()) {
    m_awaits_continue = true;
    SendContinue();
  }
}

void CallerConnection::OnRequest() {
  PendingRequest& pending = *m_pipeline.reading();
  auto message = m_parser->release();
  m_parser.reset();
  m_timer.cancel();
  CallerRequest& request = pending.request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.body = std::move(message.body());
  request.from_own_vm = m_from_own_vm;
  request.received_at = Clock::now();
  pending.step = PendingRequest::Step::kWaiting;
  m_metrics.Add(Counter::kCallsReceived);
  if (m_pipeline.size() > 1) {
    m_metrics.Add(Counter::kRequestsPipelined);
    pending.may_overlap = pending.http_version >= 11 && m_hooks.may_overlap &&
                          m_hooks.may_overlap(request);
  }
  StartCalls();
}

void CallerConnection::RefuseReadError(const error_code& error) {
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    Refuse(RefusalReason::kHeadTooLarge);
  } else if (error == http::error::body_limit) {
    Refuse(RefusalReason::kBodyTooLarge);
  } else {
    Refuse(RefusalReason::kBadRequest);
  }
}

void CallerConnection::WatchForDisconnect() {
  char byte = 0;
  const ssize_t received =
      ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    ArmWatchTimer();
  } else if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
    WaitForInput();
  } else {
    OnCallerLeft();
  }
}

void CallerConnection::ArmWatchTimer() {
  m_timer.expires_after(kWatchPeriod);
  m_timer.async_wait([self = shared_from_this()](const error_code& error) {
    if (!self->IsTimerDue(error) || self->m_phase != Phase::kOpen ||
        self->m_caller_left || self->MayRead()) {
      return;
    }
    pollfd state{self->m_socket.native_handle(), POLLRDHUP, 0};
    ::poll(&state, 1, 0);
    if ((state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
      self->OnCallerLeft();
    } else {
      self->ArmWatchTimer();
    }
  });
}

void CallerConnection::Linger() {
  m_phase = Phase::kLingering;
  error_code ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  DiscardInput();
}

void CallerConnection::DiscardInput() {
  // Lingering close: closing a socket with unread input makes the kernel send
  // RST, and the caller could lose the reply. Input is read and discarded until
  // the caller closes, nothing arrives for kLingerTime, or the largest body
  // size is exceeded.
  m_buffer.clear();
  error_code error;
  m_discarded_bytes +=
      m_socket.read_some(m_buffer.prepare(kReadChunkBytes), error);
  if ((error && !IsWouldBlock(error)) ||
      m_discarded_bytes > m_limits.max_body_bytes) {
    Close();
    return;
  }
  m_timer.expires_after(kLingerTime);
  m_timer.async_wait([self = shared_from_this()](const error_code& error) {
    if (self->IsTimerDue(error)) {
      self->Close();
    }
  });
  WaitForReadable();
}

}  // namespace yuccamast
