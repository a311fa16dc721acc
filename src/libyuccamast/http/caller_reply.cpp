#include <boost/beast/http.hpp>

#include "http/caller_connection.h"
#include "http/fields.h"
#include "yuccamast/json_value.h"

/// \file caller_reply.cpp
/// The HTTP messages that a caller is sent: replies of upstreams and refusals.

namespace yuccamast {

namespace http = boost::beast::http;

namespace {

bool MayHaveBody(std::uint32_t status) {
  return status >= 200 && status != 204 && status != 304;
}

}  // namespace

CallerConnection::Response CallerConnection::BuildReply(
    HttpReply reply,
    const std::string& call_id,
    const PendingRequest& request) {
  Response response;
  response.version(request.http_version);
  response.result(reply.status);
  for (const HttpField& field : EndToEndFields(reply.fields)) {
    response.insert(field.name, field.value);
  }
  if (m_dialect.uses_yuccamast_fields) {
    response.set(std::string(kCallIdField), call_id);
  }
  if (request.is_head_method) {
    const std::string* length = FindField(reply.fields, "content-length");
    if (length != nullptr) {
      response.set(http::field::content_length, *length);
    }
  } else if (MayHaveBody(reply.status)) {
    response.set(http::field::content_length,
                 std::to_string(reply.body.size()));
    response.body() = std::move(reply.body);
  }
  return response;
}

CallerConnection::Response CallerConnection::BuildRefusal(
    const CallerReply& refusal,
    const PendingRequest& request) {
  const RefusalInfo& info = InfoOf(std::get<RefusalReason>(refusal.result));
  const std::string& call_id = refusal.call_id;
  Response response;
  response.version(request.http_version);
  response.result(info.status);
  response.set(std::string(kOutcomeField),
               std::string(NameOf(info.run_outcome)));
  response.set(std::string(kReasonField), std::string(info.name));
  if (!call_id.empty()) {
    response.set(std::string(kCallIdField), call_id);
  }
  if (!request.request_id.empty()) {
    response.set(m_dialect.request_id_field, request.request_id);
  }
  JsonValue::Object body{{"outcome", NameOf(info.run_outcome)},
                         {"reason", info.name},
                         {"call_id", call_id}};
  if (info.retry_after) {
    const Duration wait =
        refusal.retry_after ? *refusal.retry_after : m_hooks.retry_after();
    response.set(http::field::retry_after, m_dialect.retry_after(wait));
    body.push_back(
        {"retry_after_ms",
         std::int64_t{
             std::chrono::duration_cast<std::chrono::milliseconds>(wait)
                 .count()}});
  }
  response.set(http::field::content_type, "application/json");
  const std::string text = WriteJson(body) + "\n";
  response.set(http::field::content_length, std::to_string(text.size()));
  if (!request.is_head_method) {
    response.body() = text;
  }
  return response;
}

}  // namespace yuccamast
