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
  std::function<void(consensus::Term)> gained;
  std::function<void(consensus::Term)> lost;
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

// The replicas of this host, their messages, the leaders of all groups, and
// the changes of membership that the configuration asks for.
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
  // Of the data folder; empty without one.
  std::string Identity() const;

  // Starts the replica of a group. aFirstVoters are those of the settings,
  // which are the first members on a bootstrapped host.
  bool Start(const std::string& aGroup, group::StateMachine& aMachine,
             const std::vector<HostId>& aFirstVoters, const GroupHooks& aHooks,
             std::string& aReason);
  // Null when no replica runs here.
  group::Replica* Find(const std::string& aGroup);

  // Called for a message of a group without a replica here, which a member of
  // the group wants to add.
  std::function<void(const std::string& aGroup)> onUnknownGroup;
  // Called when the disk failed; the process must end.
  std::function<void(const std::string& aReason)> onFailed;

  // Handles frames of the kinds above; false for others.
  bool OnFrame(const net::PeerFrame& aFrame);
  void Tick(TimePoint aNow);
  // The hosts, and the voters that each group should have.
  void SetHosts(
      const Hosts& aHosts,
      std::function<std::vector<HostId>(const std::string&)> aVotersOf);

  // This host while it leads; otherwise what its replica or the leader itself
  // said last.
  std::optional<HostId> LeaderOf(const std::string& aGroup);
  bool Leads(const std::string& aGroup);
  std::vector<GroupStatus> Status();

  // Hands leaderships over and syncs.
  void Stop(Duration aDeadline, const std::function<void()>& aDone);

 private:
  struct Running;
  struct HeardLeader {
    HostId host;
    std::uint64_t term = 0;
    TimePoint until;
  };
  void OnRaft(const net::PeerFrame& aFrame);
  void OnHello(const net::PeerFrame& aFrame);
  void SendHello();
  void Reconcile(Running& aGroup);

  asio::io_context& context;
  HostId self;
  net::PeerLinks& links;
  std::uint64_t seed;
  consensus::Settings timings;
  std::unique_ptr<storage::FileSystem> files;
  std::optional<storage::DataFolder> folder;
  std::unique_ptr<storage::DiskThread> disk;
  std::map<std::string, std::unique_ptr<Running>> running;
  Hosts hosts;
  std::function<std::vector<HostId>(const std::string&)> votersOf;
  std::map<HostId, consensus::ReplicaId> identities;
  std::map<std::string, HeardLeader> heardLeaders;
  TimePoint helloAt;
  TimePoint reconcileAt;
  bool stopping = false;
};

}  // namespace bramleypath::daemon
