#include "link/session.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

namespace yuccamast {

namespace {

constexpr std::array<std::string_view, 3> kPathNames = {"/call", "/load",
                                                        "/control"};
constexpr std::uint32_t kStreamWindow = 1U << 20U;
constexpr std::int32_t kConnectionWindow = 16 << 20;
constexpr std::size_t kWriteChunk = 64U << 10U;

}  // namespace

std::string_view NameOf(LinkPath path) {
  return kPathNames.at(static_cast<std::size_t>(path));
}

std::optional<LinkPath> LinkPathFromName(std::string_view name) {
  const auto found = std::ranges::find(kPathNames, name);
  if (found == kPathNames.end()) {
    return std::nullopt;
  }
  return static_cast<LinkPath>(found - kPathNames.begin());
}

/// Callbacks of nghttp2; `user` is the session's LinkSession.
struct LinkCallbacks {
  static LinkSession& Self(void* user) {
    return *static_cast<LinkSession*>(user);
  }

  static int OnBeginHeaders(nghttp2_session* /*session*/,
                            const nghttp2_frame* frame,
                            void* user) {
    if (frame->hd.type == NGHTTP2_HEADERS &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      Self(user).AddStream(frame->hd.stream_id);
    }
    return 0;
  }

  static int OnHeader(nghttp2_session* /*session*/,
                      const nghttp2_frame* frame,
                      const std::uint8_t* name,
                      std::size_t name_size,
                      const std::uint8_t* value,
                      std::size_t value_size,
                      std::uint8_t /*flags*/,
                      void* user) {
    LinkSession::Stream* stream = Self(user).FindStream(frame->hd.stream_id);
    const std::string_view key(reinterpret_cast<const char*>(name), name_size);
    if (stream != nullptr && key == ":path") {
      stream->path.assign(reinterpret_cast<const char*>(value), value_size);
    }
    return 0;
  }

  static int OnData(nghttp2_session* session,
                    std::uint8_t /*flags*/,
                    std::int32_t id,
                    const std::uint8_t* data,
                    std::size_t size,
                    void* user) {
    LinkSession& self = Self(user);
    LinkSession::Stream* stream = self.FindStream(id);
    if (stream == nullptr) {
      return 0;
    }
    if (stream->received.size() + size > self.m_options.max_message_bytes) {
      // Only the server may claim that it did not process the stream.
      nghttp2_submit_rst_stream(
          session, NGHTTP2_FLAG_NONE, id,
          self.m_is_client ? NGHTTP2_CANCEL : NGHTTP2_REFUSED_STREAM);
      return 0;
    }
    stream->received.append(reinterpret_cast<const char*>(data), size);
    return 0;
  }

  static int OnFrame(nghttp2_session* /*session*/,
                     const nghttp2_frame* frame,
                     void* user) {
    LinkSession& self = Self(user);
    if (frame->hd.type == NGHTTP2_PING &&
        (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
      self.OnPong();
    }
    if (frame->hd.type == NGHTTP2_GOAWAY) {
      self.OnGoAway();
    }
    const bool has_end =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (has_end && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      LinkSession::Stream* stream = self.FindStream(frame->hd.stream_id);
      if (stream != nullptr && !stream->dispatched) {
        stream->received_whole = true;
        stream->dispatched = true;
        self.OnMessage(frame->hd.stream_id, *stream);
      }
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session* /*session*/,
                           std::int32_t id,
                           std::uint32_t error,
                           void* user) {
    Self(user).EndStream(id, error);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session* /*session*/,
                          std::int32_t id,
                          std::uint8_t* buffer,
                          std::size_t size,
                          std::uint32_t* flags,
                          nghttp2_data_source* /*source*/,
                          void* user) {
    LinkSession::Stream* stream = Self(user).FindStream(id);
    if (stream == nullptr) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const std::size_t left = stream->sending.size() - stream->sent;
    const std::size_t count = std::min(left, size);
    std::memcpy(buffer, stream->sending.data() + stream->sent, count);
    stream->sent += count;
    if (stream->sent == stream->sending.size()) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      stream->sent_whole = true;
    }
    return static_cast<ssize_t>(count);
  }
};

LinkSession::LinkSession(tcp::socket socket,
                         const LinkOptions& options,
                         bool is_client)
    : m_options(options),
      m_socket(std::move(socket)),
      m_is_client(is_client),
      m_ping_timer(m_socket.get_executor()) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      callbacks, LinkCallbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   LinkCallbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, LinkCallbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       LinkCallbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, LinkCallbacks::OnStreamClose);
  if (is_client) {
    nghttp2_session_client_new(&m_session, callbacks, this);
  } else {
    nghttp2_session_server_new(&m_session, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
}

LinkSession::~LinkSession() {
  nghttp2_session_del(m_session);
}

void LinkSession::Start() {
  boost::system::error_code ignored;
  m_socket.set_option(tcp::no_delay(true), ignored);
  m_remote = m_socket.remote_endpoint(ignored);
  const std::array<nghttp2_settings_entry, 2> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_options.max_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindow},
  }};
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindow);
  m_heard_at = Clock::now();
  Read();
  Flush();
  ArmPing();
}

LinkSession::Stream* LinkSession::FindStream(std::int32_t id) {
  const auto found = m_streams.find(id);
  return found == m_streams.end() ? nullptr : &found->second;
}

nghttp2_data_provider LinkSession::BodyProvider() {
  nghttp2_data_provider provider{};
  provider.source.ptr = nullptr;
  provider.read_callback = LinkCallbacks::ReadBody;
  return provider;
}

void LinkSession::Read() {
  m_socket.async_read_some(
      asio::buffer(m_read_buffer),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        if (self->m_closed) {
          return;
        }
        if (error) {
          self->Close();
          return;
        }
        self->Receive(self->m_read_buffer.data(), size);
        if (!self->m_closed) {
          self->Read();
        }
      });
}

void LinkSession::Receive(const std::uint8_t* data, std::size_t size) {
  m_heard_at = Clock::now();
  m_suspect = false;
  m_in_receive = true;
  const ssize_t used = nghttp2_session_mem_recv(m_session, data, size);
  m_in_receive = false;
  if (used < 0) {
    Close();
    return;
  }
  OnHeard();
  Flush();
}

void LinkSession::PingNow() {
  if (m_ping_open || m_closed) {
    return;
  }
  m_ping_open = true;
  m_ping_sent_at = Clock::now();
  nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
  Flush();
  ArmPing();
}

void LinkSession::Flush() {
  if (m_closed || m_write_pending || m_in_receive || m_in_send) {
    return;
  }
  m_writing.clear();
  while (m_writing.size() < kWriteChunk) {
    const std::uint8_t* data = nullptr;
    m_in_send = true;
    const ssize_t size = nghttp2_session_mem_send(m_session, &data);
    m_in_send = false;
    if (m_closed) {
      return;
    }
    if (size < 0) {
      CloseLater();
      return;
    }
    if (size == 0) {
      break;
    }
    m_writing.append(reinterpret_cast<const char*>(data),
                     static_cast<std::size_t>(size));
  }
  if (m_writing.empty()) {
    if (nghttp2_session_want_read(m_session) == 0 &&
        nghttp2_session_want_write(m_session) == 0) {
      CloseLater();
    }
    return;
  }
  m_write_pending = true;
  asio::async_write(m_socket, asio::buffer(m_writing),
                    [self = shared_from_this()](
                        const boost::system::error_code& error, std::size_t) {
                      self->m_write_pending = false;
                      if (self->m_closed) {
                        return;
                      }
                      if (error) {
                        self->Close();
                        return;
                      }
                      self->Flush();
                    });
}

void LinkSession::CloseLater() {
  asio::post(m_socket.get_executor(),
             [self = shared_from_this()] { self->Close(); });
}

void LinkSession::EndStream(std::int32_t id, std::uint32_t error) {
  auto node = m_streams.extract(id);
  if (!node.empty()) {
    OnStreamEnd(id, node.mapped(), error);
  }
}

void LinkSession::Close() {
  if (m_closed) {
    return;
  }
  m_closed = true;
  const auto keep = shared_from_this();
  m_ping_timer.cancel();
  boost::system::error_code ignored;
  m_socket.close(ignored);
  while (!m_streams.empty()) {
    EndStream(m_streams.begin()->first, NGHTTP2_INTERNAL_ERROR);
  }
  OnClosed();
}

Duration LinkSession::SilenceBound() const {
  return std::max(m_options.silence_floor, 4 * m_round_trip);
}

void LinkSession::ArmPing() {
  Duration wait = m_streams.empty() ? m_options.ping_idle : m_options.ping_busy;
  if (m_ping_open) {
    wait = m_options.ping_busy;
  }
  m_ping_timer.expires_after(wait);
  m_ping_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->m_closed) {
          self->OnPingTimer();
        }
      });
}

void LinkSession::OnPingTimer() {
  const TimePoint now = Clock::now();
  if (m_ping_open && now - m_ping_sent_at > m_options.dead_after) {
    Close();
    return;
  }
  if (m_ping_open && !m_suspect && now - m_ping_sent_at > SilenceBound()) {
    m_suspect = true;
    OnSuspect();
  }
  const bool quiet = now - m_heard_at >= m_options.ping_busy;
  if (quiet) {
    PingNow();
  }
  if (!m_closed) {
    ArmPing();
  }
}

void LinkSession::OnPong() {
  if (!m_ping_open) {
    return;
  }
  m_ping_open = false;
  m_suspect = false;
  const Duration sample = Clock::now() - m_ping_sent_at;
  m_round_trip = m_round_trip == Duration::zero()
                     ? sample
                     : m_round_trip + (sample - m_round_trip) / 8;
}

}  // namespace yuccamast
