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
  // The group's first membership, alike on all of its first members; empty on a
  // replica that joins later.
  consensus::Membership initial;
  consensus::Settings consensus;
  // Seed of the election timeouts; must differ between replicas.
  std::uint64_t seed = 0;
  // A snapshot is taken after this many applied entries or bytes of commands.
  std::size_t snapshotEntries = 4096;
  std::size_t snapshotBytes = 8 * 1024 * 1024;
  // Larger commands are refused.
  std::size_t maxCommandBytes = 2 * 1024 * 1024;
  // More proposals than this waiting for their commit are refused.
  std::size_t maxPending = 16384;
  // Replicas that may keep leadership; a witness that is elected passes it on.
  // Empty: all.
  std::function<bool(const consensus::ReplicaId&)> mayLead;
  // The monotonic clock; empty: std::chrono::steady_clock.
  std::function<TimePoint()> now;
};

// All are called on the thread of the io_context, and may call the replica.
struct ReplicaCallbacks {
  // Hands a message to the link to aMessage.to; may drop it.
  std::function<void(const consensus::Message&)> send;
  // This replica leads and its state machine holds every command that earlier
  // leaders committed. The term is the epoch of what it commands.
  std::function<void(consensus::Term)> leadershipGained;
  // Follows each leadershipGained.
  std::function<void(consensus::Term)> leadershipLost;
  // After entries were applied or a snapshot restored; aIndex is the new
  // applied index.
  std::function<void(consensus::LogIndex aIndex)> applied;
  // The membership in force changed (it may still be uncommitted).
  std::function<void(const consensus::Membership&)> membershipChanged;
  // The disk became full, or has room again.
  std::function<void(bool aFull)> storageFull;
  // A failed write or sync, or a snapshot that can't be restored. The replica
  // does nothing more; the process must end, and checks its files at its next
  // start.
  std::function<void(const std::string& aReason)> failed;
};

// Progress of another member, as its leader knows it.
struct MemberProgress {
  consensus::ReplicaId replica;
  bool voter = false;
  consensus::LogIndex matchIndex = 0;  // durable there
  bool reachable = false;  // acknowledged within the election timeout
};

// Runs one replica of a group on an io_context with a single thread. Nothing
// here is safe to call from another thread.
class Replica {
 public:
  // aStore may be null on a host without a disk; such a replica must stay a
  // learner. aDisk outlives the replica and may serve several of them; it is
  // unused without a store. The io_context outlives both.
  Replica(asio::io_context& aContext, storage::DiskThread* aDisk,
          std::unique_ptr<storage::GroupStore> aStore,
          consensus::RestoredState aRestored, ReplicaSettings aSettings,
          ReplicaCallbacks aCallbacks, StateMachine& aMachine);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // Restores the snapshot and starts the timers. False when the snapshot can't
  // be restored.
  bool Start(std::string& aReason);

  // aCallback is called exactly once, never from within this call. Commands
  // proposed in the same turn of the io_context are sent and synced together.
  void Propose(consensus::Bytes aCommand, Duration aTimeout,
               ProposeCallback aCallback);

  // Membership changes add or remove one voter at a time.
  void ChangeMembership(const consensus::Membership& aMembership,
                        Duration aTimeout, ProposeCallback aCallback);
  void AddLearner(const consensus::ReplicaId& aReplica, Duration aTimeout,
                  ProposeCallback aCallback);
  // Refused as NotCaughtUp until the learner holds every committed entry.
  void PromoteLearner(const consensus::ReplicaId& aReplica, Duration aTimeout,
                      ProposeCallback aCallback);
  // Removes a voter or learner.
  void RemoveMember(const consensus::ReplicaId& aReplica, Duration aTimeout,
                    ProposeCallback aCallback);

  // Hands leadership over; empty: to the most caught-up reachable voter that
  // may lead. False when this replica does not lead or no such voter exists.
  bool TransferLeadership(const consensus::ReplicaId& aTo);

  void Receive(const consensus::Message& aMessage);

  // Check immediately before each outward action.
  bool HasLease() const;
  bool IsLeader() const;
  consensus::Term CurrentTerm() const;
  consensus::ReplicaId LeaderHint() const;  // empty when unknown
  consensus::LogIndex AppliedIndex() const;
  consensus::LogIndex CommitIndex() const;
  const consensus::Membership& CurrentMembership() const;
  // Empty unless this replica leads.
  std::vector<MemberProgress> Progress() const;
  bool IsStorageFull() const;
  bool HasFailed() const;

  // Takes a snapshot now, as after snapshotEntries entries.
  void TakeSnapshot();

  // Refuses new proposals, hands leadership over when it can within
  // aDeadline, syncs what was written, and calls aDone. Messages must be
  // passed in and out until then.
  void Stop(Duration aDeadline, std::function<void()> aDone);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace bramleypath::group
