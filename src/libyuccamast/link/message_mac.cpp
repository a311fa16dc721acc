#include "link/message_mac.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace yuccamast {

namespace {

std::string MacOf(std::string_view key, std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       mac.data(), &size);
  return {reinterpret_cast<const char*>(mac.data()), kSealBytes};
}

}  // namespace

std::string AppendMac(std::string_view key, std::string bytes) {
  if (!key.empty()) {
    bytes += MacOf(key, bytes);
  }
  return bytes;
}

std::optional<std::string> VerifyAndStripMac(std::string_view key,
                                             std::string bytes) {
  if (key.empty()) {
    return bytes;
  }
  if (bytes.size() < kSealBytes) {
    return std::nullopt;
  }
  const std::string seal = bytes.substr(bytes.size() - kSealBytes);
  bytes.resize(bytes.size() - kSealBytes);
  const std::string wanted = MacOf(key, bytes);
  if (CRYPTO_memcmp(seal.data(), wanted.data(), kSealBytes) != 0) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace yuccamast
