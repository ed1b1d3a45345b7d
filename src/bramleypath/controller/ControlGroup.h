#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "bramleypath/controller/LeaderHint.h"
#include "bramleypath/controller/MembershipPlan.h"
#include "bramleypath/group/Replica.h"
#include "bramleypath/net/HttpClient.h"
#include "bramleypath/net/PeerLinks.h"
#include "bramleypath/storage/DataFolder.h"

namespace bramleypath::controller {

struct GroupSettings {
  // The host's IP address; all hosts use the same ports.
  HostId self;
  DataCentreId dataCentre;
  std::string folder;
  bool bootstrap = false;
  // Control-plane hosts named in the settings, at which a host looks for the
  // group; with bootstrap set they are the initial voters.
  std::vector<HostId> seeds;
  std::uint16_t peerPort = 0;
  std::uint16_t controlPort = 0;
  // Number of hosts that may be lost at the same time without losing the
  // quorum.
  std::uint32_t toleratedHosts = 1;
  std::uint64_t randomSeed = 0;
};

struct GroupCallbacks {
  std::function<void(consensus::Term)> leadershipGained;
  std::function<void(consensus::Term)> leadershipLost;
  std::function<void(const std::string& aReason)> failed;
  // A frame of another kind than those of the replica.
  std::function<void(const net::PeerFrame&)> frameReceived;
};

// Sent by each host with a disk to the leader once a second, and to the known
// hosts in turn while no leader is known.
struct Announcement {
  HostId host;
  std::string identity;
  DataCentreId dataCentre;
  std::int64_t unixMs = 0;  // the sender's time of day, Unix milliseconds
};

// Answer to an announcement and to a search for the leader: the leader and the
// hosts that the answering host knows.
struct GroupView {
  HostId leader;  // empty: unknown
  std::vector<HostId> hosts;
};

std::string EncodeAnnouncement(const Announcement& aAnnouncement);
std::optional<Announcement> DecodeAnnouncement(const std::string& aText);
std::string EncodeView(const GroupView& aView);
std::optional<GroupView> DecodeView(const std::string& aText);

// Path of announcements (POST) and of the group's view (GET) on the control
// port.
constexpr const char* kGroupPath = "/internal/group";

// This host's replica of the Raft group that the hosts with a disk form. Finds
// the group through the seeds, joins it, and as its leader keeps the wanted
// number of voters.
class ControlGroup {
 public:
  ControlGroup(asio::io_context& aContext, GroupSettings aSettings,
               net::HttpClient& aClient, group::StateMachine& aMachine,
               GroupCallbacks aCallbacks);
  ~ControlGroup();

  bool Open(std::string& aReason);
  // Replaces the seeds after the settings file has changed.
  void SetSeeds(std::vector<HostId> aSeeds);
  group::Replica& Replica() { return *this->replica; }
  const HostId& Self() const { return this->settings.self; }
  // The leader's host; empty when unknown.
  HostId Leader() const;
  GroupView View() const;
  // The other hosts of the group.
  std::vector<HostId> Peers() const;
  // Whether a frame to the host leaves at once.
  bool IsConnected(const HostId& aHost) const;
  // Sends a frame to another host of the group; it may be lost.
  void SendFrame(const HostId& aHost, const std::string& aKind,
                 net::Bytes aPayload);
  void OnAnnouncement(const Announcement& aAnnouncement);
  // Whether this host, or another one that has announced itself to it, is in
  // the data centre.
  bool HasHostIn(const DataCentreId& aDataCentre) const;
  // Whether the other hosts that live have had the time to announce themselves
  // to this leader.
  bool HasHeardFromHosts(TimePoint aNow) const;
  // Call it at least every 100 ms.
  void Tick(TimePoint aNow);
  // The median of the time of day of this host and of those that announced
  // themselves within the last 3 s, in Unix milliseconds.
  std::int64_t AgreedUnixMs(TimePoint aNow) const;
  void Stop(Duration aDeadline, std::function<void()> aDone);

 private:
  struct ReceivedAnnouncement {
    Announcement announcement;
    TimePoint receivedAt;
    // The sender's time of day less this host's monotonic clock, in ms.
    std::int64_t offsetMs = 0;
  };

  bool OpenFolder(std::string& aReason);
  bool StartReplica(std::string& aReason);
  void OnFrame(const net::PeerFrame& aFrame);
  void UpdatePeers();
  void Announce(TimePoint aNow);
  void SendAnnouncement(const HostId& aHost);
  void Reconcile(TimePoint aNow);
  std::vector<KnownHost> KnownHosts(TimePoint aNow) const;
  bool IsAlive(const consensus::ReplicaId& aReplica, TimePoint aLastSeen,
               TimePoint aNow) const;
  std::vector<HostId> Hosts() const;

  asio::io_context& context;
  GroupSettings settings;
  net::HttpClient& client;
  group::StateMachine& machine;
  GroupCallbacks callbacks;
  std::unique_ptr<storage::FileSystem> files;
  std::optional<storage::DataFolder> folder;
  std::vector<HostId> initialVoters;
  std::unique_ptr<storage::DiskThread> disk;
  std::unique_ptr<net::PeerLinks> links;
  std::unique_ptr<group::Replica> replica;
  std::map<HostId, ReceivedAnnouncement> receivedAnnouncements;
  std::map<consensus::ReplicaId, TimePoint> reachableAt;
  TimePoint leadingSince;
  LeaderHint leaderHint;
  std::vector<HostId> learnedHosts;
  TimePoint announceAt;
  TimePoint reconcileAt;
  std::size_t nextHost = 0;
  bool changeInProgress = false;
  bool stopping = false;
  // Set to false by the destructor, so that callbacks of pending requests don't
  // use the group afterwards.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace bramleypath::controller
