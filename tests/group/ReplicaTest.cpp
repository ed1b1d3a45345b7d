#include "bramleypath/group/Replica.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/post.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "bramleypath/consensus/Codec.h"
#include "tests/net/TimerProbe.h"
#include "tests/storage/FakeFileSystem.h"

namespace bramleypath::group {

namespace {

using consensus::Bytes;
using consensus::ReplicaId;

constexpr Duration kTimeout = Seconds(5);

// State machine that stores every command, of one byte each. The result of a
// command is its number, counted from 1.
class CommandListMachine : public StateMachine {
 public:
  Bytes Apply(const CommittedCommand& aCommand) override {
    this->commands.push_back(*aCommand.payload.begin());
    return Bytes{static_cast<std::uint8_t>(this->commands.size())};
  }
  Bytes TakeSnapshot() override {
    this->snapshotsAt.insert(this->commands.size());
    return this->commands;
  }
  bool Restore(consensus::LogIndex, gsl::span<const std::uint8_t> aState,
               std::string&) override {
    this->commands.assign(aState.begin(), aState.end());
    return true;
  }

  Bytes commands;
  // Numbers of commands applied before each snapshot.
  std::set<std::size_t> snapshotsAt;
};

// One replica with its simulated disk, and the callbacks it received.
struct Member {
  ReplicaId id;
  storage::FakeDiskState disk;
  std::unique_ptr<storage::FileSystem> files =
      storage::MakeFakeFileSystem(disk);
  CommandListMachine machine;
  // Destroyed after the replica, so that the writes that the replica submitted
  // are complete before a new replica opens the files.
  std::unique_ptr<storage::DiskThread> thread;
  std::unique_ptr<Replica> replica;
  std::string failure;
  std::vector<bool> fullReports;
  int gained = 0;
  int lost = 0;
  bool witness = false;
  bool diskless = false;
};

struct Group {
  explicit Group(std::size_t aMembers, std::size_t aVoters) {
    for (std::size_t i = 0; i < aMembers; ++i) {
      auto member = std::make_unique<Member>();
      member->id = ReplicaId{"h" + std::to_string(i) + "/initial"};
      if (i < aVoters) {
        this->initial.voters.push_back(member->id);
      }
      this->members.push_back(std::move(member));
    }
  }

  void StartAll() {
    for (std::size_t i = 0; i < this->members.size(); ++i) {
      this->Start(i);
    }
  }

  void Start(std::size_t aMember) {
    Member& member = *this->members[aMember];
    member.machine.commands.clear();
    storage::OpenedState opened;
    storage::StorageReason reason;
    std::unique_ptr<storage::GroupStore> store;
    if (!member.diskless) {
      store = storage::GroupStore::Open(*member.files, "data/group",
                                        storage::StoreSettings{2000, 1000},
                                        opened, reason);
      CPPUNIT_ASSERT_MESSAGE(storage::ToText(reason), store != nullptr);
    }
    ReplicaSettings settings;
    settings.self = member.id;
    if (consensus::IsVoter(this->initial, member.id)) {
      settings.initial = this->initial;
    }
    // About half of the default times.
    settings.consensus.heartbeat = Millis(40);
    settings.consensus.electionMin = Millis(300);
    settings.consensus.electionMax = Millis(600);
    settings.consensus.leaderLease = Millis(240);
    settings.consensus.quorumTimeout = this->quorumTimeout;
    settings.consensus.trailingEntries = 10;
    settings.seed = 100 + aMember;
    settings.snapshotEntries = 50;
    settings.maxCommandBytes = 100;
    settings.maxPending = 300;
    settings.proposalInterval = this->proposalInterval;
    settings.mayLead = [this](const ReplicaId& aId) {
      return !this->Find(aId)->witness;
    };
    member.thread = std::make_unique<storage::DiskThread>();
    member.replica = std::make_unique<Replica>(
        this->context, member.thread.get(), std::move(store),
        std::move(opened.restored), std::move(settings),
        this->Callbacks(member), member.machine);
    std::string text;
    CPPUNIT_ASSERT(member.replica->Start(text));
  }

  void Destroy(std::size_t aMember) {
    this->members[aMember]->replica.reset();
    this->members[aMember]->thread.reset();
  }

  ReplicaCallbacks Callbacks(Member& aMember) {
    ReplicaCallbacks callbacks;
    callbacks.send = [this](const consensus::Message& aMessage) {
      const auto* const append =
          std::get_if<consensus::AppendRequest>(&aMessage.body);
      this->appendsWithEntries += append && !append->entries.empty() ? 1 : 0;
      const auto decoded =
          consensus::DecodeMessage(consensus::EncodeMessage(aMessage));
      CPPUNIT_ASSERT(decoded.has_value());
      asio::post(this->context, [this, message = *decoded] {
        Member* to = this->Find(message.to);
        const bool cut = this->isolated.count(message.from) > 0 ||
                         this->isolated.count(message.to) > 0;
        if (to != nullptr && to->replica && !cut) {
          to->replica->Receive(message);
        }
      });
    };
    callbacks.leadershipGained = [&aMember](consensus::Term) {
      ++aMember.gained;
    };
    callbacks.leadershipLost = [&aMember](consensus::Term) { ++aMember.lost; };
    callbacks.storageFull = [&aMember](bool aFull) {
      aMember.fullReports.push_back(aFull);
    };
    callbacks.failed = [&aMember](const std::string& aReason) {
      aMember.failure = aReason;
    };
    return callbacks;
  }

  Member* Find(const ReplicaId& aId) {
    for (const auto& member : this->members) {
      if (member->id == aId) {
        return member.get();
      }
    }
    return nullptr;
  }

  bool RunUntil(const std::function<bool()>& aCondition,
                Duration aLimit = kTimeout) {
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::microseconds(aLimit.micros);
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > until) {
        return false;
      }
      this->context.restart();
      this->context.run_for(std::chrono::milliseconds(2));
    }
    return true;
  }

  std::size_t LeaderNow() {
    for (std::size_t i = 0; i < this->members.size(); ++i) {
      const auto& replica = this->members[i]->replica;
      if (replica && replica->HasLease()) {
        return i;
      }
    }
    return this->members.size();
  }

  std::size_t WaitForLeader() {
    CPPUNIT_ASSERT(this->RunUntil(
        [this] { return this->LeaderNow() < this->members.size(); }));
    return this->LeaderNow();
  }

  ProposeOutcome Propose(std::size_t aMember, Bytes aCommand,
                         Duration aTimeout = kTimeout) {
    return this->Await([&](ProposeCallback aDone) {
      this->members[aMember]->replica->Propose(std::move(aCommand), aTimeout,
                                               std::move(aDone));
    });
  }

  ProposeOutcome Await(const std::function<void(ProposeCallback)>& aStart) {
    // The results are shared with the callback, because it may be called after
    // the wait has timed out.
    auto calls = std::make_shared<std::vector<ProposeOutcome>>();
    aStart([calls](const ProposeOutcome& aOutcome) {
      calls->push_back(aOutcome);
    });
    CPPUNIT_ASSERT_MESSAGE("callback called before the function returned",
                           calls->empty());
    CPPUNIT_ASSERT(
        this->RunUntil([&] { return !calls->empty(); }, Seconds(10)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls->size());
    return calls->front();
  }

  bool AllApplied(const Bytes& aCommands) {
    return this->RunUntil([&] {
      for (const auto& member : this->members) {
        if (member->replica && member->machine.commands != aCommands) {
          return false;
        }
      }
      return true;
    });
  }

  asio::io_context context;
  consensus::Membership initial;
  Duration quorumTimeout = Millis(1200);
  Duration proposalInterval;
  std::size_t appendsWithEntries = 0;
  std::vector<std::unique_ptr<Member>> members;
  std::set<ReplicaId> isolated;
};

}  // namespace

class ReplicaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaTest);
  CPPUNIT_TEST(testProposeIsAppliedEverywhere);
  CPPUNIT_TEST(testLostLeadershipIsUnknown);
  CPPUNIT_TEST(testTimeoutIsUnknown);
  CPPUNIT_TEST(testLimitsAreNotAppended);
  CPPUNIT_TEST(testRestartAndCatchUpThroughSnapshot);
  CPPUNIT_TEST(testFullDiskRefusesAndHandsOver);
  CPPUNIT_TEST(testFullFollowerKeepsNothingInMemory);
  CPPUNIT_TEST(testFailedSyncStopsTheReplica);
  CPPUNIT_TEST(testRepairOfALostVoter);
  CPPUNIT_TEST(testWitnessPassesLeadershipOn);
  CPPUNIT_TEST(testStopLosesNothing);
  CPPUNIT_TEST(testDisklessLearner);
  CPPUNIT_TEST(testReplicasTakeSnapshotsAtDifferentEntries);
  CPPUNIT_TEST(testManyOutcomesDoNotDelayTimers);
  CPPUNIT_TEST(testProposalsWithinAnIntervalAreSentTogether);
  CPPUNIT_TEST(testSingleProposalDoesNotWaitForTheInterval);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a quorum that stands still together, so that the leader
  // loses its lease: all replicas took their snapshots after the same entry.
  void testReplicasTakeSnapshotsAtDifferentEntries() {
    constexpr int kCommands = 200;
    Group group(3, 3);
    group.StartAll();
    const std::size_t leader = group.WaitForLeader();
    Bytes commands;
    for (int command = 0; command < kCommands; ++command) {
      commands.push_back(static_cast<std::uint8_t>(command));
      CPPUNIT_ASSERT(group.Propose(leader, {commands.back()}).Ok());
    }
    CPPUNIT_ASSERT(group.AllApplied(commands));
    std::set<std::size_t> entries;
    std::size_t snapshots = 0;
    for (const auto& member : group.members) {
      const auto& taken = member->machine.snapshotsAt;
      CPPUNIT_ASSERT(taken.size() >= 3);
      snapshots += taken.size();
      entries.insert(taken.begin(), taken.end());
    }
    CPPUNIT_ASSERT_EQUAL(snapshots, entries.size());
  }

  // The outcomes of a large batch were reported in one handler. Heartbeats had
  // to wait for it, so that a busy leader lost its lease.
  void testManyOutcomesDoNotDelayTimers() {
    Group group(1, 1);
    group.StartAll();
    group.WaitForLeader();
    constexpr int kProposals = 300;
    int outcomes = 0;
    net_test::TimerProbe probe(group.context);
    for (int i = 0; i < kProposals; ++i) {
      group.members[0]->replica->Propose({1}, kTimeout,
                                         [&](const ProposeOutcome&) {
                                           probe.RunHandler();
                                           ++outcomes;
                                         });
    }
    CPPUNIT_ASSERT(group.RunUntil([&] { return outcomes == kProposals; }));
    CPPUNIT_ASSERT(probe.MostOverdue() < net_test::kMaxOverdueHandlers);
  }

  // Each batch of proposals costs messages to all members and a sync on each. A
  // stream of single proposals must not cost that for each of them.
  void testProposalsWithinAnIntervalAreSentTogether() {
    Group group(3, 3);
    group.proposalInterval = Millis(50);
    group.StartAll();
    const std::size_t leader = group.WaitForLeader();
    group.appendsWithEntries = 0;
    const auto begin = std::chrono::steady_clock::now();
    std::size_t committed = 0;
    constexpr std::size_t kProposals = 100;
    for (std::size_t i = 0; i < kProposals; ++i) {
      group.members[leader]->replica->Propose(
          {1}, kTimeout, [&](const ProposeOutcome& aOutcome) {
            committed += aOutcome.Ok() ? 1 : 0;
          });
      group.context.restart();
      group.context.run_for(std::chrono::milliseconds(2));
    }
    CPPUNIT_ASSERT(group.RunUntil([&] { return committed == kProposals; }));
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    const auto intervals =
        static_cast<std::size_t>(elapsed / std::chrono::milliseconds(50));
    constexpr std::size_t kFollowers = 2;
    CPPUNIT_ASSERT(group.appendsWithEntries <= (intervals + 2) * kFollowers);
  }

  // The interval is longer than a commit takes on a loaded machine.
  void testSingleProposalDoesNotWaitForTheInterval() {
    Group group(3, 3);
    group.proposalInterval = Seconds(4);
    group.StartAll();
    const std::size_t leader = group.WaitForLeader();
    const auto begin = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(group.Propose(leader, {2}).Ok());
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin <
                   std::chrono::seconds(4));
  }

  void testProposeIsAppliedEverywhere() {
    Group group(3, 3);
    group.StartAll();
    const std::size_t leader = group.WaitForLeader();
    CPPUNIT_ASSERT_EQUAL(1, group.members[leader]->gained);
    const ProposeOutcome first = group.Propose(leader, {7});
    CPPUNIT_ASSERT(first.Ok() && first.result == Bytes{1});
    const ProposeOutcome second = group.Propose(leader, {8});
    CPPUNIT_ASSERT(second.Ok() && second.result == Bytes{2});
    CPPUNIT_ASSERT(second.index > first.index);
    CPPUNIT_ASSERT(group.AllApplied({7, 8}));
    const ProposeOutcome refused = group.Propose((leader + 1) % 3, {9});
    CPPUNIT_ASSERT(refused.error == ProposeError::NotLeader);
    CPPUNIT_ASSERT(refused.leaderHint == group.members[leader]->id);
    CPPUNIT_ASSERT(group.AllApplied({7, 8}));
  }

  // Guards against an outcome that tells the proposer that its command was not
  // appended, although leadership was lost after it was appended.
  void testLostLeadershipIsUnknown() {
    Group group(3, 3);
    group.StartAll();
    const std::size_t old = group.WaitForLeader();
    group.isolated.insert(group.members[old]->id);
    const ProposeOutcome outcome = group.Propose(old, {1}, Seconds(9));
    CPPUNIT_ASSERT(outcome.error == ProposeError::OutcomeUnknown);
    CPPUNIT_ASSERT(!IsNotAppended(outcome.error));
    CPPUNIT_ASSERT_EQUAL(1, group.members[old]->lost);
    const std::size_t next = group.WaitForLeader();
    CPPUNIT_ASSERT(next != old);
    CPPUNIT_ASSERT(group.Propose(next, {2}).Ok());
    group.isolated.clear();
    CPPUNIT_ASSERT(group.AllApplied({2}));
  }

  void testTimeoutIsUnknown() {
    Group group(3, 3);
    group.quorumTimeout = Seconds(60);
    group.StartAll();
    const std::size_t leader = group.WaitForLeader();
    group.isolated.insert(group.members[leader]->id);
    const ProposeOutcome outcome = group.Propose(leader, {1}, Millis(60));
    CPPUNIT_ASSERT(outcome.error == ProposeError::TimedOut);
    CPPUNIT_ASSERT(!IsNotAppended(outcome.error));
  }

  void testLimitsAreNotAppended() {
    Group group(1, 1);
    group.StartAll();
    group.WaitForLeader();
    const ProposeOutcome large = group.Propose(0, Bytes(101, 1));
    CPPUNIT_ASSERT(large.error == ProposeError::TooLarge);
    std::size_t committed = 0;
    std::size_t refused = 0;
    for (int i = 0; i < 400; ++i) {
      group.members[0]->replica->Propose(
          {1}, kTimeout, [&](const ProposeOutcome& aOutcome) {
            committed += aOutcome.Ok() ? 1 : 0;
            refused += aOutcome.error == ProposeError::Overloaded ? 1 : 0;
          });
    }
    CPPUNIT_ASSERT(group.RunUntil([&] { return committed + refused == 400; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{300}, committed);
    CPPUNIT_ASSERT_EQUAL(committed, group.members[0]->machine.commands.size());
  }

  // Guards against commands that are lost or applied twice when a replica
  // restarts, or rejoins after the others compacted their logs (rule 13).
  void testRestartAndCatchUpThroughSnapshot() {
    Group group(3, 3);
    group.StartAll();
    const std::size_t leader = group.WaitForLeader();
    const std::size_t absent = (leader + 1) % 3;
    group.Destroy(absent);
    Bytes commands;
    std::size_t done = 0;
    for (int i = 0; i < 250; ++i) {
      commands.push_back(static_cast<std::uint8_t>(i));
      group.members[leader]->replica->Propose(
          {commands.back()}, kTimeout,
          [&](const ProposeOutcome& aOutcome) { done += aOutcome.Ok(); });
      group.context.restart();
      group.context.poll();
    }
    CPPUNIT_ASSERT(group.RunUntil([&] { return done == commands.size(); }));
    group.Start(absent);
    CPPUNIT_ASSERT(group.AllApplied(commands));
    for (std::size_t i = 0; i < 3; ++i) {
      group.Destroy(i);
    }
    group.StartAll();
    group.WaitForLeader();
    CPPUNIT_ASSERT(group.AllApplied(commands));
  }

  // Guards against a leader that accepts commands it can't store, and against a
  // group that refuses commands although other voters have free disk space
  // (rule 12).
  void testFullDiskRefusesAndHandsOver() {
    Group group(3, 3);
    group.StartAll();
    const std::size_t full = group.WaitForLeader();
    this->SetFreeBytes(*group.members[full], 500);
    const ProposeOutcome last = group.Propose(full, {1});
    CPPUNIT_ASSERT(last.Ok());
    CPPUNIT_ASSERT(group.RunUntil(
        [&] { return group.members[full]->replica->IsStorageFull(); }));
    const ProposeOutcome refused = group.Propose(full, {2});
    CPPUNIT_ASSERT(refused.error == ProposeError::StorageFull);
    CPPUNIT_ASSERT(group.RunUntil(
        [&] { return group.LeaderNow() < 3 && group.LeaderNow() != full; }));
    CPPUNIT_ASSERT(group.Propose(group.LeaderNow(), {3}).Ok());
    this->SetFreeBytes(*group.members[full], 1U << 30);
    CPPUNIT_ASSERT(group.RunUntil(
        [&] { return !group.members[full]->replica->IsStorageFull(); }));
    CPPUNIT_ASSERT(group.members[full]->fullReports ==
                   (std::vector<bool>{true, false}));
    CPPUNIT_ASSERT(group.AllApplied({1, 3}));
  }

  // The group keeps committing while the disk of a follower is full. The
  // follower doesn't apply the entries that it can't store, and catches up
  // later.
  void testFullFollowerKeepsNothingInMemory() {
    Group group(3, 3);
    group.StartAll();
    const std::size_t leader = group.WaitForLeader();
    const std::size_t full = (leader + 1) % 3;
    this->SetFreeBytes(*group.members[full], 0);
    Bytes commands;
    for (std::uint8_t i = 0; i < 30; ++i) {
      commands.push_back(i);
      CPPUNIT_ASSERT(group.Propose(leader, {i}).Ok());
    }
    CPPUNIT_ASSERT(group.members[full]->replica->IsStorageFull());
    CPPUNIT_ASSERT(group.members[full]->machine.commands.size() < 10);
    this->SetFreeBytes(*group.members[full], 1U << 30);
    CPPUNIT_ASSERT(group.AllApplied(commands));
  }

  // Guards against a voter that keeps running after a failed sync (rule 12).
  void testFailedSyncStopsTheReplica() {
    Group group(3, 3);
    group.StartAll();
    const std::size_t bad = group.WaitForLeader();
    {
      const std::lock_guard<std::mutex> lock(storage::FakeDiskMutex());
      group.members[bad]->disk.failSyncs = true;
    }
    const ProposeOutcome outcome = group.Propose(bad, {1});
    // The other voters may have committed the command before the failed sync
    // was reported.
    CPPUNIT_ASSERT(outcome.Ok() ||
                   outcome.error == ProposeError::OutcomeUnknown);
    Member& member = *group.members[bad];
    CPPUNIT_ASSERT(group.RunUntil([&] { return !member.failure.empty(); }));
    CPPUNIT_ASSERT(member.replica->HasFailed());
    CPPUNIT_ASSERT(!member.replica->HasLease());
    CPPUNIT_ASSERT_EQUAL(1, member.lost);
    CPPUNIT_ASSERT(group.Propose(bad, {2}).error == ProposeError::Stopped);
    CPPUNIT_ASSERT(group.RunUntil(
        [&] { return group.LeaderNow() < 3 && group.LeaderNow() != bad; }));
    CPPUNIT_ASSERT(group.Propose(group.LeaderNow(), {3}).Ok());
  }

  // Replaces a lost voter by the repair procedure of rule 11. The group must
  // then survive the loss of a second host.
  void testRepairOfALostVoter() {
    Group group(4, 3);
    group.StartAll();
    const std::size_t leader = group.WaitForLeader();
    CPPUNIT_ASSERT(group.Propose(leader, {1}).Ok());
    const std::size_t lost = (leader + 1) % 3;
    const std::size_t third = (leader + 2) % 3;
    group.Destroy(lost);
    Replica& replica = *group.members[leader]->replica;
    const ReplicaId joining = group.members[3]->id;
    const auto promote = [&] {
      return group.Await([&](ProposeCallback aDone) {
        replica.PromoteLearner(joining, kTimeout, std::move(aDone));
      });
    };
    CPPUNIT_ASSERT(promote().error == ProposeError::NotCaughtUp);
    const auto added = group.Await([&](ProposeCallback aDone) {
      replica.AddLearner(joining, kTimeout, std::move(aDone));
    });
    CPPUNIT_ASSERT(added.Ok());
    CPPUNIT_ASSERT(group.RunUntil([&] { return promote().Ok(); }));
    const auto removed = group.Await([&](ProposeCallback aDone) {
      replica.RemoveMember(group.members[lost]->id, kTimeout, std::move(aDone));
    });
    CPPUNIT_ASSERT(removed.Ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         replica.CurrentMembership().voters.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, replica.Progress().size());
    CPPUNIT_ASSERT(group.Propose(leader, {2}).Ok());
    group.Destroy(leader);
    const std::size_t next = group.WaitForLeader();
    CPPUNIT_ASSERT(next == third || next == 3);
    CPPUNIT_ASSERT(group.Propose(next, {3}).Ok());
    CPPUNIT_ASSERT(group.AllApplied({1, 2, 3}));
  }

  // Guards against a witness that keeps leadership, which would leave the cell
  // without a scheduler.
  void testWitnessPassesLeadershipOn() {
    Group group(3, 3);
    group.members[0]->witness = true;
    group.members[1]->witness = true;
    group.StartAll();
    CPPUNIT_ASSERT(group.RunUntil([&] { return group.LeaderNow() == 2; }));
    CPPUNIT_ASSERT(group.Propose(2, {1}).Ok());
    // When no other voter may lead, a witness leads the group.
    group.Destroy(2);
    const std::size_t witness = group.WaitForLeader();
    CPPUNIT_ASSERT(group.Propose(witness, {2}).Ok());
    group.Start(2);
    CPPUNIT_ASSERT(group.RunUntil([&] { return group.LeaderNow() == 2; }));
  }

  // A stopping leader completes pending proposals, hands leadership over and
  // syncs its files (rule 9).
  void testStopLosesNothing() {
    Group group(3, 3);
    group.StartAll();
    const std::size_t leader = group.WaitForLeader();
    std::size_t committed = 0;
    for (int i = 0; i < 50; ++i) {
      group.members[leader]->replica->Propose(
          {1}, kTimeout,
          [&](const ProposeOutcome& aOutcome) { committed += aOutcome.Ok(); });
    }
    bool done = false;
    group.members[leader]->replica->Stop(kTimeout, [&] { done = true; });
    CPPUNIT_ASSERT(group.Propose(leader, {2}).error == ProposeError::Stopped);
    CPPUNIT_ASSERT(group.RunUntil([&] { return done; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, committed);
    CPPUNIT_ASSERT(!group.members[leader]->replica->IsLeader());
    CPPUNIT_ASSERT_EQUAL(1, group.members[leader]->lost);
    group.Destroy(leader);
    const std::size_t next = group.WaitForLeader();
    CPPUNIT_ASSERT_EQUAL(std::size_t{50},
                         group.members[next]->machine.commands.size());
  }

  void testDisklessLearner() {
    Group group(3, 2);
    group.members[2]->diskless = true;
    group.StartAll();
    const std::size_t leader = group.WaitForLeader();
    const auto added = group.Await([&](ProposeCallback aDone) {
      group.members[leader]->replica->AddLearner(group.members[2]->id, kTimeout,
                                                 std::move(aDone));
    });
    CPPUNIT_ASSERT(added.Ok());
    CPPUNIT_ASSERT(group.Propose(leader, {5}).Ok());
    CPPUNIT_ASSERT(group.AllApplied({5}));
  }

 private:
  static void SetFreeBytes(Member& aMember, std::uint64_t aBytes) {
    const std::lock_guard<std::mutex> lock(storage::FakeDiskMutex());
    aMember.disk.freeBytes = aBytes;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaTest);

}  // namespace bramleypath::group
