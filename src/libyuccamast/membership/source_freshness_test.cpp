#include "yuccamast/membership/source_freshness.h"

#include <criterion/criterion.h>

#include <random>

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr Duration kProbePeriod = milliseconds(600);
constexpr Duration kTick = milliseconds(50);

/// One node of a fleet with a controlled clock.
class Node {
 public:
  explicit Node(const std::string& vm = "vm-1")
      : m_freshness(
            vm,
            kProbePeriod,
            [this] { return m_random(); },
            m_now) {}

  /// Advances the clock by ticks. At each, the node hears `contact`, if any,
  /// and reads as a substitute with success if `platform` is set. Returns the
  /// time for which it was a substitute.
  Duration Run(Duration time,
               const std::optional<SourceContact>& contact,
               bool platform) {
    Duration as_substitute{};
    for (Duration done{}; done < time; done += kTick) {
      m_now += kTick;
      if (contact) {
        m_freshness.OnMessage(*contact, m_now);
      }
      if (m_freshness.Update(m_position, m_now)) {
        as_substitute += kTick;
        if (platform) {
          m_freshness.OnOwnContact(false, m_now);
        }
      }
    }
    return as_substitute;
  }

  void SetPosition(const ReaderPosition& position) { m_position = position; }
  const SourceFreshness& freshness() const { return m_freshness; }
  SourceContact ContactToSend() const {
    return m_freshness.ContactToSend(m_now);
  }

 private:
  std::mt19937_64 m_random{7};
  TimePoint m_now = TimePoint{} + std::chrono::hours(1);
  SourceFreshness m_freshness;
  ReaderPosition m_position{12, 4, 0};
};

const SourceContact kReaderNow{"reader", 0, true};
/// A message of a node that knows of no contact.
const SourceContact kNoContact{};

/// Two VM names, the first with the higher rank.
std::pair<std::string, std::string> RankedNames() {
  return ReaderRank("vm-a") > ReaderRank("vm-b")
             ? std::make_pair("vm-a", "vm-b")
             : std::make_pair("vm-b", "vm-a");
}

}  // namespace

// Guards against store calls of nodes that the readers keep up to date.
Test(source_freshness, no_substitute_while_a_reader_is_in_contact) {
  Node node;
  cr_expect(node.Run(std::chrono::minutes(1), kReaderNow, true) ==
            Duration::zero());
}

// Guards against a node that hears no peer and keeps an old configuration,
// although the platform would answer it.
Test(source_freshness, isolated_node_reads_within_two_probe_periods) {
  Node node;
  node.SetPosition({300, 12, 40});
  node.Run(std::chrono::seconds(5), kReaderNow, true);
  cr_expect(node.Run(2 * kProbePeriod + kTick, std::nullopt, true) >
            Duration::zero());
  cr_expect(node.Run(std::chrono::seconds(10), std::nullopt, true) ==
            std::chrono::seconds(10));
  // Relieved once it hears of a reader again.
  cr_expect(node.Run(std::chrono::seconds(5), kReaderNow, true) <
            milliseconds(100));
}

// Guards against a fleet in which no node reads, since the platform turns all
// designated readers away. The node that ranks first must read in time for
// a change to be in force everywhere within 2 s.
Test(source_freshness, first_ranked_node_replaces_readers_without_contact) {
  Node node;
  node.Run(std::chrono::seconds(5), kReaderNow, true);
  cr_expect(node.Run(milliseconds(1300), kNoContact, true) > Duration::zero());
  cr_expect(node.Run(std::chrono::seconds(10), kNoContact, true) ==
            std::chrono::seconds(10));
}

// Guards against all nodes of a data centre calling the store at the same time
// when the readers lose it: a node further down the ranking waits.
Test(source_freshness, nodes_further_down_wait_for_those_ahead) {
  Node node;
  node.SetPosition({12, 4, 3});
  node.Run(std::chrono::seconds(5), kReaderNow, true);
  cr_expect(node.Run(milliseconds(1900), kNoContact, true) == Duration::zero());
  cr_expect(node.Run(milliseconds(200), kNoContact, true) > Duration::zero());
}

// Guards against an outage of the platform in which each node of a large fleet
// calls it all the time.
Test(source_freshness, attempts_in_an_outage_are_rare) {
  Node node;
  node.SetPosition({300, 12, 0});
  const Duration time = std::chrono::minutes(60);
  const Duration as_substitute = node.Run(time, kNoContact, false);
  // Attempts of 1 s with a mean pause of 150 s.
  cr_expect_gt(as_substitute / milliseconds(1), 0);
  cr_expect_lt(static_cast<double>(as_substitute / milliseconds(1)),
               0.02 * static_cast<double>(time / milliseconds(1)));
}

// Guards against two substitutes that both stop since each hears of the other,
// after which no node reads.
Test(source_freshness, of_two_substitutes_one_goes_on) {
  const auto [higher, lower] = RankedNames();
  Node first(higher);
  Node second(lower);
  for (Node* node : {&first, &second}) {
    cr_assert(node->Run(std::chrono::seconds(2), kNoContact, true) >
              Duration::zero());
  }
  for (int i = 0; i < 100; ++i) {
    const SourceContact of_first = first.ContactToSend();
    const SourceContact of_second = second.ContactToSend();
    first.Run(kTick, of_second, true);
    second.Run(kTick, of_first, true);
  }
  cr_expect(first.freshness().is_substitute());
  cr_expect_not(second.freshness().is_substitute());
}

// Guards against a substitute that stops since its own contact comes back to
// it by way of another node.
Test(source_freshness, own_contact_is_no_relief) {
  Node node("vm-1");
  cr_assert(node.Run(std::chrono::seconds(2), kNoContact, true) >
            Duration::zero());
  const SourceContact echo{"vm-1", 0, true};
  cr_expect(node.Run(std::chrono::seconds(5), echo, true) ==
            std::chrono::seconds(5));
}

// Guards against ages that get lost on the way, so that an old contact counts
// as recent again at each node that passes it on.
Test(source_freshness, age_is_passed_on) {
  Node node("vm-2");
  node.Run(kTick, SourceContact{"reader", 0, true}, false);
  node.Run(milliseconds(500), kNoContact, false);
  const SourceContact contact = node.ContactToSend();
  cr_expect_eq(contact.vm, "reader");
  cr_expect(contact.designated);
  cr_expect_geq(contact.age_ms, 500U);
  cr_expect_lt(contact.age_ms, 600U);
}

// Guards against a message that keeps a node from reading for ever: an age that
// a signed number of milliseconds cannot hold would be a contact in the future.
Test(source_freshness, age_out_of_range_counts_as_old) {
  Node node;
  const SourceContact contact{"reader", ~std::uint64_t{0}, true};
  node.Run(milliseconds(1300), contact, true);
  cr_expect(node.freshness().is_substitute());
}
