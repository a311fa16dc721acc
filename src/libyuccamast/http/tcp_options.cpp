#include "http/tcp_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace yuccamast {

namespace {

/// Value of TCP_KEEPCNT: unanswered keepalive probes until the connection
/// fails. The idle time before the first probe counts as one more interval.
constexpr int kKeepAliveProbes = 3;

void SetOption(int fd, int level, int name, int value) {
  ::setsockopt(fd, level, name, &value, sizeof(value));
}

}  // namespace

void SetTcpOptions(boost::asio::ip::tcp::socket& socket, Duration timeout) {
  const int fd = socket.native_handle();
  const auto millis = static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
  const int seconds = std::max(1, millis / 1000 / (kKeepAliveProbes + 1));
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, millis);
}

}  // namespace yuccamast
