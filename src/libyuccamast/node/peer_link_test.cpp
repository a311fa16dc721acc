#include "node/peer_link.h"

#include <criterion/criterion.h>

#include "memory/memory_budget.h"

using namespace yuccamast;  // NOLINT

// Guards against long offers to a lost node that are in no account while the
// link connects, so that further ones are let in until the memory is full.
Test(peer_link, offers_that_wait_for_a_connection_are_counted) {
  boost::asio::io_context io;
  MemoryBudget budget(8U << 20U);
  LinkOptions options;
  options.budget = &budget;
  Metrics metrics;
  const auto link = std::make_shared<PeerLink>(
      io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 1), options,
      metrics, 1);
  OfferHooks hooks;
  hooks.on_answer = [](StreamOutcome, const std::string&) {};
  const OfferId offer =
      link->Send(LinkPath::kCall, std::string(1U << 20U, 'x'), hooks);
  cr_expect_geq(budget.used(MemoryUse::kQueued), 1U << 20U);
  cr_expect(link->Cancel(offer));
  cr_expect_eq(budget.used(), 0U);
}
