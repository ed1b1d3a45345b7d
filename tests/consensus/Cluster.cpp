#include "tests/consensus/Cluster.h"

#include <algorithm>
#include <ostream>
#include <utility>

#include "bramleypath/consensus/Codec.h"

namespace bramleypath::consensus {

namespace {

constexpr Duration kStep = Millis(10);
constexpr std::size_t kNumberBytes = 4;

void AppendNumber(Bytes& aBytes, std::uint64_t aValue) {
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    aBytes.push_back(static_cast<std::uint8_t>(aValue >> (8 * i)));
  }
}

std::uint64_t ReadNumber(const Bytes& aBytes, std::size_t& aAt) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    value |= static_cast<std::uint64_t>(aBytes.at(aAt++)) << (8 * i);
  }
  return value;
}

Bytes EncodeApplied(const Host& aHost) {
  Bytes bytes;
  for (const auto& [index, payload] : aHost.applied) {
    AppendNumber(bytes, index);
    AppendNumber(bytes, payload.size());
    bytes.insert(bytes.end(), payload.begin(), payload.end());
  }
  return bytes;
}

void DecodeApplied(const Bytes& aBytes, Host& aHost) {
  aHost.applied.clear();
  for (std::size_t at = 0; at < aBytes.size();) {
    const LogIndex index = ReadNumber(aBytes, at);
    const std::size_t length = ReadNumber(aBytes, at);
    const auto begin = aBytes.begin() + static_cast<std::ptrdiff_t>(at);
    aHost.applied.emplace_back(
        index, Bytes(begin, begin + static_cast<std::ptrdiff_t>(length)));
    at += length;
  }
}

void StoreEntries(RestoredState& aState, const std::vector<LogEntry>& aNew) {
  auto& entries = aState.entries;
  while (!entries.empty() && entries.back().index >= aNew.front().index) {
    entries.pop_back();
  }
  entries.insert(entries.end(), aNew.begin(), aNew.end());
}

void Store(RestoredState& aState, const Action& aWrite) {
  if (const auto* hard = std::get_if<PersistHardState>(&aWrite)) {
    aState.hardState = hard->state;
  } else if (const auto* entries = std::get_if<PersistEntries>(&aWrite)) {
    StoreEntries(aState, entries->entries);
  } else if (const auto* snapshot = std::get_if<PersistSnapshot>(&aWrite)) {
    aState.snapshot = *snapshot->snapshot;
    auto& kept = aState.entries;
    const LogIndex base = snapshot->snapshot->index;
    kept.erase(std::remove_if(kept.begin(), kept.end(),
                              [&](const LogEntry& aEntry) {
                                return snapshot->discardLog ||
                                       aEntry.index <= base;
                              }),
               kept.end());
  }
}

SyncTicket TicketOf(const Action& aWrite) {
  if (const auto* hard = std::get_if<PersistHardState>(&aWrite)) {
    return hard->ticket;
  }
  if (const auto* entries = std::get_if<PersistEntries>(&aWrite)) {
    return entries->ticket;
  }
  return std::get<PersistSnapshot>(aWrite).ticket;
}

bool SameEntry(const LogEntry& aLeft, const LogEntry& aRight) {
  return aLeft.term == aRight.term && aLeft.kind == aRight.kind &&
         aLeft.payload == aRight.payload &&
         aLeft.membership == aRight.membership;
}

}  // namespace

Cluster::Cluster(std::size_t aHosts, std::size_t aVoters, std::uint64_t aSeed) {
  constexpr std::size_t kSmallMessage = 64;
  constexpr std::size_t kFewEntries = 4;
  this->settings.maxMessageBytes = kSmallMessage;
  this->settings.trailingEntries = kFewEntries;
  this->random.state = aSeed;
  Membership initial;
  for (std::size_t i = 0; i < aVoters; ++i) {
    initial.voters.emplace_back("h" + std::to_string(i) + "/initial");
  }
  for (std::size_t i = 0; i < aHosts; ++i) {
    Host host;
    host.id = i < aVoters ? initial.voters[i]
                          : ReplicaId{"h" + std::to_string(i) + "/0"};
    host.initial = i < aVoters ? initial : Membership{};
    // The clock rates of any two hosts differ by at most 1%.
    const double skew = static_cast<double>(i % 3) - 1.0;
    host.clockRate = 1.0 + skew * 0.005;
    host.clockOffset = static_cast<std::int64_t>(i) * 77000000;
    this->hosts.push_back(std::move(host));
  }
  for (Host& host : this->hosts) {
    this->Start(host);
  }
}

TimePoint Cluster::LocalTime(const Host& aHost) const {
  return TimePoint{
      static_cast<std::int64_t>(static_cast<double>(this->now.micros) *
                                aHost.clockRate) +
      aHost.clockOffset};
}

void Cluster::RecordFailure(const std::string& aText) {
  if (this->failure.empty()) {
    this->failure = aText;
  }
}

std::optional<std::size_t> Cluster::Find(const ReplicaId& aId) const {
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    if (this->hosts[i].id == aId) {
      return i;
    }
  }
  return std::nullopt;
}

bool Cluster::IsCut(std::size_t aFrom, std::size_t aTo) const {
  return this->cuts.count({aFrom, aTo}) > 0;
}

void Cluster::Start(Host& aHost) {
  aHost.node =
      MakeNode(aHost.id, this->settings, aHost.initial, aHost.disk.durable,
               NextRandom(this->random), this->LocalTime(aHost));
  aHost.applied.clear();
  aHost.appliedIndex = 0;
  if (const auto snapshot = RestoredSnapshot(*aHost.node)) {
    DecodeApplied(snapshot->state, aHost);
    aHost.appliedIndex = snapshot->index;
  }
}

void Cluster::Handle(std::size_t aHost, const Event& aEvent) {
  Host& host = this->hosts[aHost];
  if (!host.node || host.paused) {
    return;
  }
  Actions actions = Step(*host.node, aEvent, this->LocalTime(host));
  this->ExecuteActions(aHost, std::move(actions));
  this->CheckLeases();
}

void Cluster::ExecuteActions(std::size_t aHost, Actions aActions) {
  Host& host = this->hosts[aHost];
  for (Action& action : aActions) {
    if (const auto* send = std::get_if<SendMessage>(&action)) {
      this->Send(aHost, send->message);
    } else if (const auto* apply = std::get_if<ApplyEntries>(&action)) {
      for (const LogEntry& entry : apply->entries) {
        this->Apply(host, entry);
      }
    } else if (const auto* restore = std::get_if<RestoreState>(&action)) {
      DecodeApplied(restore->snapshot->state, host);
      if (restore->snapshot->index <= host.appliedIndex) {
        this->RecordFailure("a snapshot lowered the applied index");
      }
      host.appliedIndex = restore->snapshot->index;
    } else if (std::holds_alternative<BecameLeader>(action)) {
      this->CheckLeaderComplete(*host.node);
    } else if (std::holds_alternative<ProposalAccepted>(action)) {
      ++this->acceptedProposals;
    } else if (std::holds_alternative<PersistHardState>(action) ||
               std::holds_alternative<PersistEntries>(action) ||
               std::holds_alternative<PersistSnapshot>(action)) {
      if (host.disk.pending.empty()) {
        host.disk.syncAt = this->now + this->syncTime;
      }
      host.disk.pending.push_back(std::move(action));
    }
  }
}

void Cluster::Send(std::size_t aHost, const Message& aMessage) {
  const auto to = this->Find(aMessage.to);
  if (std::holds_alternative<SnapshotChunk>(aMessage.body)) {
    ++this->snapshotChunks;
  }
  if (!to || this->IsCut(aHost, *to) ||
      NextBelow(this->random, 100) < this->faults.dropPercent) {
    return;
  }
  const std::optional<Message> decoded = DecodeMessage(EncodeMessage(aMessage));
  if (!decoded) {
    this->RecordFailure("an encoded message cannot be decoded");
    return;
  }
  const bool twice =
      NextBelow(this->random, 100) < this->faults.duplicatePercent;
  for (int copy = 0; copy < (twice ? 2 : 1); ++copy) {
    const auto range = static_cast<std::uint64_t>(this->faults.maxDelay.micros);
    const auto delay =
        static_cast<std::int64_t>(NextBelow(this->random, range));
    this->network.emplace(this->now.micros + 200 + delay, *decoded);
  }
}

void Cluster::Apply(Host& aHost, const LogEntry& aEntry) {
  if (aEntry.index != aHost.appliedIndex + 1) {
    this->RecordFailure(aHost.id.value + " applied entry " +
                        std::to_string(aEntry.index) + " out of order");
  }
  aHost.appliedIndex = aEntry.index;
  const auto [known, inserted] = this->committed.emplace(aEntry.index, aEntry);
  if (inserted) {
    this->committedIn[aEntry.index] = aHost.node->hardState.term;
    this->CheckTermNeverFalls(aEntry);
  }
  if (!inserted && !SameEntry(known->second, aEntry)) {
    this->RecordFailure("committed entry changed at " +
                        std::to_string(aEntry.index));
  }
  if (aEntry.kind == EntryKind::Command) {
    aHost.applied.emplace_back(aEntry.index, aEntry.payload);
  }
}

void Cluster::CheckTermNeverFalls(const LogEntry& aEntry) {
  const auto previous = this->committed.find(aEntry.index - 1);
  if (previous != this->committed.end() &&
      previous->second.term > aEntry.term) {
    this->RecordFailure("entry " + std::to_string(aEntry.index) +
                        " of an earlier term committed late");
  }
}

void Cluster::CheckLeaderComplete(const Node& aNode) {
  for (const auto& [index, entry] : this->committed) {
    // A replica that was paused may receive the votes of an old term late. Its
    // log must hold only what was committed in terms before its own.
    const bool mustHold = this->committedIn.at(index) < aNode.hardState.term &&
                          index > aNode.baseIndex;
    if (mustHold && TermAt(aNode, index) != entry.term) {
      this->RecordFailure("leader " + aNode.self.value +
                          " lacks committed entry " + std::to_string(index));
      return;
    }
  }
}

bool Cluster::HasLeaseNow(const Host& aHost) const {
  return aHost.node && HasLease(*aHost.node, this->LocalTime(aHost));
}

void Cluster::CheckLeases() {
  const Host* holder = nullptr;
  for (const Host& host : this->hosts) {
    if (!this->HasLeaseNow(host)) {
      continue;
    }
    if (holder != nullptr) {
      this->RecordFailure(holder->id.value + " and " + host.id.value +
                          " hold a lease at the same time");
    }
    // A leader may act on its state only after it has applied every entry that
    // was committed before its term.
    const Term term = host.node->hardState.term;
    for (auto entry = this->committedIn.rbegin();
         entry != this->committedIn.rend() && entry->first > host.appliedIndex;
         ++entry) {
      if (entry->second < term) {
        this->RecordFailure(host.id.value +
                            " has a lease and lacks committed entry " +
                            std::to_string(entry->first));
      }
    }
    holder = &host;
  }
}

void Cluster::SyncDisk(Host& aHost, std::size_t aWrites) {
  for (std::size_t i = 0; i < aWrites; ++i) {
    Store(aHost.disk.durable, aHost.disk.pending.front());
    aHost.disk.pending.pop_front();
  }
}

void Cluster::Run(Duration aLength) {
  const TimePoint until = this->now + aLength;
  while (this->now < until) {
    this->now = this->now + kStep;
    while (!this->network.empty() &&
           this->network.begin()->first <= this->now.micros) {
      const Message message = this->network.begin()->second;
      this->network.erase(this->network.begin());
      const auto to = this->Find(message.to);
      const auto from = this->Find(message.from);
      if (!to || (from && this->IsCut(*from, *to))) {
        continue;
      }
      if (this->hosts[*to].paused) {
        this->hosts[*to].inbox.push_back(message);
      } else {
        this->Handle(*to, MessageReceived{message});
      }
    }
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      Host& host = this->hosts[i];
      if (host.node && !host.paused && !host.disk.pending.empty() &&
          this->now >= host.disk.syncAt) {
        const SyncTicket ticket = TicketOf(host.disk.pending.back());
        this->SyncDisk(host, host.disk.pending.size());
        this->Handle(i, StorageSynced{ticket});
      }
      this->Handle(i, Tick{});
    }
  }
}

void Cluster::Crash(std::size_t aHost, bool aKeepsSomeUnsynced) {
  Host& host = this->hosts[aHost];
  if (!host.node) {
    return;
  }
  if (aKeepsSomeUnsynced) {
    this->SyncDisk(host, NextBelow(this->random, host.disk.pending.size() + 1));
  }
  host.disk.pending.clear();
  host.node.reset();
  host.paused = false;
  host.inbox.clear();
}

void Cluster::Restart(std::size_t aHost) {
  if (!this->hosts[aHost].node) {
    this->Start(this->hosts[aHost]);
  }
}

void Cluster::LoseDisk(std::size_t aHost) {
  Host& lostHost = this->hosts[aHost];
  std::set<ReplicaId> lostNow = this->lost;
  lostNow.insert(lostHost.id);
  for (const Host& host : this->hosts) {
    const Membership membership =
        host.node ? host.node->membership
                  : MakeNode(host.id, this->settings, host.initial,
                             host.disk.durable, 1, this->now)
                        .membership;
    const auto gone = std::count_if(
        membership.voters.begin(), membership.voters.end(),
        [&](const ReplicaId& aId) { return lostNow.count(aId) > 0; });
    if (static_cast<std::size_t>(gone) * 2 >= membership.voters.size() &&
        gone > 0) {
      return;
    }
  }
  this->Crash(aHost, false);
  this->lost = lostNow;
  ++lostHost.disksLost;
  lostHost.id = ReplicaId{"h" + std::to_string(aHost) + "/" +
                          std::to_string(lostHost.disksLost)};
  lostHost.disk = FakeDisk{};
  lostHost.initial = Membership{};
  this->Start(lostHost);
}

void Cluster::SetPaused(std::size_t aHost, bool aPaused) {
  Host& host = this->hosts[aHost];
  if (!host.node || host.paused == aPaused) {
    return;
  }
  host.paused = aPaused;
  if (!aPaused) {
    this->CheckLeases();
    for (const Message& message : std::exchange(host.inbox, {})) {
      this->Handle(aHost, MessageReceived{message});
    }
  }
}

void Cluster::Cut(std::size_t aFrom, std::size_t aTo, bool aCut) {
  if (aCut) {
    this->cuts.emplace(aFrom, aTo);
  } else {
    this->cuts.erase({aFrom, aTo});
  }
}

void Cluster::Propose(std::size_t aHost, std::size_t aBytes) {
  Bytes payload(aBytes, static_cast<std::uint8_t>(this->nextToken));
  AppendNumber(payload, this->nextToken);
  this->Handle(aHost,
               consensus::Propose{this->nextToken++, std::move(payload)});
}

std::optional<std::size_t> Cluster::Leader() {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    const auto& node = this->hosts[i].node;
    if (node && node->role == Role::Leader &&
        (!best ||
         node->hardState.term > this->hosts[*best].node->hardState.term)) {
      best = i;
    }
  }
  return best;
}

std::optional<std::size_t> Cluster::LeaderWithLease() {
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    if (!this->hosts[i].paused && this->HasLeaseNow(this->hosts[i])) {
      return i;
    }
  }
  return std::nullopt;
}

bool Cluster::ChangeMembership(const Membership& aMembership) {
  const auto leader = this->Leader();
  if (!leader) {
    return false;
  }
  const std::uint64_t accepted = this->acceptedProposals;
  this->Handle(*leader, ProposeMembership{this->nextToken++, aMembership});
  return this->acceptedProposals > accepted;
}

void Cluster::Transfer(std::size_t aTo) {
  if (const auto leader = this->Leader()) {
    this->Handle(*leader, TransferLeadership{this->hosts[aTo].id});
  }
}

void Cluster::Snapshot(std::size_t aHost) {
  const Host& host = this->hosts[aHost];
  this->Handle(aHost, SnapshotTaken{host.appliedIndex, EncodeApplied(host)});
}

void Cluster::Repair() {
  const auto leader = this->Leader();
  if (!leader) {
    return;
  }
  Membership next = this->hosts[*leader].node->membership;
  const std::size_t voters = next.voters.size();
  if (!next.learners.empty()) {
    // A learner that lost its disk again is removed; any other is promoted.
    const ReplicaId learner = next.learners.front();
    next.learners.erase(next.learners.begin());
    if (this->Find(learner)) {
      next.voters.push_back(learner);
    }
  } else if (std::any_of(
                 next.voters.begin(), next.voters.end(),
                 [&](const ReplicaId& aId) { return !this->Find(aId); }) &&
             voters > 3) {
    next.voters.erase(
        std::find_if(next.voters.begin(), next.voters.end(),
                     [&](const ReplicaId& aId) { return !this->Find(aId); }));
  } else {
    for (const Host& host : this->hosts) {
      if (!IsMember(next, host.id)) {
        next.learners.push_back(host.id);
        break;
      }
    }
  }
  this->ChangeMembership(next);
}

void Cluster::Heal() {
  this->faults = Faults{};
  this->cuts.clear();
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    this->SetPaused(i, false);
    this->Restart(i);
  }
}

bool Cluster::IsSettled() {
  const auto leader = this->LeaderWithLease();
  if (!leader) {
    return false;
  }
  const Host& leading = this->hosts[*leader];
  const Membership& membership = leading.node->membership;
  for (const Host& host : this->hosts) {
    if (IsMember(membership, host.id) &&
        (!host.node || host.appliedIndex != LastIndex(*leading.node) ||
         host.applied != leading.applied)) {
      return false;
    }
  }
  return true;
}

bool Cluster::RunUntilSettled(Duration aLimit) {
  const TimePoint until = this->now + aLimit;
  while (this->now < until) {
    this->Run(Millis(100));
    if (this->IsSettled()) {
      return true;
    }
  }
  return false;
}

std::ostream& operator<<(std::ostream& aOut, const Cluster& aCluster) {
  for (const Host& host : aCluster.hosts) {
    aOut << host.id.value;
    if (host.node) {
      const Node& node = *host.node;
      aOut << " role " << static_cast<int>(node.role) << " term "
           << node.hardState.term << " base " << node.baseIndex << " last "
           << LastIndex(node) << " commit " << node.commitIndex << " voters";
      for (const ReplicaId& voter : node.membership.voters) {
        aOut << " " << voter.value;
      }
    }
    aOut << "\n";
  }
  return aOut << aCluster.failure;
}

}  // namespace bramleypath::consensus
