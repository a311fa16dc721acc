#include "http/upstream_pool.h"

#include <algorithm>
#include <utility>

#include "http/fields.h"
#include "http/reply_head.h"
#include "http/tcp_options.h"
#include "outcome/injected_fault.h"

namespace yuccamast {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Replies to other requests that a run discards; after one more it fails with
/// kUpstreamLost.
constexpr std::size_t kMaxSkippedReplies = 3;

/// Time between two attempts to reserve room for a reply.
constexpr std::chrono::milliseconds kRoomRetryPeriod{5};

}  // namespace

UpstreamPool::UpstreamPool(boost::asio::io_context& io,
                           tcp::endpoint endpoint,
                           const UpstreamLimits& limits,
                           const Dialect& dialect,
                           Metrics& metrics,
                           MemoryBudget& budget)
    : m_io(io),
      m_endpoint(std::move(endpoint)),
      m_limits(limits),
      m_dialect(dialect),
      m_metrics(metrics),
      m_budget(budget) {}

UpstreamPool::~UpstreamPool() = default;

std::shared_ptr<UpstreamRun> UpstreamPool::Run(UpstreamRequest request,
                                               UpstreamHooks hooks) {
  auto run = std::make_shared<UpstreamRun>(*this, std::move(request),
                                           std::move(hooks));
  run->Begin();
  return run;
}

UpstreamPool::ConnectionPtr UpstreamPool::TakeIdle() {
  const TimePoint now = Clock::now();
  while (!m_idle.empty() &&
         now - m_idle.back()->last_used_at > m_limits.keep_idle) {
    CloseConnection(m_idle.back());
  }
  if (m_idle.empty()) {
    return nullptr;
  }
  const Duration age = now - m_idle.front()->last_used_at;
  if (age > m_limits.proven_alive) {
    return nullptr;
  }
  ConnectionPtr connection = m_idle.front();
  m_idle.pop_front();
  ++connection->use_count;
  connection->stream.cancel();
  return connection;
}

void UpstreamPool::ReturnIdle(const ConnectionPtr& connection) {
  connection->last_used_at = Clock::now();
  connection->stream.expires_never();
  m_idle.push_front(connection);
  WatchIdle(connection);
}

void UpstreamPool::WatchIdle(const ConnectionPtr& connection) {
  connection->stream.socket().async_wait(
      tcp::socket::wait_read,
      [this, connection,
       use_count = connection->use_count](const error_code& error) {
        // An idle connection is readable only if the upstream closed it or
        // sent unrequested bytes. It cannot be used in either case.
        if (connection->use_count == use_count && !error) {
          CloseConnection(connection);
        }
      });
}

void UpstreamPool::CloseConnection(const ConnectionPtr& connection) {
  ++connection->use_count;
  connection->stream.close();
  --m_open_connections;
  // `connection` may refer to the list element that this destroys.
  m_idle.remove(connection);
}

void UpstreamPool::CloseIdle() {
  while (!m_idle.empty()) {
    CloseConnection(m_idle.back());
  }
}

UpstreamRun::UpstreamRun(UpstreamPool& pool,
                         UpstreamRequest request,
                         UpstreamHooks hooks)
    : m_pool(pool),
      m_request(std::move(request)),
      m_hooks(std::move(hooks)),
      m_memory(pool.m_budget, MemoryUse::kReply),
      m_room_timer(pool.m_io) {}

void UpstreamRun::BuildMessage() {
  m_message.version(11);
  m_message.method_string(m_request.method);
  m_message.target(m_request.target);
  std::ranges::for_each(m_request.fields, [this](const HttpField& field) {
    m_message.insert(field.name, field.value);
  });
  const bool has_body = !m_request.body.empty();
  const bool expects_body = m_request.method == "POST" ||
                            m_request.method == "PUT" ||
                            m_request.method == "PATCH";
  if (has_body || expects_body) {
    m_message.set(http::field::content_length,
                  std::to_string(m_request.body.size()));
  }
  m_message.body() = std::move(m_request.body);
}

void UpstreamRun::Begin() {
  BuildMessage();
  m_connection = m_pool.TakeIdle();
  if (m_connection != nullptr) {
    m_pool.m_metrics.Add(Counter::kUpstreamReuses);
    // Deferred, so that no hook is called before `Run` returns. A close that
    // has just arrived is not detected, although the delay would allow it: a
    // pending WatchIdle handler is ignored once the connection was taken.
    boost::asio::post(m_pool.m_io, [self = shared_from_this()] {
      if (!self->m_finished) {
        self->Write();
      }
    });
    return;
  }
  if (m_pool.m_open_connections >= m_pool.m_limits.max_connections) {
    boost::asio::post(m_pool.m_io, [self = shared_from_this()] {
      self->Fail(RefusalReason::kUpstreamUnreachable);
    });
    return;
  }
  Connect();
}

void UpstreamRun::Connect() {
  m_connection =
      std::make_shared<UpstreamPool::Connection>(m_pool.m_io, m_pool.m_limits);
  ++m_pool.m_open_connections;
  m_pool.m_metrics.Add(Counter::kUpstreamConnects);
  m_connection->stream.expires_after(m_pool.m_limits.connect_timeout);
  m_connection->stream.async_connect(
      m_pool.m_endpoint, [self = shared_from_this()](const error_code& error) {
        if (self->m_finished) {
          return;
        }
        if (error) {
          self->Fail(RefusalReason::kUpstreamUnreachable);
          return;
        }
        SetTcpOptions(self->m_connection->stream.socket(),
                      self->m_pool.m_limits.silence);
        self->Write();
      });
}

void UpstreamRun::Write() {
  if (!m_hooks.start() && !IsFaultInjected(InjectedFault::kResend)) {
    m_finished = true;
    m_pool.ReturnIdle(m_connection);
    return;
  }
  m_connection->stream.expires_never();
  http::async_write(
      m_connection->stream, m_message,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        // The upstream may reply (refuse, shed) before the whole request was
        // written, so a write error does not end the run.
        self->m_written = !error;
        self->m_write_failed = static_cast<bool>(error);
      });
  ReadHead();
}

void UpstreamRun::ReadHead() {
  m_parser.emplace();
  m_parser->header_limit(
      static_cast<std::uint32_t>(m_pool.m_limits.max_head_bytes));
  m_parser->body_limit(m_pool.m_limits.max_reply_bytes);
  if (m_request.method == "HEAD") {
    m_parser->skip(true);
  }
  m_connection->buffer.StartHead();
  http::async_read_header(
      m_connection->stream, m_connection->buffer, *m_parser,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->OnHead(error);
      });
}

void UpstreamRun::OnHead(const error_code& error) {
  if (m_finished) {
    return;
  }
  if (error && IsFaultInjected(InjectedFault::kResend)) {
    m_pool.CloseConnection(m_connection);
    Connect();
    return;
  }
  if (error) {
    Fail(RefusalFor(error));
    return;
  }
  const unsigned status = m_parser->get().result_int();
  const bool is_valid =
      IsValidReplyHead(m_connection->buffer.EndHead(), m_parser->get());
  if (!is_valid || status == 101) {
    Fail(RefusalReason::kReplyIncomplete);
    return;
  }
  if (status >= 100 && status < 200) {
    ReadHead();
    return;
  }
  m_hooks.reply_head();
  m_reply.status = status;
  m_reply.fields = CopyFields(m_parser->get());
  ReadBody();
}

void UpstreamRun::ReadBody() {
  if (m_parser->is_done()) {
    OnReplyComplete();
    return;
  }
  if (!ReserveBody()) {
    WaitForRoom();
    return;
  }
  m_room_wanted_at = {};
  http::async_read_some(
      m_connection->stream, m_connection->buffer, *m_parser,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->OnBody(error);
      });
}

bool UpstreamRun::ReserveBody() {
  std::string& body = m_parser->get().body();
  const auto length = m_parser->content_length();
  const std::size_t capacity = GrownCapacity(
      body, length ? std::optional<std::size_t>(*length) : std::nullopt,
      m_pool.m_limits.max_reply_bytes);
  if (!m_memory.GrowTo(capacity)) {
    return false;
  }
  body.reserve(capacity);
  return true;
}

void UpstreamRun::WaitForRoom() {
  const TimePoint now = Clock::now();
  if (m_room_wanted_at == TimePoint{}) {
    m_room_wanted_at = now;
  }
  if (now - m_room_wanted_at > m_pool.m_limits.room_wait) {
    Fail(RefusalReason::kReplyTooLarge);
    return;
  }
  m_room_timer.expires_after(kRoomRetryPeriod);
  m_room_timer.async_wait([self = shared_from_this()](const error_code&) {
    if (!self->m_finished) {
      self->ReadBody();
    }
  });
}

void UpstreamRun::OnBody(const error_code& error) {
  if (m_finished) {
    return;
  }
  if (error && !IsFaultInjected(InjectedFault::kCutReply)) {
    Fail(error == http::error::body_limit ? RefusalReason::kReplyTooLarge
                                          : RefusalReason::kReplyIncomplete);
    return;
  }
  if (!error && !m_parser->is_done()) {
    ReadBody();
    return;
  }
  OnReplyComplete();
}

RefusalReason UpstreamRun::RefusalFor(const error_code& error) const {
  if (error == http::error::body_limit) {
    return RefusalReason::kReplyTooLarge;
  }
  // Errors of the HTTP category, other than end_of_stream, occur only after
  // bytes of a reply were read.
  const bool reply_started =
      error == http::error::partial_message ||
      error.category() ==
          http::make_error_code(http::error::bad_value).category();
  const bool no_reply = error == http::error::end_of_stream;
  return reply_started && !no_reply ? RefusalReason::kReplyIncomplete
                                    : RefusalReason::kUpstreamLost;
}

bool UpstreamRun::IsFramed() const {
  const auto& message = m_parser->get();
  return IsFaultInjected(InjectedFault::kCutReply) || m_parser->chunked() ||
         m_parser->content_length() || m_request.method == "HEAD" ||
         message.result_int() == 204 || message.result_int() == 304;
}

HttpReply UpstreamRun::TakeReply() {
  m_reply.body = std::move(m_parser->get().body());
  return std::exchange(m_reply, {});
}

void UpstreamRun::OnReplyComplete() {
  // Without Content-Length or chunked coding, the body ends with the
  // connection. The kernel reports a reset once, to the write if one is
  // pending, and ends later reads as if the close were orderly (FIN). Without a
  // failed write the close was orderly here; the dialect decides whether that
  // proves the reply complete.
  const bool framed = IsFramed();
  if (!framed &&
      (m_write_failed || !m_pool.m_dialect.accepts_close_delimited)) {
    Fail(RefusalReason::kReplyIncomplete);
    return;
  }
  const bool stays_open = framed && m_parser->keep_alive();
  const bool reusable = stays_open && m_written && m_skipped_replies == 0 &&
                        m_connection->buffer.size() == 0;
  HandleReply(TakeReply(), stays_open, reusable);
}

void UpstreamRun::HandleReply(HttpReply reply,
                              bool more_may_follow,
                              bool reusable) {
  const ReplyClass reply_class =
      m_pool.m_dialect.classify_reply(reply, m_request.request_id);
  if (m_hooks.reply_read && (reply_class == ReplyClass::kValid ||
                             reply_class == ReplyClass::kNotRun)) {
    m_hooks.reply_read(reply);
  }
  switch (reply_class) {
    case ReplyClass::kOtherRequest:
      if (!more_may_follow || ++m_skipped_replies > kMaxSkippedReplies) {
        Fail(RefusalReason::kUpstreamLost);
      } else {
        ReadHead();
      }
      return;
    case ReplyClass::kInvalid:
      Fail(RefusalReason::kReplyIncomplete);
      return;
    case ReplyClass::kNotRun:
      FinishConnection(reusable);
      m_hooks.done(RefusalReason::kUpstreamShed);
      return;
    case ReplyClass::kMisdirected:
      FinishConnection(reusable);
      m_hooks.done(RefusalReason::kMisdirected);
      return;
    case ReplyClass::kValid:
      break;
  }
  FinishConnection(reusable);
  m_hooks.done(std::move(reply));
}

void UpstreamRun::FinishConnection(bool reusable) {
  m_finished = true;
  if (reusable) {
    m_pool.ReturnIdle(m_connection);
  } else {
    m_pool.CloseConnection(m_connection);
  }
}

void UpstreamRun::Fail(RefusalReason reason) {
  if (m_finished) {
    return;
  }
  m_finished = true;
  if (m_connection != nullptr) {
    m_pool.CloseConnection(m_connection);
  }
  m_hooks.done(reason);
}

void UpstreamRun::Abort() {
  if (m_finished) {
    return;
  }
  m_finished = true;
  if (m_connection != nullptr) {
    m_pool.CloseConnection(m_connection);
  }
}

}  // namespace yuccamast
