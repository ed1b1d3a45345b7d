#include "bramleypath/journal/Coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bramleypath::journal {

namespace {

const DataCentreId kCentre{"a"};
const RequestKey kKey{ClientAccountId{"m"}, "k"};

// A coordinator on a leader whose proposals are committed immediately.
struct Leader {
  Coordinator coordinator;
  JournalState state;
  TimePoint now;
  std::vector<Reply> replies;

  Leader() {
    config::KeyOwners owners;
    owners.generation = 1;
    owners.current = {kCentre};
    this->Handle(OwnersInForce{owners, kCentre});
    this->Handle(GainedLeadership{});
  }

  void Handle(const CoordinatorEvent& aEvent) {
    const auto actions =
        Step(this->coordinator, this->state, aEvent, this->now);
    for (const CoordinatorAction& action : actions) {
      if (const auto* const reply = std::get_if<Reply>(&action)) {
        this->replies.push_back(*reply);
        continue;
      }
      const auto& proposal = std::get<ProposeCommand>(action);
      const Outcome outcome = Apply(this->state, proposal.command, this->now);
      this->Handle(Committed{proposal.token, outcome});
    }
  }

  void ReserveFor(CoordinatorRequestId aId, Duration aWait,
                  std::uint64_t aGeneration = 1) {
    const Holder holder{HostId{"e" + std::to_string(aId)}, aId};
    this->Handle(CoordinatorRequest{
        holder.host, aId, Command{Reserve{kKey, {1, 1}, holder, true}}, aWait,
        aGeneration});
  }

  // Releases the grant that ReserveFor requested for aHolderId.
  void ReleaseFor(CoordinatorRequestId aId, CoordinatorRequestId aHolderId) {
    const Holder holder{HostId{"e" + std::to_string(aHolderId)}, aHolderId};
    this->Handle(CoordinatorRequest{
        holder.host, aId, Command{Release{kKey, holder}}, {}, 1});
  }

  // Returns the first reply to a request; fails the test when there is none.
  const Reply& ReplyTo(CoordinatorRequestId aId) const {
    for (const Reply& reply : this->replies) {
      if (reply.id == aId) {
        return reply;
      }
    }
    CPPUNIT_FAIL("no reply to " + std::to_string(aId));
    return this->replies.front();
  }
};

}  // namespace

class CoordinatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinatorTest);
  CPPUNIT_TEST(testRepeatsWaitForTheAnswer);
  CPPUNIT_TEST(testWaitEndsAtDeadlineOrExpiry);
  CPPUNIT_TEST(testReleaseGivesTheGrantToOneWaiter);
  CPPUNIT_TEST(testNoGrantForARequestThatWasGivenUp);
  CPPUNIT_TEST(testOwnersAreChecked);
  CPPUNIT_TEST(testLostLeadershipAnswersAll);
  CPPUNIT_TEST(testPendingRequestsAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against repeats that get no reply, or that get one before the
  // running request is answered.
  void testRepeatsWaitForTheAnswer() {
    Leader leader;
    leader.ReserveFor(1, Seconds(5));
    leader.ReserveFor(2, Seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader.replies.size());
    const StoredAnswer answer{200, "t", {9}, false};
    leader.Handle(
        CoordinatorRequest{HostId{"e1"},
                           10,
                           Command{Answer{kKey, {HostId{"e1"}, 1}, answer}},
                           {},
                           1});
    CPPUNIT_ASSERT(leader.ReplyTo(2).outcome ==
                   (Outcome{Result::Answered, answer}));
    CPPUNIT_ASSERT(leader.ReplyTo(10).outcome.result == Result::Answered);
  }

  // Guards against a repeat that waits beyond its deadline, and against one
  // that waits without end for a holder that never answers.
  void testWaitEndsAtDeadlineOrExpiry() {
    Leader leader;
    leader.ReserveFor(1, Seconds(5));
    leader.ReserveFor(2, Seconds(5));
    leader.ReserveFor(3, Seconds(500));
    leader.now = TimePoint{} + Seconds(6);
    leader.Handle(CoordinatorTick{});
    CPPUNIT_ASSERT(leader.ReplyTo(2).code == ReplyCode::WaitEnded);
    leader.now = TimePoint{} + Seconds(121);
    leader.Handle(CoordinatorTick{});
    CPPUNIT_ASSERT(leader.ReplyTo(3).outcome.result == Result::Unknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, leader.coordinator.waitingCount);
  }

  // Guards against a release after which no waiting request gets the grant, or
  // several do.
  void testReleaseGivesTheGrantToOneWaiter() {
    Leader leader;
    for (CoordinatorRequestId id = 1; id <= 3; ++id) {
      leader.ReserveFor(id, Seconds(5));
    }
    leader.Handle(CoordinatorRequest{
        HostId{"e1"}, 10, Command{Release{kKey, {HostId{"e1"}, 1}}}, {}, 1});
    CPPUNIT_ASSERT(leader.ReplyTo(2).outcome.result == Result::Granted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, leader.replies.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader.coordinator.waitingCount);
  }

  // Guards against a grant to an entry host that no longer waits for it, which
  // blocks the key until the record expires: when the leader is late, a release
  // is handled before the tick that ends the waits.
  void testNoGrantForARequestThatWasGivenUp() {
    struct Row {
      const char* label;
      Duration lateness;
      bool releasedByWaiter;
    };
    const Row rows[] = {
        {"its wait is over", Seconds(2), false},
        {"its holder released the grant", Millis(0), true},
    };
    for (const Row& row : rows) {
      Leader leader;
      leader.ReserveFor(1, Seconds(5));
      leader.ReserveFor(2, Seconds(1));
      leader.ReserveFor(3, Seconds(5));
      leader.now = TimePoint{} + row.lateness;
      if (row.releasedByWaiter) {
        leader.ReleaseFor(10, 2);
      }
      leader.ReleaseFor(11, 1);
      CPPUNIT_ASSERT_MESSAGE(row.label,
                             leader.ReplyTo(2).code == ReplyCode::WaitEnded);
      CPPUNIT_ASSERT_MESSAGE(
          row.label, leader.ReplyTo(3).outcome.result == Result::Granted);
      CPPUNIT_ASSERT_MESSAGE(row.label, leader.coordinator.waitingCount == 0);
    }
  }

  // Guards against a grant by a data centre that doesn't own the key, and
  // against a grant while the key moves.
  void testOwnersAreChecked() {
    Leader leader;
    leader.ReserveFor(1, {}, 2);
    CPPUNIT_ASSERT(leader.ReplyTo(1).code == ReplyCode::NotOwner);
    config::KeyOwners owners = leader.coordinator.owners;
    owners.next = {DataCentreId{"b"}};
    leader.Handle(OwnersInForce{owners, kCentre});
    leader.ReserveFor(2, {});
    CPPUNIT_ASSERT(leader.ReplyTo(2).code == ReplyCode::Moving);
    owners.current = owners.next;
    owners.next.clear();
    leader.Handle(OwnersInForce{owners, kCentre});
    leader.ReserveFor(3, {});
    CPPUNIT_ASSERT(leader.ReplyTo(3).code == ReplyCode::NotOwner);
    CPPUNIT_ASSERT(leader.state.records.empty());
  }

  // Guards against entry hosts that get no reply when the leader loses its
  // leadership.
  void testLostLeadershipAnswersAll() {
    Leader leader;
    leader.ReserveFor(1, Seconds(5));
    leader.ReserveFor(2, Seconds(5));
    leader.Handle(LostLeadership{});
    CPPUNIT_ASSERT(leader.ReplyTo(2).code == ReplyCode::NotLeader);
    leader.ReserveFor(3, Seconds(5));
    CPPUNIT_ASSERT(leader.ReplyTo(3).code == ReplyCode::NotLeader);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, leader.coordinator.waitingCount);
  }

  // Guards against waiting requests that exhaust the leader's memory.
  void testPendingRequestsAreBounded() {
    Leader leader;
    leader.coordinator.settings.maxPendingRequests = 2;
    leader.ReserveFor(1, Seconds(5));
    // Two requests of the same holder count once.
    leader.ReserveFor(2, Seconds(5));
    leader.ReserveFor(2, Seconds(5));
    leader.ReserveFor(3, Seconds(5));
    leader.ReserveFor(4, Seconds(5));
    CPPUNIT_ASSERT(leader.ReplyTo(4).code == ReplyCode::Busy);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, leader.coordinator.waitingCount);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorTest);

}  // namespace bramleypath::journal
