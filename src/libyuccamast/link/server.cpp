#include "link/server.h"

#include <array>

namespace yuccamast {

void StreamResponder::Answer(std::string bytes) const {
  if (const auto server = m_server.lock()) {
    server->Answer(m_id, std::move(bytes));
  }
}

void StreamResponder::Refuse() const {
  if (const auto server = m_server.lock()) {
    server->Refuse(m_id);
  }
}

bool StreamResponder::open() const {
  const auto server = m_server.lock();
  return server != nullptr && server->IsOpen(m_id);
}

void LinkServer::BeginGracefulShutdown() {
  if (!closed()) {
    const std::int32_t last =
        nghttp2_session_get_last_proc_stream_id(http2_session());
    nghttp2_submit_goaway(http2_session(), NGHTTP2_FLAG_NONE, last,
                          NGHTTP2_NO_ERROR, nullptr, 0);
    Flush();
  }
}

std::uint64_t LinkServer::StreamKey(std::int32_t id) const {
  return (std::uint64_t{m_connection_number} << 32U) |
         static_cast<std::uint32_t>(id);
}

void LinkServer::Answer(std::int32_t id, std::string bytes) {
  Stream* stream = FindStream(id);
  if (closed() || stream == nullptr) {
    return;
  }
  const std::string length = std::to_string(bytes.size());
  SetSendBody(*stream, std::move(bytes));
  const std::array<nghttp2_nv, 2> headers = {
      MakeLinkHeader(":status", "200"),
      MakeLinkHeader("content-length", length)};
  nghttp2_data_provider provider = BodyProvider();
  nghttp2_submit_response(http2_session(), id, headers.data(), headers.size(),
                          &provider);
  Flush();
}

void LinkServer::Refuse(std::int32_t id) {
  if (closed() || FindStream(id) == nullptr) {
    return;
  }
  nghttp2_submit_rst_stream(http2_session(), NGHTTP2_FLAG_NONE, id,
                            NGHTTP2_REFUSED_STREAM);
  Flush();
}

void LinkServer::OnMessage(std::int32_t id, Stream& stream) {
  const auto path = LinkPathFromName(stream.path);
  const StreamResponder responder(
      std::static_pointer_cast<LinkServer>(shared_from_this()), id);
  if (!path) {
    responder.Refuse();
    return;
  }
  m_hooks.on_message(*path, std::move(stream.received_body), responder,
                     StreamKey(id));
}

void LinkServer::OnStreamEnd(std::int32_t id,
                             Stream& stream,
                             std::uint32_t /*error*/) {
  if (stream.dispatched && !stream.end_stream_sent) {
    m_hooks.on_cancelled(StreamKey(id));
  }
}

void LinkServer::OnClosed() {
  if (m_hooks.on_closed) {
    m_hooks.on_closed(this);
  }
}

}  // namespace yuccamast
