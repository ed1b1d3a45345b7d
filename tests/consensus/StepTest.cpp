#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "bramleypath/consensus/Node.h"

namespace bramleypath::consensus {

namespace {

const ReplicaId kSelf{"a/initial"};
const ReplicaId kSecond{"b/initial"};
const ReplicaId kThird{"c/initial"};
constexpr TimePoint kStart{1000000};

LogEntry MakeCommand(LogIndex aIndex, Term aTerm) {
  LogEntry entry;
  entry.index = aIndex;
  entry.term = aTerm;
  entry.payload = {1};
  return entry;
}

Node MakeRestoredNode(Term aTerm, std::vector<LogEntry> aEntries) {
  RestoredState restored;
  restored.hardState.term = aTerm;
  restored.entries = std::move(aEntries);
  return MakeNode(kSelf, Settings{}, Membership{{kSelf, kSecond, kThird}, {}},
                  std::move(restored), 1, kStart);
}

void Receive(Node& aNode, const ReplicaId& aFrom, Term aTerm,
             decltype(Message::body) aBody, TimePoint aNow) {
  Step(aNode, MessageReceived{Message{aFrom, kSelf, aTerm, std::move(aBody)}},
       aNow);
}

// Makes the node leader with the votes of the second replica, and returns the
// time of the election.
TimePoint Elect(Node& aNode) {
  const TimePoint now = kStart + Seconds(2);
  Step(aNode, Tick{}, now);
  const Term term = aNode.hardState.term + 1;
  Receive(aNode, kSecond, term, VoteReply{true, true}, now);
  Step(aNode, StorageSynced{aNode.lastTicket}, now);
  Receive(aNode, kSecond, term, VoteReply{false, true}, now);
  CPPUNIT_ASSERT(aNode.role == Role::Leader);
  return now;
}

}  // namespace

class StepTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepTest);
  CPPUNIT_TEST(testOldTermCommitsOnlyBehindOwnTerm);
  CPPUNIT_TEST(testNoMembershipChangeBeforeOwnCommit);
  CPPUNIT_TEST(testTruncationRollsMembershipBack);
  CPPUNIT_TEST(testTruncatedEntriesAreNotDurable);
  CPPUNIT_TEST(testSnapshotOfMatchingLogKeepsLaterEntries);
  CPPUNIT_TEST(testVoteWaitsForItsSync);
  CPPUNIT_TEST(testNoLeaseAfterFailedTransfer);
  CPPUNIT_TEST(testNoSnapshotWithoutMembership);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a leader that commits an entry of an earlier term because a
  // quorum holds it; a later leader may still replace such an entry.
  void testOldTermCommitsOnlyBehindOwnTerm() {
    Node node = MakeRestoredNode(2, {MakeCommand(1, 1), MakeCommand(2, 2)});
    const TimePoint now = Elect(node);
    Step(node, StorageSynced{node.lastTicket}, now);
    Receive(node, kSecond, 3, AppendReply{true, 2, now}, now);
    CPPUNIT_ASSERT_EQUAL(LogIndex{0}, node.commitIndex);
    Receive(node, kSecond, 3, AppendReply{true, 3, now}, now);
    CPPUNIT_ASSERT_EQUAL(LogIndex{3}, node.commitIndex);
  }

  // Guards against two leaders that each commit a change of one voter, with
  // quorums that don't overlap.
  void testNoMembershipChangeBeforeOwnCommit() {
    Node node = MakeRestoredNode(2, {MakeCommand(1, 1)});
    const TimePoint now = Elect(node);
    const auto isAccepted = [&] {
      const Actions actions = Step(
          node, ProposeMembership{1, Membership{{kSelf, kSecond}, {}}}, now);
      return std::holds_alternative<ProposalAccepted>(actions.front());
    };
    CPPUNIT_ASSERT(!isAccepted());
    Step(node, StorageSynced{node.lastTicket}, now);
    Receive(node, kSecond, 3, AppendReply{true, 2, now}, now);
    CPPUNIT_ASSERT(isAccepted());
    CPPUNIT_ASSERT(!isAccepted());
  }

  // Guards against a replica that keeps using a membership whose entry was
  // removed from its log without having been committed.
  void testTruncationRollsMembershipBack() {
    LogEntry change = MakeCommand(2, 1);
    change.kind = EntryKind::MembershipChange;
    change.membership = Membership{{kSelf}, {}};
    Node node = MakeRestoredNode(1, {MakeCommand(1, 1), change});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node.membership.voters.size());
    AppendRequest request;
    request.previousIndex = 1;
    request.previousTerm = 1;
    request.entries = {MakeCommand(2, 2)};
    Receive(node, kSecond, 2, request, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, node.membership.voters.size());
    CPPUNIT_ASSERT_EQUAL(LogIndex{0}, node.membershipIndex);
  }

  // Guards against a leader that counts its own copy of an entry as durable
  // because the entry that it replaced at the same index was durable.
  void testTruncatedEntriesAreNotDurable() {
    Node node = MakeRestoredNode(
        1, {MakeCommand(1, 1), MakeCommand(2, 1), MakeCommand(3, 1)});
    AppendRequest request;
    request.previousIndex = 1;
    request.previousTerm = 1;
    request.entries = {MakeCommand(2, 2), MakeCommand(3, 2)};
    Receive(node, kSecond, 2, request, kStart);
    CPPUNIT_ASSERT_EQUAL(LogIndex{1}, node.durableIndex);
    const SyncTicket second = node.lastTicket;
    // The entries are replaced again before the first write is synced.
    request.entries = {MakeCommand(2, 3)};
    Receive(node, kThird, 3, request, kStart);
    Step(node, StorageSynced{second}, kStart);
    CPPUNIT_ASSERT_EQUAL(LogIndex{1}, node.durableIndex);
    Step(node, StorageSynced{node.lastTicket}, kStart);
    CPPUNIT_ASSERT_EQUAL(LogIndex{2}, node.durableIndex);
  }

  // Guards against the loss of acknowledged entries when a snapshot that ends
  // before them arrives late.
  void testSnapshotOfMatchingLogKeepsLaterEntries() {
    Node node = MakeRestoredNode(
        1, {MakeCommand(1, 1), MakeCommand(2, 1), MakeCommand(3, 1)});
    SnapshotChunk chunk;
    chunk.index = 2;
    chunk.term = 1;
    chunk.membership = node.membership;
    chunk.totalBytes = 1;
    chunk.data = {0};
    Receive(node, kSecond, 1, chunk, kStart);
    CPPUNIT_ASSERT_EQUAL(LogIndex{3}, LastIndex(node));
    CPPUNIT_ASSERT_EQUAL(LogIndex{2}, node.appliedIndex);
    // A snapshot whose last entry is not in the log replaces the whole log.
    chunk.index = 3;
    chunk.term = 2;
    Receive(node, kSecond, 2, chunk, kStart);
    CPPUNIT_ASSERT_EQUAL(LogIndex{3}, node.baseIndex);
    CPPUNIT_ASSERT_EQUAL(Term{2}, node.baseTerm);
    CPPUNIT_ASSERT(node.log.empty());
  }

  // Guards against a voter that restarts and votes twice in one term, because
  // it sent its vote before the vote was durable.
  void testVoteWaitsForItsSync() {
    Node node = MakeRestoredNode(1, {});
    const TimePoint now = kStart + Seconds(2);
    const Message request{kSecond, kSelf, 2, VoteRequest{}};
    const auto sends = [](const Actions& aActions) {
      return std::count_if(
          aActions.begin(), aActions.end(), [](const Action& aAction) {
            return std::holds_alternative<SendMessage>(aAction);
          });
    };
    const Actions first = Step(node, MessageReceived{request}, now);
    CPPUNIT_ASSERT(sends(first) == 0);
    const auto* write = std::get_if<PersistHardState>(&first.back());
    CPPUNIT_ASSERT(write != nullptr && write->state.votedFor == kSecond);
    const SyncTicket ticket = node.lastTicket;
    CPPUNIT_ASSERT(sends(Step(node, StorageSynced{ticket - 1}, now)) == 0);
    CPPUNIT_ASSERT(sends(Step(node, StorageSynced{ticket}, now)) == 1);
    CPPUNIT_ASSERT(node.hardState.votedFor == kSecond);
  }

  // Guards against a snapshot without a membership. A replica that joined later
  // could take one and, as leader, send it to a voter, which would then have no
  // membership.
  void testNoSnapshotWithoutMembership() {
    Node node = MakeNode(kSelf, Settings{}, Membership{}, {}, 1, kStart);
    AppendRequest request;
    request.commitIndex = 2;
    request.entries = {MakeCommand(1, 1), MakeCommand(2, 1)};
    LogEntry change = MakeCommand(3, 1);
    change.kind = EntryKind::MembershipChange;
    change.membership = Membership{{kSecond, kThird}, {kSelf}};
    request.entries.push_back(change);
    Receive(node, kSecond, 1, request, kStart);
    Step(node, SnapshotTaken{2, {1}}, kStart);
    CPPUNIT_ASSERT(node.snapshot == nullptr);
    request.previousIndex = 3;
    request.previousTerm = 1;
    request.commitIndex = 3;
    request.entries.clear();
    Receive(node, kSecond, 1, request, kStart);
    Step(node, SnapshotTaken{3, {1}}, kStart);
    CPPUNIT_ASSERT(node.snapshot != nullptr);
  }

  // Guards against a lease that returns after a failed transfer: the transfer
  // request may arrive late, and voters then ignore the lease.
  void testNoLeaseAfterFailedTransfer() {
    Node node = MakeRestoredNode(2, {MakeCommand(1, 1)});
    const TimePoint now = Elect(node);
    Step(node, StorageSynced{node.lastTicket}, now);
    Receive(node, kSecond, 3, AppendReply{true, 2, now}, now);
    CPPUNIT_ASSERT(HasLease(node, now));
    Step(node, TransferLeadership{kSecond}, now);
    CPPUNIT_ASSERT(!HasLease(node, now));
    const TimePoint late = now + Settings{}.electionMax;
    Receive(node, kThird, 3, AppendReply{true, 2, late}, late);
    Step(node, Tick{}, late);
    CPPUNIT_ASSERT(!HasLease(node, late));
    CPPUNIT_ASSERT(node.role == Role::Follower);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepTest);

}  // namespace bramleypath::consensus
