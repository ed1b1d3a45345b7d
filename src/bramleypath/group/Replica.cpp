#include "bramleypath/group/Replica.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <variant>

namespace bramleypath::group {

namespace {

using consensus::Action;
using consensus::Actions;
using consensus::Bytes;
using consensus::Event;
using consensus::LogIndex;
using consensus::Membership;
using consensus::ProposalToken;
using consensus::ReplicaId;
using consensus::Term;

// A leader whose disk is full hands leadership over at most this often.
constexpr Duration kFullTransferInterval = Seconds(5);
// Deadlines are looked at this many times a heartbeat.
constexpr std::int64_t kTicksPerHeartbeat = 5;

TimePoint SteadyNow() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint{
      std::chrono::duration_cast<std::chrono::microseconds>(since).count()};
}

struct Pending {
  ProposeCallback callback;
  TimePoint deadline;
  // Set once it is in the log.
  LogIndex index = 0;
  Term term = 0;
};

struct Completion {
  ProposeCallback callback;
  ProposeOutcome outcome;
};

ProposeOutcome Failure(ProposeError aError) {
  ProposeOutcome outcome;
  outcome.error = aError;
  return outcome;
}

ProposeError FromCore(consensus::ProposalError aError) {
  switch (aError) {
    case consensus::ProposalError::NotLeader:
      return ProposeError::NotLeader;
    case consensus::ProposalError::ChangeInProgress:
      return ProposeError::ChangeInProgress;
    case consensus::ProposalError::InvalidMembership:
      return ProposeError::InvalidMembership;
    case consensus::ProposalError::NotCaughtUp:
      return ProposeError::NotCaughtUp;
  }
  return ProposeError::InvalidMembership;
}

void Erase(std::vector<ReplicaId>& aList, const ReplicaId& aReplica) {
  aList.erase(std::remove(aList.begin(), aList.end(), aReplica), aList.end());
}

}  // namespace

struct Replica::Impl : std::enable_shared_from_this<Replica::Impl> {
  Impl(asio::io_context& aContext, storage::DiskThread* aDisk,
       std::shared_ptr<storage::GroupStore> aStore, ReplicaSettings aSettings,
       ReplicaCallbacks aCallbacks, StateMachine& aMachine)
      : context(aContext),
        disk(aDisk),
        store(std::move(aStore)),
        settings(std::move(aSettings)),
        callbacks(std::move(aCallbacks)),
        machine(aMachine),
        timer(aContext) {}

  TimePoint Now() const {
    return this->settings.now ? this->settings.now() : SteadyNow();
  }
  bool IsOver() const { return this->failed || this->stopped; }

  // Events and their actions.
  void Submit(Event aEvent);
  void Carry(Action& aAction);
  void HandOverWrites();
  void CarryWrite(storage::StoreWrite aWrite);
  void CarryApply(const consensus::ApplyEntries& aApply);
  void CarryRestore(const consensus::RestoreState& aRestore);
  void CarryLost(Term aTerm);
  void CarryAccepted(const consensus::ProposalAccepted& aAccepted);
  void CarryRefused(const consensus::ProposalRefused& aRefused);
  void NoteMembership();
  void OnDisk(const storage::DiskReport& aReport);
  void SetFull(bool aLow, bool aStuck);
  void Fail(const std::string& aReason);

  // Proposals.
  void Complete(ProposeCallback aCallback, ProposeOutcome aOutcome);
  void CompleteToken(ProposalToken aToken, ProposeOutcome aOutcome);
  void CompleteAll(ProposeError aAppended, ProposeError aOther);
  std::optional<ProposeError> RefusalNow() const;
  ProposalToken Enlist(Duration aTimeout, ProposeCallback aCallback);
  void FlushProposals();
  void ChangeMembership(const Membership& aMembership, Duration aTimeout,
                        ProposeCallback aCallback);
  bool CompleteIfAsWanted(const Membership& aMembership,
                          const ProposeCallback& aCallback);

  // Time.
  void ArmTimer();
  void OnTimer();
  void ExpireProposals(TimePoint aNow);
  void MaintainLeadership(TimePoint aNow);
  void ContinueStop(TimePoint aNow);

  bool MayLead(const ReplicaId& aReplica) const {
    return !this->settings.mayLead || this->settings.mayLead(aReplica);
  }
  ReplicaId BestSuccessor() const;
  bool TransferTo(const ReplicaId& aTo);
  void SnapshotIfDue();
  void TakeSnapshot();

  asio::io_context& context;
  storage::DiskThread* disk;
  std::shared_ptr<storage::GroupStore> store;
  ReplicaSettings settings;
  ReplicaCallbacks callbacks;
  StateMachine& machine;
  asio::steady_timer timer;

  consensus::Node node;
  // Events wait here while the actions of another one are carried out, since
  // callbacks may call the replica.
  std::deque<Event> events;
  bool carrying = false;
  std::vector<storage::StoreWrite> writes;

  LogIndex appliedIndex = 0;
  std::size_t entriesSinceSnapshot = 0;
  std::size_t bytesSinceSnapshot = 0;
  Membership knownMembership;
  std::optional<Term> gainedTerm;

  ProposalToken nextToken = 1;
  std::map<ProposalToken, Pending> pending;
  std::map<LogIndex, ProposalToken> pendingByIndex;
  std::vector<consensus::Propose> unflushed;
  bool flushPosted = false;
  std::vector<Completion> completions;
  bool completionsPosted = false;

  bool diskLow = false;    // below the reserve, or stuck
  bool diskStuck = false;  // the last write failed for lack of space
  TimePoint nextFullTransfer;
  bool failed = false;
  bool stopped = false;
  std::function<void()> stopDone;  // set while stopping
  TimePoint stopDeadline;
  bool stopTransferTried = false;
};

// Events and their actions.

void Replica::Impl::Submit(Event aEvent) {
  if (this->IsOver()) {
    return;
  }
  this->events.push_back(std::move(aEvent));
  if (this->carrying) {
    return;
  }
  this->carrying = true;
  while (!this->events.empty() && !this->IsOver()) {
    const Event event = std::move(this->events.front());
    this->events.pop_front();
    Actions actions = consensus::Step(this->node, event, this->Now());
    this->NoteMembership();
    for (Action& action : actions) {
      if (!this->IsOver()) {
        this->Carry(action);
      }
    }
    this->SnapshotIfDue();
  }
  this->carrying = false;
  this->HandOverWrites();
}

void Replica::Impl::Carry(Action& aAction) {
  if (auto* send = std::get_if<consensus::SendMessage>(&aAction)) {
    this->callbacks.send(send->message);
  } else if (auto* hard = std::get_if<consensus::PersistHardState>(&aAction)) {
    this->CarryWrite(std::move(*hard));
  } else if (auto* entries = std::get_if<consensus::PersistEntries>(&aAction)) {
    this->CarryWrite(std::move(*entries));
  } else if (auto* snap = std::get_if<consensus::PersistSnapshot>(&aAction)) {
    this->CarryWrite(std::move(*snap));
  } else if (auto* apply = std::get_if<consensus::ApplyEntries>(&aAction)) {
    this->CarryApply(*apply);
  } else if (auto* state = std::get_if<consensus::RestoreState>(&aAction)) {
    this->CarryRestore(*state);
  } else if (auto* lost = std::get_if<consensus::LostLeadership>(&aAction)) {
    this->CarryLost(lost->term);
  } else if (auto* yes = std::get_if<consensus::ProposalAccepted>(&aAction)) {
    this->CarryAccepted(*yes);
  } else if (auto* no = std::get_if<consensus::ProposalRefused>(&aAction)) {
    this->CarryRefused(*no);
  }
}

void Replica::Impl::CarryWrite(storage::StoreWrite aWrite) {
  if (this->store) {
    this->writes.push_back(std::move(aWrite));
    return;
  }
  // Without a disk nothing outlives the process, and this replica's votes and
  // acknowledgements must not count; it is a learner.
  const auto ticket =
      std::visit([](const auto& aOne) { return aOne.ticket; }, aWrite);
  this->events.push_back(consensus::StorageSynced{ticket});
}

void Replica::Impl::HandOverWrites() {
  if (this->writes.empty() || this->IsOver()) {
    return;
  }
  const auto self = this->weak_from_this();
  asio::io_context& target = this->context;
  this->disk->Write(this->store, std::exchange(this->writes, {}),
                    [self, &target](const storage::DiskReport& aReport) {
                      asio::post(target, [self, aReport] {
                        if (const auto impl = self.lock()) {
                          impl->OnDisk(aReport);
                        }
                      });
                    });
}

void Replica::Impl::CarryApply(const consensus::ApplyEntries& aApply) {
  for (const consensus::LogEntry& entry : aApply.entries) {
    ProposeOutcome outcome;
    outcome.index = entry.index;
    if (entry.kind == consensus::EntryKind::Command) {
      outcome.result = this->machine.Apply(
          CommittedCommand{entry.index, entry.term, entry.payload});
      this->bytesSinceSnapshot += entry.payload.size();
    }
    this->appliedIndex = entry.index;
    ++this->entriesSinceSnapshot;
    const auto found = this->pendingByIndex.find(entry.index);
    if (found != this->pendingByIndex.end()) {
      this->CompleteToken(found->second, std::move(outcome));
    }
    // The first entry of the own term follows all that earlier leaders
    // committed.
    const bool leads = this->node.role == consensus::Role::Leader &&
                       entry.term == this->node.hardState.term;
    if (leads && !this->gainedTerm) {
      this->gainedTerm = entry.term;
      if (this->callbacks.leadershipGained) {
        this->callbacks.leadershipGained(entry.term);
      }
    }
  }
  if (this->callbacks.applied) {
    this->callbacks.applied(this->appliedIndex);
  }
}

void Replica::Impl::CarryRestore(const consensus::RestoreState& aRestore) {
  std::string reason;
  if (!this->machine.Restore(aRestore.snapshot->index, aRestore.snapshot->state,
                             reason)) {
    this->Fail("snapshot can't be restored: " + reason);
    return;
  }
  this->appliedIndex = aRestore.snapshot->index;
  this->entriesSinceSnapshot = 0;
  this->bytesSinceSnapshot = 0;
  if (this->callbacks.applied) {
    this->callbacks.applied(this->appliedIndex);
  }
}

void Replica::Impl::CarryLost(Term aTerm) {
  this->CompleteAll(ProposeError::OutcomeUnknown, ProposeError::NotLeader);
  if (std::exchange(this->gainedTerm, std::nullopt) &&
      this->callbacks.leadershipLost) {
    this->callbacks.leadershipLost(aTerm);
  }
}

void Replica::Impl::CarryAccepted(
    const consensus::ProposalAccepted& aAccepted) {
  const auto found = this->pending.find(aAccepted.token);
  if (found != this->pending.end()) {
    found->second.index = aAccepted.index;
    found->second.term = aAccepted.term;
    this->pendingByIndex[aAccepted.index] = aAccepted.token;
  }
}

void Replica::Impl::CarryRefused(const consensus::ProposalRefused& aRefused) {
  ProposeOutcome outcome = Failure(FromCore(aRefused.error));
  outcome.leaderHint = aRefused.leaderHint;
  this->CompleteToken(aRefused.token, std::move(outcome));
}

void Replica::Impl::NoteMembership() {
  if (this->knownMembership == this->node.membership) {
    return;
  }
  this->knownMembership = this->node.membership;
  if (this->callbacks.membershipChanged) {
    this->callbacks.membershipChanged(this->knownMembership);
  }
}

void Replica::Impl::OnDisk(const storage::DiskReport& aReport) {
  if (this->IsOver()) {
    return;
  }
  switch (aReport.state) {
    case storage::DiskState::Failed:
      this->Fail(storage::ToText(aReport.reason));
      return;
    case storage::DiskState::Full:
      this->SetFull(true, true);
      return;
    case storage::DiskState::NearlyFull:
      this->SetFull(true, false);
      break;
    case storage::DiskState::Written:
      this->SetFull(false, false);
      break;
  }
  this->Submit(consensus::StorageSynced{aReport.ticket});
}

void Replica::Impl::SetFull(bool aLow, bool aStuck) {
  this->diskStuck = aStuck;
  if (this->diskLow == aLow) {
    return;
  }
  this->diskLow = aLow;
  if (this->callbacks.storageFull) {
    this->callbacks.storageFull(aLow);
  }
}

void Replica::Impl::Fail(const std::string& aReason) {
  this->failed = true;
  this->timer.cancel();
  this->CompleteAll(ProposeError::OutcomeUnknown, ProposeError::Stopped);
  if (this->gainedTerm && this->callbacks.leadershipLost) {
    this->callbacks.leadershipLost(*std::exchange(this->gainedTerm, {}));
  }
  if (this->callbacks.failed) {
    this->callbacks.failed(aReason);
  }
  if (this->stopDone) {
    asio::post(this->context, std::exchange(this->stopDone, nullptr));
  }
}

// Proposals.

void Replica::Impl::Complete(ProposeCallback aCallback,
                             ProposeOutcome aOutcome) {
  this->completions.push_back(
      Completion{std::move(aCallback), std::move(aOutcome)});
  if (std::exchange(this->completionsPosted, true)) {
    return;
  }
  // Holds the object, so that each callback is called even if the replica is
  // destroyed meanwhile.
  asio::post(this->context, [self = this->shared_from_this()] {
    self->completionsPosted = false;
    for (Completion& one : std::exchange(self->completions, {})) {
      one.callback(one.outcome);
    }
  });
}

void Replica::Impl::CompleteToken(ProposalToken aToken,
                                  ProposeOutcome aOutcome) {
  const auto found = this->pending.find(aToken);
  if (found == this->pending.end()) {
    return;
  }
  this->pendingByIndex.erase(found->second.index);
  this->Complete(std::move(found->second.callback), std::move(aOutcome));
  this->pending.erase(found);
}

// Ends all proposals: those in the log with aAppended, the others with aOther.
void Replica::Impl::CompleteAll(ProposeError aAppended, ProposeError aOther) {
  for (auto& [token, waiting] : std::exchange(this->pending, {})) {
    const bool appended = waiting.index > 0;
    this->Complete(std::move(waiting.callback),
                   Failure(appended ? aAppended : aOther));
  }
  this->pendingByIndex.clear();
  this->unflushed.clear();
}

std::optional<ProposeError> Replica::Impl::RefusalNow() const {
  if (this->IsOver() || this->stopDone) {
    return ProposeError::Stopped;
  }
  if (this->pending.size() >= this->settings.maxPending) {
    return ProposeError::Overloaded;
  }
  return std::nullopt;
}

ProposalToken Replica::Impl::Enlist(Duration aTimeout,
                                    ProposeCallback aCallback) {
  const ProposalToken token = this->nextToken++;
  Pending waiting;
  waiting.callback = std::move(aCallback);
  waiting.deadline = this->Now() + aTimeout;
  this->pending.emplace(token, std::move(waiting));
  return token;
}

void Replica::Impl::FlushProposals() {
  this->flushPosted = false;
  if (!this->unflushed.empty()) {
    this->Submit(consensus::ProposeBatch{std::exchange(this->unflushed, {})});
  }
}

// Answers a change that is in force already, as a resend asks for.
bool Replica::Impl::CompleteIfAsWanted(const Membership& aMembership,
                                       const ProposeCallback& aCallback) {
  const bool inForce = this->node.role == consensus::Role::Leader &&
                       this->node.membership == aMembership &&
                       this->node.membershipIndex <= this->node.commitIndex;
  if (inForce) {
    ProposeOutcome outcome;
    outcome.index = this->node.membershipIndex;
    this->Complete(aCallback, std::move(outcome));
  }
  return inForce;
}

void Replica::Impl::ChangeMembership(const Membership& aMembership,
                                     Duration aTimeout,
                                     ProposeCallback aCallback) {
  std::optional<ProposeError> refusal = this->RefusalNow();
  // A change is small enough for the reserve, and may be what is needed to
  // replace a host whose disk is full.
  if (!refusal && this->diskStuck) {
    refusal = ProposeError::StorageFull;
  }
  if (refusal) {
    this->Complete(std::move(aCallback), Failure(*refusal));
    return;
  }
  if (this->CompleteIfAsWanted(aMembership, aCallback)) {
    return;
  }
  const ProposalToken token = this->Enlist(aTimeout, std::move(aCallback));
  this->Submit(consensus::ProposeMembership{token, aMembership});
}

// Time.

void Replica::Impl::ArmTimer() {
  const std::int64_t micros =
      this->settings.consensus.heartbeat.micros / kTicksPerHeartbeat;
  this->timer.expires_after(
      std::chrono::microseconds(std::max<std::int64_t>(micros, 1)));
  this->timer.async_wait(
      [self = this->weak_from_this()](const asio::error_code& aError) {
        const auto impl = self.lock();
        if (impl && !aError && !impl->IsOver()) {
          impl->OnTimer();
        }
      });
}

void Replica::Impl::OnTimer() {
  this->Submit(consensus::Tick{});
  const TimePoint now = this->Now();
  this->ExpireProposals(now);
  this->MaintainLeadership(now);
  this->ContinueStop(now);
  if (!this->IsOver()) {
    this->ArmTimer();
  }
}

void Replica::Impl::ExpireProposals(TimePoint aNow) {
  std::vector<ProposalToken> expired;
  for (const auto& [token, waiting] : this->pending) {
    if (aNow >= waiting.deadline) {
      expired.push_back(token);
    }
  }
  for (const ProposalToken token : expired) {
    this->CompleteToken(token, Failure(ProposeError::TimedOut));
  }
}

ReplicaId Replica::Impl::BestSuccessor() const {
  ReplicaId best;
  LogIndex bestMatch = 0;
  for (const auto& [replica, progress] : this->node.progress) {
    if (consensus::IsVoter(this->node.membership, replica) &&
        this->MayLead(replica) &&
        consensus::IsReachable(this->node, replica, this->Now()) &&
        (best.empty() || progress.match > bestMatch)) {
      best = replica;
      bestMatch = progress.match;
    }
  }
  return best;
}

bool Replica::Impl::TransferTo(const ReplicaId& aTo) {
  const ReplicaId to = aTo.empty() ? this->BestSuccessor() : aTo;
  const bool possible = this->node.role == consensus::Role::Leader &&
                        !to.empty() && to != this->settings.self &&
                        consensus::IsVoter(this->node.membership, to) &&
                        consensus::IsReachable(this->node, to, this->Now());
  if (possible) {
    this->Submit(consensus::TransferLeadership{to});
  }
  return possible;
}

// A witness, and a replica with a full disk, pass leadership on.
void Replica::Impl::MaintainLeadership(TimePoint aNow) {
  if (this->IsOver() || !consensus::HasLease(this->node, aNow)) {
    return;
  }
  if (!this->MayLead(this->settings.self)) {
    this->TransferTo(ReplicaId{});
  } else if (this->diskLow && aNow >= this->nextFullTransfer) {
    this->nextFullTransfer = aNow + kFullTransferInterval;
    this->TransferTo(ReplicaId{});
  }
}

void Replica::Impl::ContinueStop(TimePoint aNow) {
  if (!this->stopDone) {
    return;
  }
  const bool late = aNow >= this->stopDeadline;
  if (!late && !this->pending.empty()) {
    return;
  }
  if (!late && this->node.role == consensus::Role::Leader) {
    if (!this->stopTransferTried) {
      this->stopTransferTried = this->TransferTo(ReplicaId{});
    }
    const bool alone = this->node.membership.voters.size() <= 1;
    if (!alone) {
      return;
    }
  }
  const bool synced = this->node.syncedTicket >= this->node.lastTicket;
  if (!late && !synced) {
    return;
  }
  this->CompleteAll(ProposeError::OutcomeUnknown, ProposeError::Stopped);
  if (this->gainedTerm && this->callbacks.leadershipLost) {
    this->callbacks.leadershipLost(*std::exchange(this->gainedTerm, {}));
  }
  this->stopped = true;
  asio::post(this->context, std::exchange(this->stopDone, nullptr));
}

void Replica::Impl::SnapshotIfDue() {
  if (this->entriesSinceSnapshot >= this->settings.snapshotEntries ||
      this->bytesSinceSnapshot >= this->settings.snapshotBytes) {
    this->TakeSnapshot();
  }
}

void Replica::Impl::TakeSnapshot() {
  if (this->IsOver() || this->appliedIndex == 0) {
    return;
  }
  this->entriesSinceSnapshot = 0;
  this->bytesSinceSnapshot = 0;
  this->Submit(consensus::SnapshotTaken{this->appliedIndex,
                                        this->machine.TakeSnapshot()});
}

// Public interface.

Replica::Replica(asio::io_context& aContext, storage::DiskThread* aDisk,
                 std::unique_ptr<storage::GroupStore> aStore,
                 consensus::RestoredState aRestored, ReplicaSettings aSettings,
                 ReplicaCallbacks aCallbacks, StateMachine& aMachine)
    : impl(std::make_shared<Impl>(aContext, aDisk, std::move(aStore),
                                  std::move(aSettings), std::move(aCallbacks),
                                  aMachine)) {
  const ReplicaSettings& settings = this->impl->settings;
  this->impl->node = consensus::MakeNode(settings.self, settings.consensus,
                                         settings.initial, std::move(aRestored),
                                         settings.seed, this->impl->Now());
  this->impl->knownMembership = this->impl->node.membership;
}

Replica::~Replica() {
  Impl& replica = *this->impl;
  replica.CompleteAll(ProposeError::OutcomeUnknown, ProposeError::Stopped);
  replica.stopped = true;
  replica.timer.cancel();
}

bool Replica::Start(std::string& aReason) {
  Impl& replica = *this->impl;
  if (const auto snapshot = consensus::RestoredSnapshot(replica.node)) {
    if (!replica.machine.Restore(snapshot->index, snapshot->state, aReason)) {
      return false;
    }
    replica.appliedIndex = snapshot->index;
  }
  replica.ArmTimer();
  return true;
}

void Replica::Propose(Bytes aCommand, Duration aTimeout,
                      ProposeCallback aCallback) {
  Impl& replica = *this->impl;
  std::optional<ProposeError> refusal = replica.RefusalNow();
  if (!refusal && replica.diskLow) {
    refusal = ProposeError::StorageFull;
  }
  if (!refusal && aCommand.size() > replica.settings.maxCommandBytes) {
    refusal = ProposeError::TooLarge;
  }
  if (refusal) {
    replica.Complete(std::move(aCallback), Failure(*refusal));
    return;
  }
  const ProposalToken token = replica.Enlist(aTimeout, std::move(aCallback));
  replica.unflushed.push_back(consensus::Propose{token, std::move(aCommand)});
  if (std::exchange(replica.flushPosted, true)) {
    return;
  }
  asio::post(replica.context, [self = this->impl->weak_from_this()] {
    if (const auto impl = self.lock()) {
      impl->FlushProposals();
    }
  });
}

void Replica::ChangeMembership(const Membership& aMembership, Duration aTimeout,
                               ProposeCallback aCallback) {
  this->impl->ChangeMembership(aMembership, aTimeout, std::move(aCallback));
}

void Replica::AddLearner(const ReplicaId& aReplica, Duration aTimeout,
                         ProposeCallback aCallback) {
  Membership next = this->impl->node.membership;
  if (!consensus::IsMember(next, aReplica)) {
    next.learners.push_back(aReplica);
  }
  this->impl->ChangeMembership(next, aTimeout, std::move(aCallback));
}

void Replica::PromoteLearner(const ReplicaId& aReplica, Duration aTimeout,
                             ProposeCallback aCallback) {
  Membership next = this->impl->node.membership;
  Erase(next.learners, aReplica);
  if (!consensus::IsVoter(next, aReplica)) {
    next.voters.push_back(aReplica);
  }
  this->impl->ChangeMembership(next, aTimeout, std::move(aCallback));
}

void Replica::RemoveMember(const ReplicaId& aReplica, Duration aTimeout,
                           ProposeCallback aCallback) {
  Membership next = this->impl->node.membership;
  Erase(next.learners, aReplica);
  Erase(next.voters, aReplica);
  this->impl->ChangeMembership(next, aTimeout, std::move(aCallback));
}

bool Replica::TransferLeadership(const ReplicaId& aTo) {
  return !this->impl->IsOver() && this->impl->TransferTo(aTo);
}

void Replica::Receive(const consensus::Message& aMessage) {
  Impl& replica = *this->impl;
  consensus::MessageReceived received{aMessage};
  if (replica.diskStuck) {
    // What can't be stored must not pile up in memory either; the heartbeat in
    // the message still counts.
    if (auto* append =
            std::get_if<consensus::AppendRequest>(&received.message.body)) {
      append->entries.clear();
    } else if (std::holds_alternative<consensus::SnapshotChunk>(
                   received.message.body)) {
      return;
    }
  }
  replica.Submit(std::move(received));
}

bool Replica::HasLease() const {
  return !this->impl->IsOver() &&
         consensus::HasLease(this->impl->node, this->impl->Now());
}

bool Replica::IsLeader() const {
  return !this->impl->IsOver() &&
         this->impl->node.role == consensus::Role::Leader;
}

Term Replica::CurrentTerm() const { return this->impl->node.hardState.term; }

ReplicaId Replica::LeaderHint() const { return this->impl->node.leader; }

LogIndex Replica::AppliedIndex() const { return this->impl->appliedIndex; }

LogIndex Replica::CommitIndex() const { return this->impl->node.commitIndex; }

const Membership& Replica::CurrentMembership() const {
  return this->impl->node.membership;
}

std::vector<MemberProgress> Replica::Progress() const {
  std::vector<MemberProgress> all;
  const consensus::Node& node = this->impl->node;
  for (const auto& [replica, progress] : node.progress) {
    MemberProgress one;
    one.replica = replica;
    one.voter = consensus::IsVoter(node.membership, replica);
    one.matchIndex = progress.match;
    one.reachable = consensus::IsReachable(node, replica, this->impl->Now());
    all.push_back(std::move(one));
  }
  return all;
}

bool Replica::IsStorageFull() const { return this->impl->diskLow; }

bool Replica::HasFailed() const { return this->impl->failed; }

void Replica::TakeSnapshot() { this->impl->TakeSnapshot(); }

void Replica::Stop(Duration aDeadline, std::function<void()> aDone) {
  Impl& replica = *this->impl;
  if (replica.IsOver()) {
    asio::post(replica.context, std::move(aDone));
    return;
  }
  replica.stopDone = std::move(aDone);
  replica.stopDeadline = replica.Now() + aDeadline;
}

}  // namespace bramleypath::group
