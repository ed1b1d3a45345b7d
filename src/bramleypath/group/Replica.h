#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/consensus/Node.h"
#include "bramleypath/consensus/Types.h"
#include "bramleypath/group/Outcome.h"
#include "bramleypath/group/StateMachine.h"
#include "bramleypath/storage/DiskThread.h"
#include "bramleypath/storage/GroupStore.h"

namespace bramleypath::group {

struct ReplicaSettings {
  consensus::ReplicaId self;
  // The group's first membership, the same on all of its first members. Empty
  // on a replica that joins later.
  consensus::Membership initial;
  consensus::Settings consensus;
  // Seed of the random election timeouts. It must differ between replicas,
  // which would otherwise become candidates at the same time again and again.
  std::uint64_t seed = 0;
  // A snapshot is taken after this many applied entries or bytes of applied
  // commands, whichever comes first. The first one comes up to half an interval
  // earlier, chosen at random from the seed.
  std::size_t snapshotEntries = 4096;
  std::size_t snapshotBytes = 8 * 1024 * 1024;
  // Larger commands are refused as TooLarge.
  std::size_t maxCommandBytes = 2 * 1024 * 1024;
  // Proposals are refused as Overloaded while this many are not yet committed.
  std::size_t maxPending = 16384;
  // Proposals are sent at most once per interval, so that a stream of them
  // costs fewer messages and syncs. The first one after a pause is sent at
  // once.
  Duration proposalInterval;
  // Tells whether a replica may keep leadership. A replica that may not, such
  // as a witness, hands it over when elected. If unset, all replicas may.
  std::function<bool(const consensus::ReplicaId&)> mayLead;
  // The monotonic clock; std::chrono::steady_clock if unset.
  std::function<TimePoint()> now;
};

// All callbacks run on the thread of the io_context, and may call the replica.
// All but send may be unset.
struct ReplicaCallbacks {
  // Sends a message to the replica aMessage.to. The message may be lost.
  std::function<void(const consensus::Message&)> send;
  // This replica leads, and its state machine has applied every command that
  // earlier leaders committed. The term serves as the epoch of the leader's
  // commands.
  std::function<void(consensus::Term)> leadershipGained;
  // Called once after each leadershipGained, when leadership is lost or the
  // replica stops or fails; not when the replica is destroyed while it leads.
  std::function<void(consensus::Term)> leadershipLost;
  // Called after entries were applied or a snapshot was restored. aIndex is the
  // new applied index.
  std::function<void(consensus::LogIndex aIndex)> applied;
  // The membership in effect changed. The change may not be committed yet.
  std::function<void(const consensus::Membership&)> membershipChanged;
  // Free disk space fell below the reserve, or is sufficient again.
  std::function<void(bool aFull)> storageFull;
  // A write or sync failed, or a snapshot can't be restored. The replica
  // handles no further events. The process must exit; its files are checked at
  // the next start.
  std::function<void(const std::string& aReason)> failed;
};

// Replication progress of another member, as the leader knows it.
struct MemberProgress {
  consensus::ReplicaId replica;
  bool voter = false;
  // Last index that is known to be durable on the member.
  consensus::LogIndex matchIndex = 0;
  // True when it answered a message sent less than electionMin ago.
  bool reachable = false;
};

// Runs one replica of a group on an io_context with a single thread. No
// function may be called from another thread.
class Replica {
 public:
  // aStore may be null on a host without a disk; such a replica must stay a
  // learner. aDisk must outlive the replica and may serve several replicas; it
  // is unused without a store. The io_context must outlive both.
  Replica(asio::io_context& aContext, storage::DiskThread* aDisk,
          std::unique_ptr<storage::GroupStore> aStore,
          consensus::RestoredState aRestored, ReplicaSettings aSettings,
          ReplicaCallbacks aCallbacks, StateMachine& aMachine);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // Restores the stored snapshot, if any, and starts the timer. Returns false
  // and sets aReason when the snapshot can't be restored.
  bool Start(std::string& aReason);

  // Proposes a command. aCallback is called exactly once, never before this
  // call returns. Commands proposed within one handler of the io_context are
  // sent and synced together.
  void Propose(consensus::Bytes aCommand, Duration aTimeout,
               ProposeCallback aCallback);

  // Proposes a new membership, which may add or remove at most one voter.
  // aCallback is called as for Propose. The three functions below propose the
  // current membership with one change.
  void ChangeMembership(const consensus::Membership& aMembership,
                        Duration aTimeout, ProposeCallback aCallback);
  void AddLearner(const consensus::ReplicaId& aReplica, Duration aTimeout,
                  ProposeCallback aCallback);
  // Refused as NotCaughtUp until the learner has acknowledged every committed
  // entry.
  void PromoteLearner(const consensus::ReplicaId& aReplica, Duration aTimeout,
                      ProposeCallback aCallback);
  // Removes a voter or learner.
  void RemoveMember(const consensus::ReplicaId& aReplica, Duration aTimeout,
                    ProposeCallback aCallback);

  // Starts to hand leadership over to aTo or, if it is empty, to the reachable
  // voter with the highest match index among those that may lead. False when
  // this replica is not the leader, or when the voter is unreachable or none
  // exists.
  bool TransferLeadership(const consensus::ReplicaId& aTo);

  // Handles a message from another replica.
  void Receive(const consensus::Message& aMessage);

  // True while this replica is the leader and no other leader can exist. Check
  // it right before each action that is visible outside of the process.
  bool HasLease() const;
  bool IsLeader() const;
  consensus::Term CurrentTerm() const;
  consensus::ReplicaId LeaderHint() const;  // empty when unknown
  consensus::LogIndex AppliedIndex() const;
  consensus::LogIndex CommitIndex() const;
  const consensus::Membership& CurrentMembership() const;
  // Progress of all other members. Empty unless this replica is the leader.
  std::vector<MemberProgress> Progress() const;
  // True while free disk space is below the reserve.
  bool IsStorageFull() const;
  bool HasFailed() const;

  // Takes a snapshot now instead of after snapshotEntries entries.
  void TakeSnapshot();

  // Refuses new proposals, waits for pending ones, hands leadership over if
  // possible, waits until all writes are synced, and calls aDone. Steps that
  // are not complete within aTimeout are abandoned. The caller must keep
  // passing messages in and out until aDone is called.
  void Stop(Duration aTimeout, std::function<void()> aDone);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace bramleypath::group
