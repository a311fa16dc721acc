#include "http/reply_head.h"

namespace yuccamast {

bool IsValidReplyHead(const boost::beast::http::response_header<>& head) {
  constexpr unsigned kMinStatus = 100;
  constexpr unsigned kMaxStatus = 599;
  return head.result_int() >= kMinStatus && head.result_int() <= kMaxStatus;
}

}  // namespace yuccamast
