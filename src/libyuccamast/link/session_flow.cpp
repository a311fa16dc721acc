#include <algorithm>

#include "link/session.h"

/// \file session_flow.cpp
/// Flow control of a link: counts the messages of the streams, and grants
/// windows as there is room.

namespace yuccamast {

namespace {

/// Time between two attempts to reserve room for the answers that wait.
constexpr Duration kGrantRetryPeriod = std::chrono::milliseconds(10);

}  // namespace

void LinkSession::SetSendBody(Stream& stream, std::string bytes) {
  stream.send_body = std::move(bytes);
  stream.send_memory.SetTo(stream.send_body.capacity(), MemoryUse::kQueued);
}

void LinkSession::AdmitMessage(std::int32_t id, Stream& stream) {
  if (stream.expected_bytes > m_options.max_message_bytes) {
    // See OnData.
    nghttp2_submit_rst_stream(
        m_session, NGHTTP2_FLAG_NONE, id,
        m_is_client ? NGHTTP2_CANCEL : NGHTTP2_REFUSED_STREAM);
    return;
  }
  if (TryGrant(id, stream)) {
    return;
  }
  if (!m_is_client) {
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id,
                              NGHTTP2_REFUSED_STREAM);
    return;
  }
  m_ungranted.push_back(id);
  if (m_ungranted.size() == 1) {
    ArmGrantTimer();
  }
}

bool LinkSession::TryGrant(std::int32_t id, Stream& stream) {
  const MemoryUse use = m_is_client ? MemoryUse::kAnswer : MemoryUse::kOffer;
  if (stream.expected_bytes <= kFreeWindowBytes) {
    stream.received_memory.SetTo(stream.expected_bytes, use);
  } else if (!m_options.Budget().HasRoom(stream.expected_bytes, use)) {
    return false;
  } else {
    stream.received_memory.SetTo(stream.expected_bytes, use);
    nghttp2_session_set_local_window_size(
        m_session, NGHTTP2_FLAG_NONE, id,
        static_cast<std::int32_t>(stream.expected_bytes));
  }
  stream.received_body.reserve(stream.expected_bytes);
  return true;
}

void LinkSession::ArmGrantTimer() {
  m_grant_timer.expires_after(kGrantRetryPeriod);
  m_grant_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->m_closed) {
          return;
        }
        std::erase_if(self->m_ungranted, [&](std::int32_t id) {
          Stream* stream = self->FindStream(id);
          return stream == nullptr || self->TryGrant(id, *stream);
        });
        if (!self->m_ungranted.empty()) {
          self->ArmGrantTimer();
        }
        self->Flush();
      });
}

}  // namespace yuccamast
