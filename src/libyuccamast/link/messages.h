#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamast/balance/load_report.h"

/// \file messages.h
/// The messages between nodes, serialized by msgpack.
///
/// A call is one HTTP/2 stream: the entry sends an `OfferMessage` as the whole
/// request body, the exit answers with an `AnswerMessage` as the whole reply
/// body. Both carry complete HTTP messages, so neither side ever acts on half
/// of one.

namespace yuccamast {

/// Version of the inner protocol; an offer of another version is refused.
inline constexpr std::uint32_t kLinkVersion = 2;

struct HttpField {
  std::string name;
  std::string value;
  MSGPACK_DEFINE(name, value)
};

/// Identifies one offer for ever.
struct OfferOrigin {
  std::string vm;
  std::uint64_t boot_id = 0;
  std::uint64_t sequence = 0;
  MSGPACK_DEFINE(vm, boot_id, sequence)
};

/// A call offered to the exit beside an upstream.
struct OfferMessage {
  std::uint32_t version = kLinkVersion;
  OfferOrigin origin;
  std::string call_id;
  std::uint32_t attempt = 0;  ///< Number of this offer of the call, from 1.
  std::string upstream;       ///< The exit refuses if it serves another one.
  std::string rule;
  bool idempotent = false;
  bool long_weight = false;
  std::int64_t remaining_us = 0;  ///< Until the deadline, at sending.
  std::int64_t objective_us = 0;  ///< Until the objective; 0: none.
  std::uint32_t urgency = 0;
  bool nested = false;      ///< Made by an upstream that holds a slot for it.
  std::uint32_t depth = 0;  ///< Of nested calls.
  bool retry = false;       ///< Whether it may be a second run.
  std::string method;
  std::string target;
  std::vector<HttpField> fields;
  std::string body;
  MSGPACK_DEFINE(version,
                 origin,
                 call_id,
                 attempt,
                 upstream,
                 rule,
                 idempotent,
                 long_weight,
                 remaining_us,
                 objective_us,
                 urgency,
                 nested,
                 depth,
                 retry,
                 method,
                 target,
                 fields,
                 body)
};

/// A whole HTTP reply.
struct HttpReply {
  std::uint32_t status = 0;
  std::vector<HttpField> fields;
  std::string body;
  MSGPACK_DEFINE(status, fields, body)
};

/// The exit's word on an offer. `reply` counts if `refused` is false.
struct AnswerMessage {
  bool refused = false;
  std::uint8_t reason = 0;  ///< A RefusalReason, if refused.
  HttpReply reply;
  std::uint64_t queue_us = 0;     ///< Admitted to started.
  std::uint64_t upstream_us = 0;  ///< Started to whole reply.
  LoadReport load;
  MSGPACK_DEFINE(refused, reason, reply, queue_us, upstream_us, load)
};

/// Serializes a message.
template <typename Message>
std::string Pack(const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return {buffer.data(), buffer.size()};
}

/// Parses exactly one message of the given type, or returns nothing if the
/// bytes are malformed, of another shape, or have a rest. Thread-safe.
template <typename Message>
std::optional<Message> Unpack(std::string_view bytes) {
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), offset);
    if (offset != bytes.size()) {
      return std::nullopt;
    }
    return handle.get().as<Message>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace yuccamast
