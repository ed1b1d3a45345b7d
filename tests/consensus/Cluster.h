#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bramleypath/base/Random.h"
#include "bramleypath/consensus/Node.h"

namespace bramleypath::consensus {

// Simulated disk of a replica: the durable state, and the writes that are not
// yet synced.
struct FakeDisk {
  RestoredState durable;
  std::deque<Action> pending;
  TimePoint syncAt = kNever;  // when the pending writes become durable
};

// A simulated host with one replica.
struct Host {
  ReplicaId id;
  std::optional<Node> node;  // empty while crashed
  FakeDisk disk;
  // State of the state machine: index and payload of every applied command.
  std::vector<std::pair<LogIndex, Bytes>> applied;
  LogIndex appliedIndex = 0;
  Membership initial;  // the group's first membership; empty if it joins later
  bool paused = false;
  std::vector<Message> inbox;  // messages that arrived while paused
  double clockRate = 1.0;
  std::int64_t clockOffset = 0;  // microseconds
  int disksLost = 0;             // number of disks this host has lost
};

// Faults of the simulated network.
struct Faults {
  std::uint64_t dropPercent = 0;
  std::uint64_t duplicatePercent = 0;
  Duration maxDelay = Millis(5);
};

// Several replicas connected by a simulated network. An oracle checks the
// safety properties after every event; failure holds the first violation.
struct Cluster {
  Cluster(std::size_t aHosts, std::size_t aVoters, std::uint64_t aSeed);

  // Commands of the tests.
  void Run(Duration aLength);
  // Stops a replica. With aKeepsSomeUnsynced, a random number of its unsynced
  // writes reach the disk before.
  void Crash(std::size_t aHost, bool aKeepsSomeUnsynced);
  void Restart(std::size_t aHost);
  // Crashes a replica and starts a new one with a new identity and an empty
  // disk on the same host. Ignored when half or more of the voters of any
  // membership in use would then have lost their disks.
  void LoseDisk(std::size_t aHost);
  void SetPaused(std::size_t aHost, bool aPaused);
  // Blocks or unblocks messages in one direction.
  void Cut(std::size_t aFrom, std::size_t aTo, bool aCut);
  void Propose(std::size_t aHost, std::size_t aBytes);
  // False when there is no leader or it refuses the change.
  bool ChangeMembership(const Membership& aMembership);
  void Transfer(std::size_t aTo);
  void Snapshot(std::size_t aHost);
  // Proposes the next membership change that replaces a voter whose disk was
  // lost: promotes a learner, removes a lost member, or adds a learner.
  void Repair();
  // Ends all faults, resumes paused hosts and restarts crashed ones.
  void Heal();
  // True when a leader holds its lease and every member has applied the whole
  // log of that leader.
  bool IsSettled();
  bool RunUntilSettled(Duration aLimit);

  std::optional<std::size_t> LeaderWithLease();
  std::optional<std::size_t> Leader();
  // Time by the clock of the host.
  TimePoint LocalTime(const Host& aHost) const;
  bool HasLeaseNow(const Host& aHost) const;

  void Handle(std::size_t aHost, const Event& aEvent);
  void ExecuteActions(std::size_t aHost, Actions aActions);
  void Send(std::size_t aHost, const Message& aMessage);
  // Makes the oldest aWrites pending writes durable.
  void SyncDisk(Host& aHost, std::size_t aWrites);
  void Apply(Host& aHost, const LogEntry& aEntry);
  void Start(Host& aHost);
  // Checks that at most one replica holds a lease, and that it has applied what
  // was committed in earlier terms.
  void CheckLeases();
  // Checks that an entry of an earlier term is never committed after the first
  // entry of a later term. A leader that has applied that entry relies on it to
  // say that a job isn't stored and won't be.
  void CheckTermNeverFalls(const LogEntry& aEntry);
  // Checks that a new leader's log has every entry committed in earlier terms.
  void CheckLeaderComplete(const Node& aNode);
  // Stores the first violation.
  void RecordFailure(const std::string& aText);
  std::optional<std::size_t> Find(const ReplicaId& aId) const;
  bool IsCut(std::size_t aFrom, std::size_t aTo) const;

  Settings settings;
  Random random;
  TimePoint now{1000000};
  std::vector<Host> hosts;
  Faults faults;
  Duration syncTime = Millis(2);
  std::set<std::pair<std::size_t, std::size_t>> cuts;  // (from, to)
  // Messages in flight, by arrival time in microseconds.
  std::multimap<std::int64_t, Message> network;
  std::uint64_t nextToken = 1;
  std::uint64_t acceptedProposals = 0;
  std::uint64_t snapshotChunks = 0;  // sent

  // State of the oracle: every entry that any replica has applied.
  std::map<LogIndex, LogEntry> committed;
  // For each of these entries the term of the leader that committed it. A
  // leader is the first to apply what it commits.
  std::map<LogIndex, Term> committedIn;
  std::set<ReplicaId> lost;  // identities whose disk was lost
  std::string failure;
};

std::ostream& operator<<(std::ostream& aOut, const Cluster& aCluster);

}  // namespace bramleypath::consensus
