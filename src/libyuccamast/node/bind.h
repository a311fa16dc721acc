#pragma once

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <thread>

#include "yuccamast/clock.h"

/// \file bind.h
/// Binding of the addresses that a node serves.
///
/// A node may be started while the process that had its addresses before is
/// still ending, such as its predecessor at a restart. An address in use is
/// therefore not an error at once.

namespace yuccamast {

/// Longest wait for an address to become free.
inline constexpr Duration kBindTimeout = std::chrono::seconds(5);
/// Time between two attempts.
inline constexpr Duration kBindRetryPeriod = std::chrono::milliseconds(50);

/// Calls `attempt` until it returns true, or until `kBindTimeout` has passed.
/// Blocks. Returns whether an attempt returned true.
template <typename Attempt>
bool RetryWhileInUse(Attempt attempt) {
  const TimePoint deadline = Clock::now() + kBindTimeout;
  while (!attempt()) {
    if (Clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kBindRetryPeriod);
  }
  return true;
}

/// Binds an open socket or acceptor of Asio. Waits for up to `kBindTimeout`
/// while the address is in use. Throws boost::system::system_error.
template <typename Socket>
void BindWhenFree(Socket& socket,
                  const typename Socket::endpoint_type& endpoint) {
  boost::system::error_code error;
  RetryWhileInUse([&] {
    socket.bind(endpoint, error);
    return error != boost::asio::error::address_in_use;
  });
  if (error) {
    throw boost::system::system_error(error, "bind");
  }
}

}  // namespace yuccamast
