// Compiled as C++17: the headers of cxxtools do not compile as C++20.
#include "source/http_fetcher.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/timespan.h>

namespace yuccamast {

class HttpFetcher::Impl {
 public:
  Impl(const std::string& ip, std::uint16_t port) : m_client(ip, port) {}

  Result<std::string, FetchError> Get(const std::string& path,
                                      std::chrono::milliseconds timeout) {
    try {
      const cxxtools::Milliseconds limit(static_cast<double>(timeout.count()));
      const cxxtools::http::Request request(path);
      m_client.execute(request, limit, limit);
      m_client.readBody();
      const cxxtools::http::Reply& reply = m_client.reply();
      if (reply.httpReturnCode() != 200) {
        return FetchError{FetchFault::kBadStatus,
                          std::to_string(reply.httpReturnCode())};
      }
      if (reply.body().size() > kMaxFetchBytes) {
        return FetchError{FetchFault::kTooLarge, path};
      }
      return reply.body();
    } catch (const std::exception& error) {
      m_client.close();
      return FetchError{FetchFault::kUnreachable, error.what()};
    }
  }

 private:
  cxxtools::http::Client m_client;
};

HttpFetcher::HttpFetcher(const std::string& ip, std::uint16_t port)
    : m_impl(std::make_unique<Impl>(ip, port)) {}

HttpFetcher::~HttpFetcher() = default;

Result<std::string, FetchError> HttpFetcher::Get(
    const std::string& path,
    std::chrono::milliseconds timeout) {
  return m_impl->Get(path, timeout);
}

}  // namespace yuccamast
