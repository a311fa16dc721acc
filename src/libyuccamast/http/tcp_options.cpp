#include "http/tcp_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace yuccamast {

namespace {

constexpr int kProbes = 3;

void SetOption(int fd, int level, int name, int value) {
  ::setsockopt(fd, level, name, &value, sizeof(value));
}

}  // namespace

void SetTcpOptions(boost::asio::ip::tcp::socket& socket, Duration bound) {
  const int fd = socket.native_handle();
  const auto millis = static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(bound).count());
  const int seconds = std::max(1, millis / 1000 / (kProbes + 1));
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, millis);
}

}  // namespace yuccamast
