#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "yuccamast/result.h"

/// \file http_fetcher.h
/// Reads from the platform's services by the HTTP client of cxxtools.
///
/// Only GET is offered: the client of cxxtools sends a request again when a
/// kept connection turns out to be closed, which a read can bear. The header
/// is free of cxxtools, whose own headers do not compile as C++20.

namespace yuccamast {

enum class FetchFault : std::uint8_t { kUnreachable, kBadStatus, kTooLarge };

struct FetchError {
  FetchFault fault = FetchFault::kUnreachable;
  std::string detail;
};

/// A blocking HTTP reader of one server. Not thread-safe.
class HttpFetcher {
 public:
  HttpFetcher(const std::string& ip, std::uint16_t port);
  ~HttpFetcher();
  HttpFetcher(const HttpFetcher&) = delete;
  HttpFetcher& operator=(const HttpFetcher&) = delete;

  /// GET of `path`. Blocks for at most about `timeout`.
  Result<std::string, FetchError> Get(const std::string& path,
                                      std::chrono::milliseconds timeout);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Longest body that is accepted.
inline constexpr std::size_t kMaxFetchBytes = 8U << 20U;

}  // namespace yuccamast
