#include "link/client.h"

#include <array>

namespace yuccamast {

void LinkClient::Run(EventHook on_state_change) {
  m_on_state_change = std::move(on_state_change);
  Start();
}

std::int32_t LinkClient::Send(LinkPath path,
                              std::string bytes,
                              AnswerHook on_answer) {
  if (closed()) {
    return -1;
  }
  const std::string length = std::to_string(bytes.size());
  const std::array<nghttp2_nv, 5> headers = {
      MakeLinkHeader(":method", "POST"), MakeLinkHeader(":scheme", "http"),
      MakeLinkHeader(":authority", "node"),
      MakeLinkHeader(":path", NameOf(path)),
      MakeLinkHeader("content-length", length)};
  nghttp2_data_provider provider = BodyProvider();
  const std::int32_t id =
      nghttp2_submit_request(http2_session(), nullptr, headers.data(),
                             headers.size(), &provider, nullptr);
  if (id < 0) {
    return id;
  }
  SetSendBody(AddStream(id), std::move(bytes));
  m_hooks[id] = std::move(on_answer);
  Flush();
  return id;
}

bool LinkClient::Cancel(std::int32_t id) {
  m_hooks.erase(id);
  const Stream* stream = FindStream(id);
  if (closed() || stream == nullptr) {
    return false;
  }
  const bool incomplete = !stream->end_stream_sent;
  nghttp2_submit_rst_stream(http2_session(), NGHTTP2_FLAG_NONE, id,
                            NGHTTP2_CANCEL);
  Flush();
  return incomplete;
}

void LinkClient::Finish(std::int32_t id,
                        StreamOutcome outcome,
                        std::string bytes) {
  auto hook = m_hooks.extract(id);
  if (!hook.empty()) {
    hook.mapped()(outcome, std::move(bytes));
  }
}

void LinkClient::OnMessage(std::int32_t id, Stream& stream) {
  Finish(id, StreamOutcome::kAnswered, std::move(stream.received_body));
}

void LinkClient::OnStreamEnd(std::int32_t id,
                             Stream& stream,
                             std::uint32_t error) {
  const bool refused = error == NGHTTP2_REFUSED_STREAM;
  const bool incomplete = !stream.end_stream_sent;
  const auto outcome = refused || incomplete ? StreamOutcome::kNotProcessed
                                             : StreamOutcome::kLost;
  Finish(id, outcome, "");
}

void LinkClient::OnClosed() {
  if (m_on_state_change) {
    m_on_state_change();
  }
}

void LinkClient::OnSuspect() {
  if (m_on_state_change) {
    m_on_state_change();
  }
}

void LinkClient::OnReceived() {
  const EventHook on_receive = std::move(m_on_receive);
  m_on_receive = nullptr;
  if (on_receive) {
    on_receive();
  }
}

void LinkClient::OnGoAway() {
  m_going_away = true;
  if (m_on_state_change) {
    m_on_state_change();
  }
}

}  // namespace yuccamast
