#include "bramleypath/controller/ControlGroup.h"

#include <algorithm>
#include <set>
#include <utility>

#include "bramleypath/codec/Bounded.h"
#include "bramleypath/codec/Fields.h"
#include "bramleypath/consensus/Codec.h"
#include "bramleypath/controller/InitialVoters.h"
#include "bramleypath/eventlog/EventLog.h"
#include "bramleypath/net/Clock.h"
#include "bramleypath/storage/GroupStore.h"

namespace bramleypath::controller {

namespace {

constexpr const char* kGroupName = "jobs";
constexpr const char* kRaftKind = "raft";
constexpr Duration kAnnounceInterval = Seconds(1);
// Interval of announcements while the leader is unknown.
constexpr Duration kSearchInterval = Millis(300);
constexpr Duration kReconcileInterval = Millis(300);
// A replica that was not heard for this long counts as failed. If it is a
// voter, a live learner is promoted in its place.
constexpr Duration kFailureTimeout = Seconds(3);
constexpr Duration kChangeTimeout = Seconds(2);
constexpr Duration kAnnounceTimeout = Millis(800);
// The disks are small, so segments are small too: a snapshot lets whole
// segments be deleted.
constexpr std::uint64_t kSegmentBytes = 4ULL * 1024 * 1024;
constexpr std::uint64_t kReserveBytes = 12ULL * 1024 * 1024;
constexpr std::size_t kSnapshotEntries = 4096;
// Short against the time that a commit takes, and long enough that a busy
// leader sends at most 100 batches per second.
constexpr Duration kProposalInterval = Millis(10);

std::string AddressOf(const HostId& aHost, std::uint16_t aPort) {
  return aHost.value + ":" + std::to_string(aPort);
}

net::PeerLimits LinkLimits() {
  // One for each host of a group, and for connections of hosts that were
  // replaced.
  constexpr std::size_t kMaxConnections = 16;
  net::PeerLimits limits;
  limits.maxIncomingConnections = kMaxConnections;
  return limits;
}

template <typename T>
std::optional<T> DecodeJson(const std::string& aText) {
  const codec::Json json = codec::ParseJson(aText);
  T value;
  codec::FieldError error;
  if (json.is_discarded() || !codec::FromJson(json, "", value, error)) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Announcement& aAnnouncement) {
  aVisitor.Required("host", aAnnouncement.host);
  aVisitor.Required("identity", aAnnouncement.identity);
  aVisitor.Required("data_centre", aAnnouncement.dataCentre);
  aVisitor.Required("unix_ms", aAnnouncement.unixMs);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, GroupView& aView) {
  aVisitor.Required("leader", aView.leader);
  aVisitor.Required("hosts", aView.hosts);
}

std::string EncodeAnnouncement(const Announcement& aAnnouncement) {
  return codec::DumpJson(codec::ToJson(aAnnouncement));
}

std::optional<Announcement> DecodeAnnouncement(const std::string& aText) {
  return DecodeJson<Announcement>(aText);
}

std::string EncodeView(const GroupView& aView) {
  return codec::DumpJson(codec::ToJson(aView));
}

std::optional<GroupView> DecodeView(const std::string& aText) {
  return DecodeJson<GroupView>(aText);
}

ControlGroup::ControlGroup(asio::io_context& aContext, GroupSettings aSettings,
                           net::HttpClient& aClient,
                           group::StateMachine& aMachine,
                           GroupCallbacks aCallbacks)
    : context(aContext),
      settings(std::move(aSettings)),
      client(aClient),
      machine(aMachine),
      callbacks(std::move(aCallbacks)),
      files(storage::MakePosixFileSystem()) {}

ControlGroup::~ControlGroup() { *this->alive = false; }

bool ControlGroup::OpenFolder(std::string& aReason) {
  storage::FileReason fileReason;
  if (!this->files->MakeFolder(this->settings.folder, fileReason)) {
    aReason = "can't create " + this->settings.folder;
    return false;
  }
  const std::string path = this->settings.folder + "/state";
  auto voters = ReadInitialVoters(*this->files, this->settings.folder);
  const bool isSeed =
      std::find(this->settings.seeds.begin(), this->settings.seeds.end(),
                this->settings.self) != this->settings.seeds.end();
  if (!voters && this->settings.bootstrap && isSeed) {
    voters = this->settings.seeds;
    std::sort(voters->begin(), voters->end());
    if (!WriteInitialVoters(*this->files, this->settings.folder, *voters,
                            aReason)) {
      return false;
    }
  }
  storage::StorageReason reason;
  if (voters && this->settings.bootstrap && isSeed) {
    this->folder =
        storage::OpenDataFolder(*this->files, path, this->settings.self,
                                storage::CreationMode::Bootstrap, reason);
  }
  if (!this->folder) {
    this->folder =
        storage::OpenDataFolder(*this->files, path, this->settings.self,
                                storage::CreationMode::Join, reason);
  }
  if (!this->folder) {
    aReason = storage::ToText(reason);
    return false;
  }
  if (voters &&
      this->folder->identity == storage::InitialIdentity(this->settings.self)) {
    this->initialVoters = *voters;
  }
  eventlog::Write("data_folder_opened",
                  {{"identity", this->folder->identity.value},
                   {"created", this->folder->created ? "true" : "false"}});
  return true;
}

bool ControlGroup::StartReplica(std::string& aReason) {
  storage::StorageReason reason;
  storage::OpenedState opened;
  storage::StoreSettings store;
  store.segmentBytes = kSegmentBytes;
  store.reserveBytes = kReserveBytes;
  std::unique_ptr<storage::GroupStore> groupStore = storage::GroupStore::Open(
      *this->files, storage::GroupFolder(*this->folder, kGroupName), store,
      opened, reason);
  if (!groupStore) {
    aReason = storage::ToText(reason);
    return false;
  }
  group::ReplicaSettings replicaSettings;
  replicaSettings.self = this->folder->identity;
  replicaSettings.seed = this->settings.randomSeed;
  replicaSettings.now = net::Now;
  replicaSettings.snapshotEntries = kSnapshotEntries;
  replicaSettings.proposalInterval = kProposalInterval;
  for (const HostId& host : this->initialVoters) {
    replicaSettings.initial.voters.push_back(storage::InitialIdentity(host));
  }
  group::ReplicaCallbacks replicaCallbacks;
  replicaCallbacks.send = [this](const consensus::Message& aMessage) {
    net::PeerFrame frame;
    frame.group = kGroupName;
    frame.kind = kRaftKind;
    frame.to = storage::HostOf(aMessage.to);
    frame.payload = consensus::EncodeMessage(aMessage);
    this->links->Send(std::move(frame), net::FramePriority::Normal);
  };
  replicaCallbacks.leadershipGained = [this](consensus::Term aTerm) {
    this->leadingSince = net::Now();
    eventlog::Write("leadership_gained", {{"epoch", std::to_string(aTerm)}});
    this->callbacks.leadershipGained(aTerm);
  };
  replicaCallbacks.leadershipLost = [this](consensus::Term aTerm) {
    eventlog::Write("leadership_lost", {{"epoch", std::to_string(aTerm)}});
    this->callbacks.leadershipLost(aTerm);
  };
  replicaCallbacks.membershipChanged =
      [this](const consensus::Membership& aMembership) {
        std::string voters;
        for (const consensus::ReplicaId& voter : aMembership.voters) {
          voters += (voters.empty() ? "" : " ") + voter.value;
        }
        eventlog::Write("membership_changed", {{"voters", voters}});
        this->UpdatePeers();
      };
  replicaCallbacks.storageFull = [](bool aFull) {
    eventlog::Write(aFull ? "disk_full" : "disk_has_room");
  };
  replicaCallbacks.failed = [this](const std::string& aText) {
    eventlog::Write("replica_failed", {{"reason", aText}});
    this->callbacks.failed(aText);
  };
  this->disk = std::make_unique<storage::DiskThread>();
  this->replica = std::make_unique<group::Replica>(
      this->context, this->disk.get(), std::move(groupStore),
      std::move(opened.restored), std::move(replicaSettings),
      std::move(replicaCallbacks), this->machine);
  this->UpdatePeers();
  return this->replica->Start(aReason);
}

bool ControlGroup::Open(std::string& aReason) {
  if (!this->OpenFolder(aReason)) {
    return false;
  }
  this->links = std::make_unique<net::PeerLinks>(
      this->context, this->settings.self,
      AddressOf(this->settings.self, this->settings.peerPort), LinkLimits(),
      [this](const net::PeerFrame& aFrame) { this->OnFrame(aFrame); });
  net::NetReason netReason;
  if (!this->links->Open(netReason)) {
    aReason = netReason.detail;
    return false;
  }
  return this->StartReplica(aReason);
}

void ControlGroup::OnFrame(const net::PeerFrame& aFrame) {
  if (!this->replica) {
    return;
  }
  if (aFrame.kind != kRaftKind) {
    this->callbacks.frameReceived(aFrame);
    return;
  }
  const auto message = consensus::DecodeMessage(aFrame.payload);
  if (!message || storage::HostOf(message->from) != aFrame.from) {
    eventlog::Write("peer_message_malformed", {{"from", aFrame.from.value}});
    return;
  }
  // A message may be addressed to this host's former identity, whose data
  // folder is lost. Handling it would let the new replica vote in place of the
  // old one.
  if (message->to == this->folder->identity) {
    this->replica->Receive(*message);
  }
}

std::vector<HostId> ControlGroup::Hosts() const {
  std::set<HostId> hosts(this->settings.seeds.begin(),
                         this->settings.seeds.end());
  hosts.insert(this->learnedHosts.begin(), this->learnedHosts.end());
  for (const auto& [host, received] : this->receivedAnnouncements) {
    hosts.insert(host);
  }
  if (this->replica) {
    const consensus::Membership& membership =
        this->replica->CurrentMembership();
    for (const auto* list : {&membership.voters, &membership.learners}) {
      for (const consensus::ReplicaId& member : *list) {
        hosts.insert(storage::HostOf(member));
      }
    }
  }
  return {hosts.begin(), hosts.end()};
}

void ControlGroup::UpdatePeers() {
  if (!this->links) {
    return;
  }
  std::map<HostId, std::string> addresses;
  for (const HostId& host : this->Hosts()) {
    if (host != this->settings.self) {
      addresses[host] = AddressOf(host, this->settings.peerPort);
    }
  }
  this->links->SetPeers(addresses);
}

void ControlGroup::SetSeeds(std::vector<HostId> aSeeds) {
  this->settings.seeds = std::move(aSeeds);
  this->UpdatePeers();
}

HostId ControlGroup::Leader() const {
  if (this->replica->IsLeader()) {
    return this->settings.self;
  }
  const consensus::ReplicaId hint = this->replica->LeaderHint();
  if (!hint.empty()) {
    return storage::HostOf(hint);
  }
  return HintedLeader(this->leaderHint, net::Now());
}

std::vector<HostId> ControlGroup::Peers() const {
  std::vector<HostId> hosts = this->Hosts();
  hosts.erase(std::remove(hosts.begin(), hosts.end(), this->settings.self),
              hosts.end());
  return hosts;
}

bool ControlGroup::IsConnected(const HostId& aHost) const {
  // With a longer queue, requests would wait and delay messages of the replica.
  constexpr std::size_t kMaxQueuedBytes = 256 * 1024;
  return this->links && this->links->IsConnected(aHost) &&
         this->links->QueuedBytes(aHost) <= kMaxQueuedBytes;
}

void ControlGroup::SendFrame(const HostId& aHost, const std::string& aKind,
                             net::Bytes aPayload) {
  net::PeerFrame frame;
  frame.group = kGroupName;
  frame.kind = aKind;
  frame.to = aHost;
  frame.payload = std::move(aPayload);
  this->links->Send(std::move(frame), net::FramePriority::Normal);
}

GroupView ControlGroup::View() const {
  return GroupView{this->Leader(), this->Hosts()};
}

void ControlGroup::OnAnnouncement(const Announcement& aAnnouncement) {
  const TimePoint now = net::Now();
  ReceivedAnnouncement& entry = this->receivedAnnouncements[aAnnouncement.host];
  const bool isNew = entry.announcement.identity != aAnnouncement.identity;
  entry.announcement = aAnnouncement;
  entry.receivedAt = now;
  entry.offsetMs = aAnnouncement.unixMs - ToMillis(Duration{now.micros});
  if (isNew) {
    eventlog::Write("host_announced", {{"peer", aAnnouncement.host.value},
                                       {"identity", aAnnouncement.identity}});
    this->UpdatePeers();
  }
}

void ControlGroup::Tick(TimePoint aNow) {
  if (this->stopping) {
    return;
  }
  if (aNow >= this->announceAt) {
    this->Announce(aNow);
  }
  if (aNow >= this->reconcileAt) {
    this->reconcileAt = aNow + kReconcileInterval;
    if (this->replica->HasLease()) {
      this->Reconcile(aNow);
    }
  }
}

void ControlGroup::Announce(TimePoint aNow) {
  if (this->replica->IsLeader()) {
    this->announceAt = aNow + kAnnounceInterval;
    return;
  }
  const HostId leader = this->Leader();
  this->announceAt =
      aNow + (leader.empty() ? kSearchInterval : kAnnounceInterval);
  if (!leader.empty()) {
    this->SendAnnouncement(leader);
    return;
  }
  const std::vector<HostId> hosts = this->Peers();
  if (!hosts.empty()) {
    this->SendAnnouncement(hosts[this->nextHost++ % hosts.size()]);
  }
}

void ControlGroup::SendAnnouncement(const HostId& aHost) {
  Announcement own;
  own.host = this->settings.self;
  own.identity = this->folder->identity.value;
  own.dataCentre = this->settings.dataCentre;
  own.unixMs = net::UnixMs();
  net::ClientRequest request;
  request.address = AddressOf(aHost, this->settings.controlPort);
  request.path = kGroupPath;
  request.body = EncodeAnnouncement(own);
  request.deadline = net::Now() + kAnnounceTimeout;
  this->client.Send(std::move(request), [this, isAlive = this->alive](
                                            const net::ClientResult& aResult) {
    if (!*isAlive || aResult.delivery != net::Delivery::Answered) {
      return;
    }
    const auto view = DecodeView(aResult.response.body);
    if (!view) {
      return;
    }
    if (this->learnedHosts != view->hosts) {
      this->learnedHosts = view->hosts;
      this->UpdatePeers();
    }
    UpdateLeaderHint(this->leaderHint, this->settings.self, view->leader,
                     net::Now());
  });
}

bool ControlGroup::HasHostIn(const DataCentreId& aDataCentre) const {
  return this->settings.dataCentre == aDataCentre ||
         std::any_of(
             this->receivedAnnouncements.begin(),
             this->receivedAnnouncements.end(), [&](const auto& aEntry) {
               return aEntry.second.announcement.dataCentre == aDataCentre;
             });
}

bool ControlGroup::HasHeardFromHosts(TimePoint aNow) const {
  return this->leadingSince + kFailureTimeout <= aNow;
}

std::vector<KnownHost> ControlGroup::KnownHosts(TimePoint aNow) const {
  std::vector<KnownHost> hosts;
  KnownHost own;
  own.host = this->settings.self;
  own.identity = this->folder->identity;
  own.dataCentre = this->settings.dataCentre;
  own.alive = true;
  own.announced = true;
  hosts.push_back(own);
  std::set<consensus::ReplicaId> known = {own.identity};
  for (const auto& [name, entry] : this->receivedAnnouncements) {
    KnownHost host;
    host.host = name;
    host.identity = consensus::ReplicaId(entry.announcement.identity);
    host.dataCentre = entry.announcement.dataCentre;
    host.alive = this->IsAlive(host.identity, entry.receivedAt, aNow);
    host.announced = IsCurrentIdentity(entry.receivedAt, this->leadingSince);
    known.insert(host.identity);
    hosts.push_back(std::move(host));
  }
  // Adds the members that have not announced themselves to this leader yet.
  const consensus::Membership& membership = this->replica->CurrentMembership();
  for (const auto* list : {&membership.voters, &membership.learners}) {
    for (const consensus::ReplicaId& member : *list) {
      if (!known.insert(member).second) {
        continue;
      }
      KnownHost host;
      host.host = storage::HostOf(member);
      host.identity = member;
      host.alive = this->IsAlive(member, this->leadingSince, aNow);
      hosts.push_back(std::move(host));
    }
  }
  return hosts;
}

bool ControlGroup::IsAlive(const consensus::ReplicaId& aReplica,
                           TimePoint aLastSeen, TimePoint aNow) const {
  // A new leader has heard from nobody yet, so the timeout starts no earlier
  // than its leadership.
  TimePoint seen = std::max(aLastSeen, this->leadingSince);
  const auto reachable = this->reachableAt.find(aReplica);
  if (reachable != this->reachableAt.end()) {
    seen = std::max(seen, reachable->second);
  }
  return aNow - seen < kFailureTimeout;
}

void ControlGroup::Reconcile(TimePoint aNow) {
  for (const group::MemberProgress& member : this->replica->Progress()) {
    if (member.reachable) {
      this->reachableAt[member.replica] = aNow;
    }
  }
  if (this->changeInProgress) {
    return;
  }
  const auto change = PlanMembershipChange(this->replica->CurrentMembership(),
                                           this->KnownHosts(aNow),
                                           this->settings.toleratedHosts);
  if (!change) {
    return;
  }
  this->changeInProgress = true;
  const auto done = [this, isAlive = this->alive,
                     change = *change](const group::ProposeOutcome& aOutcome) {
    if (!*isAlive) {
      return;
    }
    this->changeInProgress = false;
    if (aOutcome.error == group::ProposeError::None) {
      // The next step is planned at once: a replacement takes several steps,
      // and until the last one the loss of another disk may leave no quorum.
      this->reconcileAt = net::Now();
    }
    eventlog::Write("membership_change",
                    {{"replica", change.replica.value},
                     {"step", std::to_string(static_cast<int>(change.step))},
                     {"outcome", std::string(group::ToText(aOutcome.error))}});
  };
  switch (change->step) {
    case MembershipStep::AddLearner:
      this->replica->AddLearner(change->replica, kChangeTimeout, done);
      break;
    case MembershipStep::Promote:
      this->replica->PromoteLearner(change->replica, kChangeTimeout, done);
      break;
    case MembershipStep::Remove:
      this->replica->RemoveMember(change->replica, kChangeTimeout, done);
      break;
  }
}

std::int64_t ControlGroup::AgreedUnixMs(TimePoint aNow) const {
  const std::int64_t nowMs = ToMillis(Duration{aNow.micros});
  std::vector<std::int64_t> offsets = {net::UnixMs() - nowMs};
  for (const auto& [host, entry] : this->receivedAnnouncements) {
    if (aNow - entry.receivedAt < kFailureTimeout) {
      offsets.push_back(entry.offsetMs);
    }
  }
  const auto middle = offsets.begin() + (offsets.size() - 1) / 2;
  std::nth_element(offsets.begin(), middle, offsets.end());
  return nowMs + *middle;
}

void ControlGroup::Stop(Duration aDeadline, std::function<void()> aDone) {
  this->stopping = true;
  this->replica->Stop(aDeadline, std::move(aDone));
}

}  // namespace bramleypath::controller
