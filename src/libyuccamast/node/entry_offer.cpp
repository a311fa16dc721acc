#include "node/entry_call.h"

/// \file entry_offer.cpp
/// The packed offers of a call, and the memory that they take.

namespace yuccamast {

namespace {

/// A body is kept for further offers up to this part of the memory budget. A
/// longer one is released when it was packed, so that it is held once; its call
/// gets one offer.
constexpr std::size_t kKeptBodyShare = 16;

}  // namespace

std::string EntryCall::PackOffer(const Attempt& attempt) {
  OfferMessage offer = BuildOffer(attempt);
  std::string bytes = Pack(offer, PackedSizeHint(offer.fields, offer.body));
  m_body_given_away =
      offer.body.size() > m_context.budget->limit() / kKeptBodyShare;
  if (m_body_given_away) {
    m_request.memory.reset();
  } else {
    m_request.body = std::move(offer.body);
  }
  return bytes;
}

bool EntryCall::HasRoomForOffer() const {
  const std::size_t size = m_request.body.size() + kMessageOverhead;
  return size <= m_context.settings.link.max_message_bytes &&
         (m_request.body.size() <= kMessageOverhead ||
          m_context.budget->HasRoom(size, MemoryUse::kOffer));
}

}  // namespace yuccamast
