#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamast/balance/load_report.h"

/// \file messages.h
/// Messages between the entry and the exit, serialized with msgpack.
///
/// A call is one HTTP/2 stream: the entry sends an `OfferMessage` as the
/// request body, and the exit answers with an `AnswerMessage` as the response
/// body. Each carries a complete HTTP message of the caller or upstream, so
/// neither side ever acts on a partial one.
///
/// Wire format: each struct is a msgpack array in the order of MSGPACK_DEFINE.
/// The order and the types are fixed for a version of the protocol.

namespace yuccamast {

/// Version of the protocol between nodes; an exit refuses offers of another
/// version.
inline constexpr std::uint32_t kLinkVersion = 2;

/// One HTTP header field.
struct HttpField {
  std::string name;
  std::string value;
  MSGPACK_DEFINE(name, value)
};

/// Id of an offer, unique among the offers to one peer: its origin, one entry
/// thread of one process, with a sequence number. The exit refuses an offer
/// whose id it has seen, or whose number is too old (`SequenceWindow`).
struct OfferOrigin {
  std::string vm;              ///< VM of the entry.
  std::uint64_t boot_id = 0;   ///< Unique to the entry thread and process.
  std::uint64_t sequence = 0;  ///< Increases with each offer to the same peer.
  MSGPACK_DEFINE(vm, boot_id, sequence)
};

/// A call offered to the exit beside an upstream.
struct OfferMessage {
  std::uint32_t version = kLinkVersion;
  OfferOrigin origin;
  std::string call_id;
  std::uint32_t attempt = 0;  ///< Number of this offer of the call, from 1.
  /// The upstream that is to run the call. An exit that serves another upstream
  /// refuses the offer.
  std::string upstream;
  std::string rule;  ///< Name of the rule that matched the call.
  bool idempotent = false;
  bool long_weight = false;  ///< The rule has the weight class "long".
  /// From sending until the exit's deadline. It is earlier than the entry's by
  /// about one round trip, so that the answer arrives in time.
  std::int64_t remaining_us = 0;
  /// From sending until the objective, earlier by the same time; 0: none.
  std::int64_t objective_us = 0;
  std::uint32_t urgency = 0;  ///< 0 is the most urgent.
  bool nested = false;  ///< Made by an upstream during a run that holds a slot.
  std::uint32_t depth = 0;  ///< Nesting depth of the call; 1: not nested.
  bool retry = false;       ///< An earlier attempt may have been run.
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

/// A complete HTTP reply.
struct HttpReply {
  std::uint32_t status = 0;
  std::vector<HttpField> fields;
  std::string body;
  MSGPACK_DEFINE(status, fields, body)
};

/// The exit's answer to an offer: a refusal, or `reply` if `refused` is false.
struct AnswerMessage {
  bool refused = false;
  std::uint8_t reason = 0;  ///< Value of a RefusalReason, if refused.
  HttpReply reply;
  std::uint64_t queue_us = 0;     ///< From receiving the offer to the start.
  std::uint64_t upstream_us = 0;  ///< From the start to the complete reply.
  LoadReport load;
  MSGPACK_DEFINE(refused, reason, reply, queue_us, upstream_us, load)
};

/// A msgpack output stream into a string. `size_hint` is the expected size in
/// bytes, so that a long message is written in place, without a second buffer.
struct StringSink {
  explicit StringSink(std::size_t size_hint) { text.reserve(size_hint); }
  void write(  // NOLINT(readability-identifier-naming)
      const char* bytes,
      std::size_t size) {
    text.append(bytes, size);
  }
  std::string text;
};

/// Serializes a message with msgpack. Thread-safe.
template <typename Message>
std::string Pack(const Message& message, std::size_t size_hint = 256) {
  StringSink sink(size_hint);
  msgpack::pack(sink, message);
  return std::move(sink.text);
}

/// Bytes that a message takes beside its body and fields, at most.
inline constexpr std::size_t kMessageOverhead = 4096;

/// Upper estimate of the packed size of a message with such fields and body.
inline std::size_t PackedSizeHint(const std::vector<HttpField>& fields,
                                  const std::string& body) {
  std::size_t size = kMessageOverhead + body.size();
  for (const HttpField& field : fields) {
    size += field.name.size() + field.value.size() + 12;
  }
  return size;
}

/// Parses exactly one message, or returns nothing if the bytes are malformed,
/// do not convert to the fields' types, or have trailing data. The number of
/// fields is not checked: missing ones keep their defaults, further ones are
/// ignored. Thread-safe.
template <typename Message>
std::optional<Message> Unpack(std::string_view bytes) {
  try {
    std::size_t offset = 0;
    // The strings of the parsed objects refer to `bytes`.
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset,
        [](msgpack::type::object_type, std::size_t, void*) { return true; });
    if (offset != bytes.size()) {
      return std::nullopt;
    }
    return handle.get().as<Message>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace yuccamast
