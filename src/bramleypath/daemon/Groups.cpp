#include "bramleypath/daemon/Groups.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "bramleypath/consensus/Codec.h"
#include "bramleypath/daemon/EventLog.h"
#include "bramleypath/net/Clock.h"

namespace bramleypath::daemon {

namespace {

constexpr Duration kHelloInterval = Millis(500);
// A reported leader is used until this long after its last hello, so that three
// lost hellos in a row are tolerated.
constexpr Duration kReportedLeaderLifetime = Millis(1600);
constexpr Duration kReconcileInterval = Seconds(1);
constexpr Duration kChangeTimeout = Seconds(5);
// The configuration group takes a snapshot after this many entries, which are a
// little more than half a day of changes. A host that was unreachable for
// longer gets a snapshot instead of the entries.
constexpr std::size_t kConfigSnapshotEntries = 512;

bool Contains(const std::vector<HostId>& aHosts, const HostId& aHost) {
  return std::find(aHosts.begin(), aHosts.end(), aHost) != aHosts.end();
}

}  // namespace

struct Groups::RunningReplica {
  std::string name;
  std::unique_ptr<group::Replica> replica;
  bool changing = false;
};

Groups::Groups(asio::io_context& aContext, HostId aSelf, net::PeerLinks& aLinks,
               std::uint64_t aSeed, const consensus::Settings& aTimings)
    : context(aContext),
      self(std::move(aSelf)),
      links(aLinks),
      seed(aSeed),
      timings(aTimings),
      files(storage::MakePosixFileSystem()) {}

Groups::~Groups() = default;

bool Groups::OpenFolder(const std::string& aPath,
                        storage::CreationMode aCreationMode,
                        std::string& aReason) {
  storage::StorageReason reason;
  this->folder = storage::OpenDataFolder(*this->files, aPath, this->self,
                                         aCreationMode, reason);
  if (!this->folder) {
    aReason = storage::ToText(reason);
    return false;
  }
  this->disk = std::make_unique<storage::DiskThread>();
  this->identities[this->self] = this->folder->identity;
  LogEvent(LogLevel::Info, "storage", "data_folder_opened",
           {{"path", aPath},
            {"identity", this->folder->identity.value},
            {"created", this->folder->created ? "true" : "false"}});
  return true;
}

std::string Groups::Identity() const {
  return this->folder ? this->folder->identity.value : std::string();
}

bool Groups::Start(const std::string& aGroup, group::StateMachine& aMachine,
                   const std::vector<HostId>& aInitialVoters,
                   const GroupHooks& aHooks, std::string& aReason) {
  storage::StorageReason reason;
  storage::OpenedState opened;
  std::unique_ptr<storage::GroupStore> store = storage::GroupStore::Open(
      *this->files, storage::GroupFolder(*this->folder, aGroup),
      storage::StoreSettings(), opened, reason);
  if (!store) {
    aReason = storage::ToText(reason);
    return false;
  }
  if (opened.tornTail) {
    LogEvent(LogLevel::Warn, "storage", "torn_tail_removed",
             {{"group", aGroup},
              {"file", opened.tornTail->file},
              {"offset", std::to_string(opened.tornTail->offset)},
              {"bytes", std::to_string(opened.tornTail->bytes)}});
  }
  group::ReplicaSettings settings;
  settings.self = this->folder->identity;
  settings.consensus = this->timings;
  settings.seed =
      this->seed ^ std::hash<std::string>()(aGroup + this->self.value);
  if (aGroup == kConfigGroup) {
    settings.snapshotEntries = kConfigSnapshotEntries;
  }
  const bool bootstrapped =
      settings.self == storage::InitialIdentity(this->self);
  if (bootstrapped && Contains(aInitialVoters, this->self)) {
    for (const HostId& host : aInitialVoters) {
      settings.initial.voters.push_back(storage::InitialIdentity(host));
    }
  }
  const DataCentreId dataCentre = DataCentreOfGroup(aGroup);
  settings.mayLead = [this, dataCentre](const consensus::ReplicaId& aReplica) {
    const auto found = this->hosts.find(storage::HostOf(aReplica));
    if (found == this->hosts.end() || found->second.draining) {
      return false;
    }
    return dataCentre.empty() || found->second.dataCentre == dataCentre;
  };
  group::ReplicaCallbacks callbacks;
  callbacks.send = [this, aGroup](const consensus::Message& aMessage) {
    net::PeerFrame frame;
    frame.group = aGroup;
    frame.to = storage::HostOf(aMessage.to);
    frame.kind = kRaftKind;
    frame.payload = consensus::EncodeMessage(aMessage);
    this->links.Send(std::move(frame), net::FramePriority::Normal);
  };
  callbacks.leadershipGained =
      [this, aGroup, hook = aHooks.leadershipGained](consensus::Term aTerm) {
        LogEvent(LogLevel::Info, "groups", "leadership_gained",
                 {{"group", aGroup}, {"term", std::to_string(aTerm)}});
        if (hook) {
          hook(aTerm);
        }
        this->SendHello();
      };
  callbacks.leadershipLost =
      [aGroup, hook = aHooks.leadershipLost](consensus::Term aTerm) {
        LogEvent(LogLevel::Info, "groups", "leadership_lost",
                 {{"group", aGroup}, {"term", std::to_string(aTerm)}});
        if (hook) {
          hook(aTerm);
        }
      };
  callbacks.storageFull = [aGroup](bool aFull) {
    LogEvent(LogLevel::Error, "storage",
             aFull ? "disk_full" : "disk_has_room_again", {{"group", aGroup}});
  };
  callbacks.failed = [this, aGroup](const std::string& aText) {
    LogEvent(LogLevel::Error, "storage", "replica_failed",
             {{"group", aGroup}, {"reason", aText}});
    if (this->onFailed) {
      this->onFailed(aText);
    }
  };
  auto running = std::make_unique<RunningReplica>();
  running->name = aGroup;
  running->replica = std::make_unique<group::Replica>(
      this->context, this->disk.get(), std::move(store),
      std::move(opened.restored), std::move(settings), std::move(callbacks),
      aMachine);
  group::Replica* const replica = running->replica.get();
  this->running[aGroup] = std::move(running);
  return replica->Start(aReason);
}

group::Replica* Groups::Find(const std::string& aGroup) {
  const auto found = this->running.find(aGroup);
  return found == this->running.end() ? nullptr : found->second->replica.get();
}

bool Groups::OnFrame(const net::PeerFrame& aFrame) {
  if (aFrame.kind == kRaftKind) {
    this->OnRaft(aFrame);
    return true;
  }
  if (aFrame.kind == kHelloKind) {
    this->OnHello(aFrame);
    return true;
  }
  return false;
}

void Groups::OnRaft(const net::PeerFrame& aFrame) {
  if (!this->folder) {
    return;
  }
  const auto message = consensus::DecodeMessage(aFrame.payload);
  if (!message || storage::HostOf(message->from) != aFrame.from) {
    LogEvent(LogLevel::Warn, "groups", "malformed_message",
             {{"from", aFrame.from.value}, {"group", aFrame.group}});
    return;
  }
  if (message->to != this->folder->identity) {
    // The message is for an earlier replica of this host, whose data folder was
    // lost.
    return;
  }
  if (!this->Find(aFrame.group) && this->onUnknownGroup) {
    this->onUnknownGroup(aFrame.group);
  }
  if (group::Replica* const replica = this->Find(aFrame.group)) {
    replica->Receive(*message);
  }
}

void Groups::OnHello(const net::PeerFrame& aFrame) {
  const auto hello = wire::DecodeHostHello(aFrame.payload);
  if (!hello) {
    return;
  }
  if (!hello->identity.empty()) {
    this->identities[aFrame.from] = consensus::ReplicaId(hello->identity);
  }
  const TimePoint now = net::Now();
  for (const wire::LedGroup& led : hello->leads) {
    constexpr std::size_t kMaxGroups = 64;
    ReportedLeader& reported = this->reportedLeaders[led.group];
    if (led.term >= reported.term || reported.until <= now) {
      reported =
          ReportedLeader{aFrame.from, led.term, now + kReportedLeaderLifetime};
    }
    if (this->reportedLeaders.size() > kMaxGroups) {
      this->reportedLeaders.clear();
    }
  }
}

void Groups::SendHello() {
  this->helloAt = net::Now() + kHelloInterval;
  wire::HostHello hello;
  hello.identity = this->Identity();
  for (const auto& [name, group] : this->running) {
    if (group->replica->IsLeader()) {
      hello.leads.push_back({name, group->replica->CurrentTerm()});
    }
  }
  const net::Bytes payload = wire::Encode(hello);
  for (const auto& [host, info] : this->hosts) {
    if (host != this->self) {
      net::PeerFrame frame;
      frame.to = host;
      frame.kind = kHelloKind;
      frame.payload = payload;
      this->links.Send(std::move(frame), net::FramePriority::Gossip);
    }
  }
}

void Groups::Tick(TimePoint aNow) {
  if (this->helloAt <= aNow) {
    this->SendHello();
  }
  if (this->reconcileAt <= aNow && !this->stopping) {
    this->reconcileAt = aNow + kReconcileInterval;
    for (const auto& [name, group] : this->running) {
      const auto own = this->hosts.find(this->self);
      if (own != this->hosts.end() && own->second.draining &&
          group->replica->IsLeader()) {
        group->replica->TransferLeadership(consensus::ReplicaId());
      } else if (group->replica->HasLease() && !group->changing) {
        this->Reconcile(*group);
      }
    }
  }
}

void Groups::SetHosts(
    const EntryHosts& aHosts,
    std::function<std::vector<HostId>(const std::string&)> aDesiredVoters) {
  this->hosts = aHosts;
  this->desiredVoters = std::move(aDesiredVoters);
}

// Makes one change towards the desired voters: adds a missing one as a learner,
// promotes a learner, and only once all are voters removes another member.
void Groups::Reconcile(RunningReplica& aGroup) {
  const std::vector<HostId> desired = this->desiredVoters(aGroup.name);
  if (desired.empty()) {
    return;
  }
  group::Replica& replica = *aGroup.replica;
  const consensus::Membership membership = replica.CurrentMembership();
  const auto done = [&aGroup](const char* aChange,
                              const consensus::ReplicaId& aReplica) {
    aGroup.changing = true;
    return [&aGroup, aChange, aReplica](const group::ProposeOutcome& aOutcome) {
      aGroup.changing = false;
      if (aOutcome.Ok()) {
        LogEvent(LogLevel::Info, "groups", aChange,
                 {{"group", aGroup.name}, {"replica", aReplica.value}});
      } else if (aOutcome.error != group::ProposeError::NotCaughtUp) {
        LogEvent(LogLevel::Warn, "groups", "membership_change_refused",
                 {{"group", aGroup.name},
                  {"change", aChange},
                  {"replica", aReplica.value},
                  {"reason", std::string(group::ToText(aOutcome.error))}});
      }
    };
  };
  bool complete = true;
  for (const HostId& host : desired) {
    const auto identity = this->identities.find(host);
    if (identity == this->identities.end()) {
      complete = complete &&
                 std::any_of(membership.voters.begin(), membership.voters.end(),
                             [&host](const consensus::ReplicaId& aVoter) {
                               return storage::HostOf(aVoter) == host;
                             });
      continue;
    }
    if (consensus::IsVoter(membership, identity->second)) {
      continue;
    }
    complete = false;
    if (!consensus::IsMember(membership, identity->second)) {
      replica.AddLearner(identity->second, kChangeTimeout,
                         done("learner_added", identity->second));
      return;
    }
    replica.PromoteLearner(identity->second, kChangeTimeout,
                           done("voter_added", identity->second));
    return;
  }
  if (!complete) {
    return;
  }
  std::vector<consensus::ReplicaId> members = membership.voters;
  members.insert(members.end(), membership.learners.begin(),
                 membership.learners.end());
  for (const consensus::ReplicaId& member : members) {
    const HostId host = storage::HostOf(member);
    const auto identity = this->identities.find(host);
    const bool replaced =
        identity != this->identities.end() && identity->second != member;
    if (Contains(desired, host) && !replaced) {
      continue;
    }
    if (member == this->folder->identity) {
      replica.TransferLeadership(consensus::ReplicaId());
    } else {
      replica.RemoveMember(member, kChangeTimeout,
                           done("member_removed", member));
    }
    return;
  }
}

bool Groups::Leads(const std::string& aGroup) {
  group::Replica* const replica = this->Find(aGroup);
  return replica && replica->IsLeader();
}

std::optional<HostId> Groups::LeaderOf(const std::string& aGroup) {
  if (group::Replica* const replica = this->Find(aGroup)) {
    const consensus::ReplicaId hint = replica->LeaderHint();
    if (replica->IsLeader()) {
      return this->self;
    }
    if (!hint.empty()) {
      return storage::HostOf(hint);
    }
  }
  const auto reported = this->reportedLeaders.find(aGroup);
  if (reported == this->reportedLeaders.end() ||
      reported->second.until <= net::Now()) {
    return std::nullopt;
  }
  return reported->second.host;
}

std::vector<GroupStatus> Groups::Status() {
  std::vector<GroupStatus> list;
  for (const auto& [name, group] : this->running) {
    const group::Replica& replica = *group->replica;
    GroupStatus status;
    status.group = name;
    status.local = true;
    status.leading = replica.IsLeader();
    status.storageFull = replica.IsStorageFull();
    status.leader = this->LeaderOf(name).value_or(HostId());
    status.term = replica.CurrentTerm();
    status.commitIndex = replica.CommitIndex();
    status.appliedIndex = replica.AppliedIndex();
    for (const consensus::ReplicaId& id : replica.CurrentMembership().voters) {
      status.voters.push_back(id.value);
    }
    for (const consensus::ReplicaId& id :
         replica.CurrentMembership().learners) {
      status.learners.push_back(id.value);
    }
    list.push_back(std::move(status));
  }
  return list;
}

void Groups::Stop(Duration aTimeout, const std::function<void()>& aDone) {
  this->stopping = true;
  auto remaining = std::make_shared<std::size_t>(this->running.size());
  if (*remaining == 0) {
    aDone();
    return;
  }
  for (const auto& [name, group] : this->running) {
    group->replica->Stop(aTimeout, [remaining, aDone] {
      if (--*remaining == 0) {
        aDone();
      }
    });
  }
}

}  // namespace bramleypath::daemon
