#include "http/reply_head.h"

#include <algorithm>

namespace yuccamast {

namespace {

/// Whether a line of `text` begins with a blank or a tab.
bool HasFoldedLine(std::string_view text) {
  const auto at = std::ranges::adjacent_find(text, [](char a, char b) {
    return a == '\n' && (b == ' ' || b == '\t');
  });
  return at != text.end();
}

}  // namespace

bool IsValidReplyHead(std::string_view text,
                      const boost::beast::http::response_header<>& head) {
  constexpr unsigned kMinStatus = 100;
  constexpr unsigned kMaxStatus = 599;
  return head.result_int() >= kMinStatus && head.result_int() <= kMaxStatus &&
         !HasFoldedLine(text);
}

}  // namespace yuccamast
