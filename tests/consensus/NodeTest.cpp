#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "tests/consensus/Cluster.h"

namespace bramleypath::consensus {

namespace {

constexpr Duration kSettleLimit = Seconds(10);

std::size_t SettledLeader(Cluster& aCluster) {
  CPPUNIT_ASSERT(aCluster.RunUntilSettled(kSettleLimit));
  return *aCluster.LeaderWithLease();
}

void SetIsolated(Cluster& aCluster, std::size_t aHost, bool aCut) {
  for (std::size_t i = 0; i < aCluster.hosts.size(); ++i) {
    aCluster.Cut(aHost, i, aCut);
    aCluster.Cut(i, aHost, aCut);
  }
}

void ProposeMany(Cluster& aCluster, std::size_t aCount) {
  constexpr std::size_t kBytes = 20;
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto leader = aCluster.Leader();
    CPPUNIT_ASSERT(leader.has_value());
    aCluster.Propose(*leader, kBytes);
    if (i % 50 == 49) {
      aCluster.Run(Millis(50));
    }
  }
  // The message size limit is small in these tests, so replicating many entries
  // takes a while.
  for (int i = 0; i < 600; ++i) {
    aCluster.Run(Millis(100));
    const auto leader = aCluster.Leader();
    if (leader && aCluster.hosts[*leader].node->commitIndex ==
                      LastIndex(*aCluster.hosts[*leader].node)) {
      return;
    }
  }
  CPPUNIT_FAIL("proposals were not committed");
}

std::size_t OtherVoter(const Cluster& aCluster, std::size_t aNot) {
  return aNot == 0 ? 1 : (aNot == 1 ? 2 : aNot - 1) % aCluster.hosts.size();
}

}  // namespace

class NodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeTest);
  CPPUNIT_TEST(testPausedLeaderHasNoLease);
  CPPUNIT_TEST(testVotersKeepTheLease);
  CPPUNIT_TEST(testEmptiedFolderCannotVote);
  CPPUNIT_TEST(testSecondLossAfterRepair);
  CPPUNIT_TEST(testCatchUpAfterThousandEntries);
  CPPUNIT_TEST(testOneVoter);
  CPPUNIT_TEST(testTwoVotersAndWitness);
  CPPUNIT_TEST(testLeaderThatReceivesNothingStepsDown);
  CPPUNIT_TEST(testSnapshotChunksAreNotRepeated);
  CPPUNIT_TEST(testNewSnapshotDoesNotRestartTransfer);
  CPPUNIT_TEST(testInvalidMembershipsRefused);
  CPPUNIT_TEST(testLaggingLearnerNotPromoted);
  CPPUNIT_TEST(testTransferAvoidsDeadVoter);
  CPPUNIT_TEST(testConflictingTailTakesFewRoundTrips);
  CPPUNIT_TEST(testAppendWithGapIgnored);
  CPPUNIT_TEST(testDeferredRepliesAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a leader that still acts after a pause longer than its
  // lease, although another one was elected meanwhile (rule 2).
  void testPausedLeaderHasNoLease() {
    Cluster cluster(3, 3, 1);
    const std::size_t old = SettledLeader(cluster);
    cluster.SetPaused(old, true);
    cluster.Run(Millis(500));
    CPPUNIT_ASSERT(!cluster.HasLeaseNow(cluster.hosts[old]));
    cluster.Run(Seconds(3));
    const auto next = cluster.LeaderWithLease();
    CPPUNIT_ASSERT(next && *next != old);
    // The old leader resumes. It must have no lease, neither before it reads
    // any message nor later.
    cluster.hosts[old].paused = false;
    CPPUNIT_ASSERT(cluster.hosts[old].node->role == Role::Leader);
    CPPUNIT_ASSERT(!cluster.HasLeaseNow(cluster.hosts[old]));
    cluster.Propose(old, 8);
    cluster.Run(Seconds(1));
    CPPUNIT_ASSERT(cluster.hosts[old].node->role == Role::Follower);
    CPPUNIT_ASSERT(cluster.LeaderWithLease() == next);
    CPPUNIT_ASSERT_EQUAL(std::string(), cluster.failure);
  }

  // Guards against a voter that votes for another candidate while it receives
  // messages from a leader, or right after a restart, when it no longer knows
  // about the leader (rule 2).
  void testVotersKeepTheLease() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Cluster cluster(3, 3, seed);
      const std::size_t leader = SettledLeader(cluster);
      const std::size_t voter = OtherVoter(cluster, leader);
      const std::size_t candidate = 3 - leader - voter;
      cluster.Cut(leader, candidate, true);
      cluster.Cut(candidate, leader, true);
      for (int i = 0; i < 40; ++i) {
        if (seed % 2 == 0) {
          cluster.Crash(voter, true);
          cluster.Restart(voter);
        }
        cluster.Run(Millis(90));
      }
      CPPUNIT_ASSERT_EQUAL(std::string(), cluster.failure);
      CPPUNIT_ASSERT(cluster.Leader() == leader);
    }
  }

  // Guards against a host that lost its data folder and votes under its earlier
  // identity, although its vote and its log are lost (rule 11).
  void testEmptiedFolderCannotVote() {
    Cluster cluster(3, 3, 2);
    const std::size_t leader = SettledLeader(cluster);
    const std::size_t emptied = OtherVoter(cluster, leader);
    ProposeMany(cluster, 10);
    const ReplicaId former = cluster.hosts[emptied].id;
    cluster.LoseDisk(emptied);
    CPPUNIT_ASSERT(cluster.hosts[emptied].id != former);
    cluster.Crash(leader, true);
    cluster.Run(Seconds(20));
    // One voter of three is left. The vote of the emptied host must not make it
    // leader.
    CPPUNIT_ASSERT(!cluster.Leader());
    const Node& node = *cluster.hosts[emptied].node;
    CPPUNIT_ASSERT(node.hardState.votedFor.empty());
    // The emptied host doesn't answer messages to its former identity either.
    VoteRequest request;
    request.lastIndex = 1000;
    request.lastTerm = 1000;
    const std::size_t third = 3 - leader - emptied;
    Actions actions = Step(
        *cluster.hosts[emptied].node,
        MessageReceived{Message{cluster.hosts[third].id, former, 999, request}},
        cluster.LocalTime(cluster.hosts[emptied]) + Seconds(5));
    CPPUNIT_ASSERT(actions.empty());
  }

  // Guards against a repair that counts the new voter before it holds the log.
  // The loss of a second host right after the repair must lose no committed
  // entry.
  void testSecondLossAfterRepair() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Cluster cluster(3, 3, seed);
      const std::size_t leader = SettledLeader(cluster);
      const std::size_t first = OtherVoter(cluster, leader);
      const std::size_t second = 3 - leader - first;
      // For even seeds the second follower lags, so that only the leader and
      // the first follower hold the newest entries.
      cluster.Cut(leader, second, seed % 2 == 0);
      ProposeMany(cluster, 60);
      cluster.Heal();
      cluster.Run(Seconds(1));
      const ReplicaId lostId = cluster.hosts[first].id;
      cluster.LoseDisk(first);
      const ReplicaId newId = cluster.hosts[first].id;
      for (int i = 0; i < 100 && !IsRepaired(cluster, lostId, newId); ++i) {
        cluster.Repair();
        cluster.Run(Millis(50));
      }
      CPPUNIT_ASSERT(IsRepaired(cluster, lostId, newId));
      const std::size_t now = *cluster.Leader();
      const std::size_t committed = cluster.committed.size();
      cluster.LoseDisk(now == leader ? leader : second);
      cluster.Run(Seconds(5));
      const auto next = cluster.LeaderWithLease();
      CPPUNIT_ASSERT(next.has_value());
      CPPUNIT_ASSERT(cluster.hosts[*next].appliedIndex >= committed);
      CPPUNIT_ASSERT_EQUAL(std::string(), cluster.failure);
    }
  }

  // Guards against a replica that catches up with a gap in its log (rule 13).
  void testCatchUpAfterThousandEntries() {
    Cluster cluster(3, 3, 3);
    const std::size_t leader = SettledLeader(cluster);
    const std::size_t absent = OtherVoter(cluster, leader);
    cluster.Crash(absent, true);
    ProposeMany(cluster, 1000);
    for (std::size_t i = 0; i < 3; ++i) {
      cluster.Snapshot(i);
    }
    CPPUNIT_ASSERT(cluster.hosts[leader].node->baseIndex > 900);
    ProposeMany(cluster, 30);
    const std::uint64_t chunksBefore = cluster.snapshotChunks;
    cluster.Restart(absent);
    CPPUNIT_ASSERT(cluster.RunUntilSettled(Seconds(60)));
    CPPUNIT_ASSERT(cluster.snapshotChunks - chunksBefore > 100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1030},
                         cluster.hosts[absent].applied.size());
    // The replica catches up again after another restart, now from its own
    // disk.
    cluster.Crash(absent, false);
    cluster.Restart(absent);
    CPPUNIT_ASSERT(cluster.RunUntilSettled(kSettleLimit));
    CPPUNIT_ASSERT_EQUAL(std::string(), cluster.failure);
  }

  void testOneVoter() {
    Cluster cluster(1, 1, 4);
    SettledLeader(cluster);
    ProposeMany(cluster, 10);
    cluster.Crash(0, false);
    cluster.Restart(0);
    SettledLeader(cluster);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, cluster.hosts[0].applied.size());
  }

  // Any two of two local hosts and a witness keep a leader with a lease; one of
  // them alone commits nothing.
  void testTwoVotersAndWitness() {
    for (std::size_t cutOff = 0; cutOff < 3; ++cutOff) {
      Cluster cluster(3, 3, 5 + cutOff);
      SettledLeader(cluster);
      SetIsolated(cluster, cutOff, true);
      cluster.Run(Seconds(4));
      const auto leader = cluster.LeaderWithLease();
      CPPUNIT_ASSERT(leader && *leader != cutOff);
      CPPUNIT_ASSERT(!cluster.HasLeaseNow(cluster.hosts[cutOff]));
      const std::size_t before = cluster.committed.size();
      cluster.Propose(cutOff, 8);
      cluster.Run(Seconds(1));
      CPPUNIT_ASSERT_EQUAL(before, cluster.committed.size());
      cluster.Propose(*leader, 8);
      cluster.Run(Seconds(1));
      CPPUNIT_ASSERT_EQUAL(before + 1, cluster.committed.size());
      SetIsolated(cluster, cutOff, false);
      SettledLeader(cluster);
      CPPUNIT_ASSERT_EQUAL(std::string(), cluster.failure);
    }
  }

  // Guards against a leader whose messages arrive but which receives none: its
  // heartbeats kept the others from electing another one for as long as the
  // fault lasted.
  void testLeaderThatReceivesNothingStepsDown() {
    Cluster cluster(3, 3, 6);
    const std::size_t old = SettledLeader(cluster);
    for (std::size_t i = 0; i < 3; ++i) {
      cluster.Cut(i, old, i != old);
    }
    cluster.Run(Seconds(6));
    const auto leader = cluster.LeaderWithLease();
    CPPUNIT_ASSERT(leader && *leader != old);
  }

  // Guards against a leader that sends another copy of a snapshot chunk with
  // every heartbeat and commit while a transfer is slow.
  void testSnapshotChunksAreNotRepeated() {
    Cluster cluster(3, 3, 7);
    const std::size_t leader = SettledLeader(cluster);
    const std::size_t absent = OtherVoter(cluster, leader);
    cluster.Crash(absent, true);
    ProposeMany(cluster, 100);
    cluster.Snapshot(leader);
    const std::size_t bytes =
        cluster.hosts[leader].node->snapshot->state.size();
    const std::size_t needed = bytes / cluster.settings.maxMessageBytes + 1;
    cluster.snapshotChunks = 0;
    cluster.faults.maxDelay = Millis(250);
    cluster.Restart(absent);
    for (int i = 0; i < 300; ++i) {
      cluster.Propose(leader, 1);
      cluster.Run(Millis(50));
    }
    CPPUNIT_ASSERT(cluster.hosts[absent].appliedIndex > 100);
    CPPUNIT_ASSERT(cluster.snapshotChunks <= needed + needed / 2);
  }

  // Guards against a transfer that restarts with each snapshot that the leader
  // takes, and so never ends under load.
  void testNewSnapshotDoesNotRestartTransfer() {
    Cluster cluster(3, 3, 8);
    const std::size_t leader = SettledLeader(cluster);
    const std::size_t absent = OtherVoter(cluster, leader);
    cluster.Crash(absent, true);
    ProposeMany(cluster, 100);
    cluster.Snapshot(leader);
    cluster.faults.maxDelay = Millis(100);
    cluster.Restart(absent);
    const LogIndex first = cluster.hosts[leader].node->snapshot->index;
    for (int i = 0; i < 100; ++i) {
      cluster.Propose(leader, 1);
      cluster.Run(Millis(100));
      cluster.Snapshot(leader);
    }
    CPPUNIT_ASSERT(cluster.hosts[absent].appliedIndex >= first);
  }

  // Guards against quorums that count one replica twice, and against a change
  // of more than one voter.
  void testInvalidMembershipsRefused() {
    Cluster cluster(6, 3, 9);
    const std::size_t leader = SettledLeader(cluster);
    const Membership now = cluster.hosts[leader].node->membership;
    const ReplicaId joining = cluster.hosts[4].id;
    Membership twice = now;
    twice.voters.push_back(now.voters[0]);
    Membership both = now;
    both.learners.push_back(now.voters[0]);
    Membership unnamed = now;
    unnamed.learners.emplace_back();
    Membership none = now;
    none.voters.clear();
    Membership replaced = now;
    replaced.voters[0] = joining;
    Membership learnerTwice = now;
    learnerTwice.learners = {joining, joining};
    Membership twoLess = now;
    twoLess.voters.resize(1);
    for (const Membership& invalid :
         {twoLess, twice, both, unnamed, none, replaced, learnerTwice}) {
      CPPUNIT_ASSERT(!cluster.ChangeMembership(invalid));
    }
    Membership valid = now;
    valid.learners.push_back(joining);
    CPPUNIT_ASSERT(cluster.ChangeMembership(valid));
  }

  // Guards against a learner that becomes a voter while it lacks committed
  // entries (rule 11).
  void testLaggingLearnerNotPromoted() {
    Cluster cluster(4, 3, 10);
    const std::size_t leader = SettledLeader(cluster);
    Membership next = cluster.hosts[leader].node->membership;
    next.voters.push_back(cluster.hosts[3].id);
    CPPUNIT_ASSERT(!cluster.ChangeMembership(next));
    next.voters.pop_back();
    next.learners.push_back(cluster.hosts[3].id);
    cluster.Cut(3, leader, true);
    CPPUNIT_ASSERT(cluster.ChangeMembership(next));
    ProposeMany(cluster, 5);
    std::swap(next.learners, next.voters);
    next.voters = next.learners;
    next.learners.clear();
    next.voters.push_back(cluster.hosts[3].id);
    CPPUNIT_ASSERT(!cluster.ChangeMembership(next));
    cluster.Cut(3, leader, false);
    cluster.Run(Seconds(2));
    CPPUNIT_ASSERT(cluster.ChangeMembership(next));
  }

  // Guards against a planned stop that hands leadership to a crashed voter,
  // which leaves the group without a leader for a second or more.
  void testTransferAvoidsDeadVoter() {
    Cluster cluster(3, 3, 11);
    const std::size_t leader = SettledLeader(cluster);
    const std::size_t dead = OtherVoter(cluster, leader);
    const std::size_t live = 3 - leader - dead;
    cluster.Crash(dead, true);
    cluster.Run(Seconds(2));
    cluster.Handle(leader, TransferLeadership{});
    cluster.Run(Millis(300));
    CPPUNIT_ASSERT(cluster.LeaderWithLease() == live);
  }

  // Guards against a leader that needs one round trip for each conflicting
  // entry of a follower's log.
  void testConflictingTailTakesFewRoundTrips() {
    Cluster cluster(3, 3, 12);
    const std::size_t old = SettledLeader(cluster);
    SetIsolated(cluster, old, true);
    for (int i = 0; i < 500; ++i) {
      cluster.Propose(old, 1);
    }
    cluster.Run(Seconds(4));
    const auto leader = cluster.LeaderWithLease();
    CPPUNIT_ASSERT(leader.has_value());
    for (int i = 0; i < 500; ++i) {
      cluster.Propose(*leader, 1);
    }
    cluster.Run(Millis(500));
    SetIsolated(cluster, old, false);
    // The limit allows for 100 messages of 64 bytes at 20 ms each.
    CPPUNIT_ASSERT(cluster.RunUntilSettled(Seconds(5)));
    CPPUNIT_ASSERT_EQUAL(std::string(), cluster.failure);
  }

  // Guards against a gap in the log when a faulty leader sends entries that are
  // not contiguous (rule 13).
  void testAppendWithGapIgnored() {
    Cluster cluster(2, 2, 13);
    const std::size_t leader = SettledLeader(cluster);
    Host& follower = cluster.hosts[1 - leader];
    AppendRequest request;
    request.previousIndex = LastIndex(*follower.node);
    request.previousTerm = *TermAt(*follower.node, request.previousIndex);
    LogEntry entry;
    entry.index = request.previousIndex + 2;
    entry.term = follower.node->hardState.term;
    request.entries = {entry};
    Step(*follower.node,
         MessageReceived{Message{cluster.hosts[leader].id, follower.id,
                                 follower.node->hardState.term, request}},
         cluster.LocalTime(follower));
    CPPUNIT_ASSERT_EQUAL(request.previousIndex, LastIndex(*follower.node));
  }

  // Guards against memory that grows by one deferred reply per heartbeat while
  // the disk is full or doesn't respond.
  void testDeferredRepliesAreBounded() {
    Cluster cluster(3, 3, 14);
    const std::size_t leader = SettledLeader(cluster);
    const std::size_t stuck = OtherVoter(cluster, leader);
    cluster.hosts[stuck].disk.syncAt = kNever;
    cluster.Propose(leader, 8);
    cluster.Run(Millis(10));
    for (int i = 0; i < 300; ++i) {
      cluster.hosts[stuck].disk.syncAt = kNever;
      cluster.Run(Millis(10));
    }
    CPPUNIT_ASSERT(cluster.hosts[stuck].disk.pending.size() == 1);
    CPPUNIT_ASSERT(cluster.hosts[stuck].node->deferred.size() < 10);
  }

 private:
  static bool IsRepaired(Cluster& aCluster, const ReplicaId& aLost,
                         const ReplicaId& aNew) {
    const auto leader = aCluster.LeaderWithLease();
    if (!leader) {
      return false;
    }
    const Node& node = *aCluster.hosts[*leader].node;
    return !IsVoter(node.membership, aLost) && IsVoter(node.membership, aNew) &&
           node.commitIndex >= node.membershipIndex;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);

}  // namespace bramleypath::consensus
