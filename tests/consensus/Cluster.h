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

// What a replica's disk holds, and the writes that are not synced yet.
struct FakeDisk {
  RestoredState durable;
  std::deque<Action> pending;
  TimePoint syncAt = kNever;
};

struct Host {
  ReplicaId id;
  std::optional<Node> node;  // empty while crashed
  FakeDisk disk;
  // The state machine: (index, payload) of every applied command.
  std::vector<std::pair<LogIndex, Bytes>> applied;
  LogIndex appliedIndex = 0;
  Membership initial;
  bool paused = false;
  std::vector<Message> inbox;  // arrived while paused
  double clockRate = 1.0;
  std::int64_t clockOffset = 0;  // microseconds
  int lives = 0;                 // data folders lost so far
};

struct Faults {
  std::uint64_t dropPercent = 0;
  std::uint64_t duplicatePercent = 0;
  Duration maxDelay = Millis(5);
};

// Several replicas joined by an in-memory network, with an oracle that is
// checked after every event. A violation is kept as the first failure.
struct Cluster {
  Cluster(std::size_t aHosts, std::size_t aVoters, std::uint64_t aSeed);

  // Commands.
  void Run(Duration aLength);
  void Crash(std::size_t aHost, bool aKeepsSomeUnsynced);
  void Restart(std::size_t aHost);
  // Crash, and a new identity with an empty disk. Ignored when it would lose
  // more than a minority of the voters of any membership in use.
  void LoseDisk(std::size_t aHost);
  void SetPaused(std::size_t aHost, bool aPaused);
  void Cut(std::size_t aFrom, std::size_t aTo, bool aCut);
  void Propose(std::size_t aHost, std::size_t aBytes);
  bool ChangeMembership(const Membership& aMembership);
  void Transfer(std::size_t aTo);
  void Snapshot(std::size_t aHost);
  // The next step of the repair of a lost voter, where one is needed.
  void Repair();
  // Ends all faults and restarts all hosts.
  void Heal();
  // True once a leader holds its lease and every member has applied what it
  // has.
  bool IsSettled();
  bool RunUntilSettled(Duration aLimit);

  std::optional<std::size_t> LeaderWithLease();
  std::optional<std::size_t> Leader();
  TimePoint Local(const Host& aHost) const;
  bool HasLeaseNow(const Host& aHost) const;

  void Handle(std::size_t aHost, const Event& aEvent);
  void Carry(std::size_t aHost, Actions aActions);
  void Send(std::size_t aHost, const Message& aMessage);
  void SyncDisk(Host& aHost, std::size_t aWrites);
  void Apply(Host& aHost, const LogEntry& aEntry);
  void Start(Host& aHost);
  void CheckLeases();
  void CheckLeaderComplete(const Node& aNode);
  void Fail(const std::string& aText);
  std::optional<std::size_t> Find(const ReplicaId& aId) const;
  bool IsCut(std::size_t aFrom, std::size_t aTo) const;

  Settings settings;
  Random random;
  TimePoint now{1000000};
  std::vector<Host> hosts;
  Faults faults;
  Duration syncTime = Millis(2);
  std::set<std::pair<std::size_t, std::size_t>> cuts;
  std::multimap<std::int64_t, Message> network;
  std::uint64_t nextToken = 1;
  std::uint64_t acceptedProposals = 0;
  std::uint64_t snapshotChunks = 0;

  // The oracle: every entry that some replica knew to be committed.
  std::map<LogIndex, LogEntry> committed;
  // The term of the leader that committed it, which is the first to apply it.
  std::map<LogIndex, Term> committedIn;
  std::set<ReplicaId> lost;  // identities whose disk is gone
  std::string failure;
};

std::ostream& operator<<(std::ostream& aOut, const Cluster& aCluster);

}  // namespace bramleypath::consensus
