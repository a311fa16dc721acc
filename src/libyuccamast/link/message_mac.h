#pragma once

#include <optional>
#include <string>
#include <string_view>

/// \file message_mac.h
/// Authenticates control messages with a shared key (HMAC-SHA256 by OpenSSL).
///
/// The seal proves that a message was made by a holder of the key and was not
/// changed. Replayed control messages are harmless without more: every word
/// in them is ordered, and an old one never replaces a newer one.

namespace yuccamast {

/// Bytes of the seal at the end of a message.
inline constexpr std::size_t kSealBytes = 16;

/// The message with its seal, or as it is if `key` is empty. Thread-safe.
std::string AppendMac(std::string_view key, std::string bytes);

/// The message without its seal, or nothing if the seal is wrong.
std::optional<std::string> VerifyAndStripMac(std::string_view key,
                                             std::string bytes);

}  // namespace yuccamast
