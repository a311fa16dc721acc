#include "link/message_mac.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace yuccamast {

namespace {

std::string ComputeMac(std::string_view key, std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       mac.data(), &size);
  return {reinterpret_cast<const char*>(mac.data()), kMacBytes};
}

}  // namespace

std::string AppendMac(std::string_view key, std::string bytes) {
  if (!key.empty()) {
    bytes += ComputeMac(key, bytes);
  }
  return bytes;
}

std::optional<std::string> VerifyAndStripMac(std::string_view key,
                                             std::string bytes) {
  if (key.empty()) {
    return bytes;
  }
  if (bytes.size() < kMacBytes) {
    return std::nullopt;
  }
  const std::string received_mac = bytes.substr(bytes.size() - kMacBytes);
  bytes.resize(bytes.size() - kMacBytes);
  const std::string expected_mac = ComputeMac(key, bytes);
  if (CRYPTO_memcmp(received_mac.data(), expected_mac.data(), kMacBytes) != 0) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace yuccamast
