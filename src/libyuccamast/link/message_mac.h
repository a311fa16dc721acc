#pragma once

#include <optional>
#include <string>
#include <string_view>

/// \file message_mac.h
/// Authenticates control messages with a shared key: HMAC-SHA256, truncated to
/// kMacBytes and appended to the message. Uses OpenSSL.
///
/// The MAC proves that the message comes from a holder of the key and was not
/// changed. It neither encrypts nor detects replays. Replayed control messages
/// do no harm, since every statement in them shows its age relative to others
/// (such as by a revision), and an older one never replaces a newer one.

namespace yuccamast {

/// Size of the MAC at the end of a message.
inline constexpr std::size_t kMacBytes = 16;

/// Returns `bytes` followed by its MAC, or unchanged if `key` is empty.
/// Thread-safe.
std::string AppendMac(std::string_view key, std::string bytes);

/// Verifies the MAC in constant time and returns the message without it, or
/// nothing if the MAC is missing or wrong. If `key` is empty, returns `bytes`
/// unchanged and unverified. Thread-safe.
std::optional<std::string> VerifyAndStripMac(std::string_view key,
                                             std::string bytes);

}  // namespace yuccamast
