#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "yuccamast/result.h"

/// \file http_fetcher.h
/// A blocking HTTP client for reading pages, based on cxxtools.
///
/// Only GET is offered: the client of cxxtools repeats a request when a
/// keep-alive connection turns out to be closed, which is safe only for
/// requests without side effects. This header does not include cxxtools, whose
/// headers do not compile as C++20.

namespace yuccamast {

/// Why a page could not be fetched.
enum class FetchFault : std::uint8_t {
  kUnreachable,  ///< No connection, a timeout, or no valid HTTP reply.
  kBadStatus,    ///< The status was not 200.
  kTooLarge      ///< The body was longer than `kMaxFetchBytes`.
};

/// An error of `HttpFetcher::Get`.
struct FetchError {
  FetchFault fault = FetchFault::kUnreachable;
  std::string detail;  ///< Cause, HTTP status or path, by `fault`.
};

/// Fetches pages from one server over a keep-alive connection. Not
/// thread-safe.
class HttpFetcher {
 public:
  /// Does not connect yet.
  HttpFetcher(const std::string& ip, std::uint16_t port);
  ~HttpFetcher();
  HttpFetcher(const HttpFetcher&) = delete;
  HttpFetcher& operator=(const HttpFetcher&) = delete;

  /// The body of the reply to a GET of `path`, which may have a query part.
  /// Blocks. `timeout` limits connecting and each wait for more data, not the
  /// request as a whole: a server that sends slowly can take longer.
  Result<std::string, FetchError> Get(const std::string& path,
                                      std::chrono::milliseconds timeout);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Longest body that is accepted, in bytes. It is checked after the body has
/// been read.
inline constexpr std::size_t kMaxFetchBytes = 8U << 20U;

}  // namespace yuccamast
