#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/daemon/Layout.h"
#include "bramleypath/group/Replica.h"
#include "bramleypath/net/PeerLinks.h"
#include "bramleypath/storage/DataFolder.h"
#include "bramleypath/storage/DiskThread.h"
#include "bramleypath/storage/FileSystem.h"
#include "bramleypath/wire/PeerRequest.h"

namespace bramleypath::daemon {

constexpr const char* kRaftKind = "raft";
constexpr const char* kHelloKind = "hello";

struct GroupHooks {
  std::function<void(consensus::Term)> leadershipGained;
  std::function<void(consensus::Term)> leadershipLost;
};

struct GroupStatus {
  std::string group;
  bool local = false;  // a replica runs here
  bool leading = false;
  bool storageFull = false;
  HostId leader;  // empty when unknown
  consensus::Term term = 0;
  consensus::LogIndex commitIndex = 0;
  consensus::LogIndex appliedIndex = 0;
  std::vector<std::string> voters;
  std::vector<std::string> learners;
};

// Runs the replicas of this host: passes on their messages, tracks the leaders
// of all groups and makes the membership changes that the configuration
// requires.
class Groups {
 public:
  Groups(asio::io_context& aContext, HostId aSelf, net::PeerLinks& aLinks,
         std::uint64_t aSeed, const consensus::Settings& aTimings);
  ~Groups();
  Groups(const Groups&) = delete;
  Groups& operator=(const Groups&) = delete;

  // Opens the data folder; without it no replica can be started.
  bool OpenFolder(const std::string& aPath, storage::CreationMode aCreationMode,
                  std::string& aReason);
  bool HasDisk() const { return this->folder.has_value(); }
  // The identity of the data folder; empty without one.
  std::string Identity() const;

  // Starts the replica of a group. aInitialVoters are the voters that the
  // settings name; on a bootstrapped host they are the group's initial
  // membership.
  bool Start(const std::string& aGroup, group::StateMachine& aMachine,
             const std::vector<HostId>& aInitialVoters,
             const GroupHooks& aHooks, std::string& aReason);
  // Null when no replica runs here.
  group::Replica* Find(const std::string& aGroup);

  // Called for a message of a group that has no replica here. A member of the
  // group sends it because it adds this host.
  std::function<void(const std::string& aGroup)> onUnknownGroup;
  // Called when a replica failed because of the disk; the process must end.
  std::function<void(const std::string& aReason)> onFailed;

  // Handles frames of the kinds kRaftKind and kHelloKind; false for others.
  bool OnFrame(const net::PeerFrame& aFrame);
  void Tick(TimePoint aNow);
  // Sets the hosts, and the function that returns the voters that each group
  // should have.
  void SetHosts(
      const EntryHosts& aHosts,
      std::function<std::vector<HostId>(const std::string&)> aDesiredVoters);

  // This host while it leads; otherwise the leader that its replica follows, or
  // that last reported itself in a hello. Nothing when none is known.
  std::optional<HostId> LeaderOf(const std::string& aGroup);
  bool Leads(const std::string& aGroup);
  std::vector<GroupStatus> Status();

  // Transfers the leaderships, syncs the logs and then calls aDone.
  void Stop(Duration aTimeout, const std::function<void()>& aDone);

 private:
  struct RunningReplica;
  struct ReportedLeader {
    HostId host;
    std::uint64_t term = 0;
    TimePoint until;
  };
  void OnRaft(const net::PeerFrame& aFrame);
  void OnHello(const net::PeerFrame& aFrame);
  // Sends the identity of this host and the groups that it leads to all other
  // hosts.
  void SendHello();
  void Reconcile(RunningReplica& aGroup);

  asio::io_context& context;
  HostId self;
  net::PeerLinks& links;
  std::uint64_t seed;
  consensus::Settings timings;
  std::unique_ptr<storage::FileSystem> files;
  std::optional<storage::DataFolder> folder;
  std::unique_ptr<storage::DiskThread> disk;
  std::map<std::string, std::unique_ptr<RunningReplica>> running;
  EntryHosts hosts;
  std::function<std::vector<HostId>(const std::string&)> desiredVoters;
  // The present replica of each host, from its last hello.
  std::map<HostId, consensus::ReplicaId> identities;
  std::map<std::string, ReportedLeader> reportedLeaders;
  TimePoint helloAt;
  TimePoint reconcileAt;
  bool stopping = false;
};

}  // namespace bramleypath::daemon
