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

// Minimum time between two attempts of a leader with a full disk to hand
// leadership over.
constexpr Duration kFullDiskTransferInterval = Seconds(5);
// Number of times per heartbeat interval that deadlines are checked.
constexpr std::int64_t kTicksPerHeartbeat = 5;
// The first snapshot is due up to this share of the interval earlier.
constexpr double kSnapshotSpread = 0.5;
// Callbacks are called for at most this long before others on the io_context
// get their turn.
constexpr std::chrono::milliseconds kMaxTurn(20);

TimePoint SteadyNow() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint{
      std::chrono::duration_cast<std::chrono::microseconds>(since).count()};
}

struct PendingProposal {
  ProposeCallback callback;
  TimePoint deadline;
  // Set when the proposal is appended to the log; index is 0 before.
  LogIndex index = 0;
  Term term = 0;
};

// A callback that is still to be called with its outcome.
struct Completion {
  ProposeCallback callback;
  ProposeOutcome outcome;
};

ProposeOutcome FailedOutcome(ProposeError aError) {
  ProposeOutcome outcome;
  outcome.error = aError;
  return outcome;
}

ProposeError ToProposeError(consensus::ProposalError aError) {
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
        timer(aContext),
        flushTimer(aContext) {}

  TimePoint Now() const {
    return this->settings.now ? this->settings.now() : SteadyNow();
  }
  bool HasEnded() const { return this->failed || this->stopped; }

  // Handling of events and execution of their actions.
  void Submit(Event aEvent);
  void ExecuteAction(Action& aAction);
  void SubmitWrites();
  void QueueWrite(storage::StoreWrite aWrite);
  void ApplyCommitted(const consensus::ApplyEntries& aApply);
  void RestoreSnapshot(const consensus::RestoreState& aRestore);
  void OnLeadershipLost(Term aTerm);
  void OnProposalAccepted(const consensus::ProposalAccepted& aAccepted);
  void OnProposalRefused(const consensus::ProposalRefused& aRefused);
  void ReportMembershipChange();
  void OnDiskReport(const storage::DiskReport& aReport);
  void SetDiskSpace(bool aBelowReserve, bool aOutOfSpace);
  void Fail(const std::string& aReason);

  // Proposals.
  void Complete(ProposeCallback aCallback, ProposeOutcome aOutcome);
  void PostCompletions();
  void CallCompletions();
  void CompleteProposal(ProposalToken aToken, ProposeOutcome aOutcome);
  void CompleteAll(ProposeError aAppended, ProposeError aOther);
  std::optional<ProposeError> CheckAdmission() const;
  ProposalToken AddPending(Duration aTimeout, ProposeCallback aCallback);
  void ScheduleFlush();
  void FlushProposals();
  void ChangeMembership(const Membership& aMembership, Duration aTimeout,
                        ProposeCallback aCallback);
  bool CompleteIfInEffect(const Membership& aMembership,
                          const ProposeCallback& aCallback);

  // Timers and deadlines.
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
  void StartSnapshotInterval();

  asio::io_context& context;
  storage::DiskThread* disk;
  std::shared_ptr<storage::GroupStore> store;
  ReplicaSettings settings;
  ReplicaCallbacks callbacks;
  StateMachine& machine;
  asio::steady_timer timer;

  consensus::Node node;
  // Events that arrive while another one is handled. Callbacks may call the
  // replica, which must not handle an event within another one.
  std::deque<Event> events;
  bool handlingEvents = false;
  std::vector<storage::StoreWrite> writes;

  LogIndex appliedIndex = 0;
  std::size_t entriesSinceSnapshot = 0;
  std::size_t bytesSinceSnapshot = 0;
  Random snapshotRandom;
  Membership reportedMembership;
  // Term of the last leadershipGained, until leadershipLost is called.
  std::optional<Term> reportedTerm;

  ProposalToken nextToken = 1;
  std::map<ProposalToken, PendingProposal> pending;
  std::map<LogIndex, ProposalToken> pendingByIndex;
  std::vector<consensus::Propose> unsubmitted;
  bool flushPosted = false;
  TimePoint nextFlushAt;
  asio::steady_timer flushTimer;
  std::deque<Completion> completions;
  bool completionsPosted = false;

  bool diskBelowReserve = false;  // also set with diskOutOfSpace
  bool diskOutOfSpace = false;    // the last write failed for lack of space
  TimePoint nextTransferAttempt;
  bool failed = false;
  bool stopped = false;
  std::function<void()> stopDone;  // set while stopping
  TimePoint stopDeadline;
  bool stopTransferTried = false;
};

// Handling of events and execution of their actions.

void Replica::Impl::Submit(Event aEvent) {
  if (this->HasEnded()) {
    return;
  }
  this->events.push_back(std::move(aEvent));
  if (this->handlingEvents) {
    return;
  }
  this->handlingEvents = true;
  while (!this->events.empty() && !this->HasEnded()) {
    const Event event = std::move(this->events.front());
    this->events.pop_front();
    Actions actions = consensus::Step(this->node, event, this->Now());
    this->ReportMembershipChange();
    for (Action& action : actions) {
      if (!this->HasEnded()) {
        this->ExecuteAction(action);
      }
    }
    this->SnapshotIfDue();
  }
  this->handlingEvents = false;
  this->SubmitWrites();
}

void Replica::Impl::ExecuteAction(Action& aAction) {
  if (auto* send = std::get_if<consensus::SendMessage>(&aAction)) {
    this->callbacks.send(send->message);
  } else if (auto* hard = std::get_if<consensus::PersistHardState>(&aAction)) {
    this->QueueWrite(std::move(*hard));
  } else if (auto* entries = std::get_if<consensus::PersistEntries>(&aAction)) {
    this->QueueWrite(std::move(*entries));
  } else if (auto* snap = std::get_if<consensus::PersistSnapshot>(&aAction)) {
    this->QueueWrite(std::move(*snap));
  } else if (auto* apply = std::get_if<consensus::ApplyEntries>(&aAction)) {
    this->ApplyCommitted(*apply);
  } else if (auto* state = std::get_if<consensus::RestoreState>(&aAction)) {
    this->RestoreSnapshot(*state);
  } else if (auto* lost = std::get_if<consensus::LostLeadership>(&aAction)) {
    this->OnLeadershipLost(lost->term);
  } else if (auto* accepted =
                 std::get_if<consensus::ProposalAccepted>(&aAction)) {
    this->OnProposalAccepted(*accepted);
  } else if (auto* refused =
                 std::get_if<consensus::ProposalRefused>(&aAction)) {
    this->OnProposalRefused(*refused);
  }
}

void Replica::Impl::QueueWrite(storage::StoreWrite aWrite) {
  if (this->store) {
    this->writes.push_back(std::move(aWrite));
    return;
  }
  // Without a store the write counts as durable at once. This is safe because a
  // replica without a disk is a learner, whose acknowledgements don't count
  // towards a quorum.
  const auto ticket =
      std::visit([](const auto& aOne) { return aOne.ticket; }, aWrite);
  this->events.push_back(consensus::StorageSynced{ticket});
}

void Replica::Impl::SubmitWrites() {
  if (this->writes.empty() || this->HasEnded()) {
    return;
  }
  const auto self = this->weak_from_this();
  asio::io_context& target = this->context;
  this->disk->Write(this->store, std::exchange(this->writes, {}),
                    [self, &target](const storage::DiskReport& aReport) {
                      asio::post(target, [self, aReport] {
                        if (const auto impl = self.lock()) {
                          impl->OnDiskReport(aReport);
                        }
                      });
                    });
}

void Replica::Impl::ApplyCommitted(const consensus::ApplyEntries& aApply) {
  for (const consensus::LogEntry& entry : aApply.entries) {
    ProposeOutcome outcome;
    outcome.index = entry.index;
    if (entry.kind == consensus::EntryKind::Command) {
      outcome.result = this->machine.Apply(
          CommittedCommand{entry.index, entry.term, entry.payload});
      this->bytesSinceSnapshot += entry.payload.size();
    } else if (entry.kind == consensus::EntryKind::NoOp) {
      this->machine.OnTermBegan(entry.term);
    }
    this->appliedIndex = entry.index;
    ++this->entriesSinceSnapshot;
    const auto found = this->pendingByIndex.find(entry.index);
    if (found != this->pendingByIndex.end()) {
      this->CompleteProposal(found->second, std::move(outcome));
    }
    // The first entry of the leader's own term follows all entries that earlier
    // leaders committed.
    const bool leads = this->node.role == consensus::Role::Leader &&
                       entry.term == this->node.hardState.term;
    if (leads && !this->reportedTerm) {
      this->reportedTerm = entry.term;
      if (this->callbacks.leadershipGained) {
        this->callbacks.leadershipGained(entry.term);
      }
    }
  }
  if (this->callbacks.applied) {
    this->callbacks.applied(this->appliedIndex);
  }
}

void Replica::Impl::RestoreSnapshot(const consensus::RestoreState& aRestore) {
  std::string reason;
  if (!this->machine.Restore(aRestore.snapshot->index, aRestore.snapshot->state,
                             reason)) {
    this->Fail("snapshot can't be restored: " + reason);
    return;
  }
  this->appliedIndex = aRestore.snapshot->index;
  this->StartSnapshotInterval();
  if (this->callbacks.applied) {
    this->callbacks.applied(this->appliedIndex);
  }
}

void Replica::Impl::OnLeadershipLost(Term aTerm) {
  this->CompleteAll(ProposeError::OutcomeUnknown, ProposeError::NotLeader);
  if (std::exchange(this->reportedTerm, std::nullopt) &&
      this->callbacks.leadershipLost) {
    this->callbacks.leadershipLost(aTerm);
  }
}

void Replica::Impl::OnProposalAccepted(
    const consensus::ProposalAccepted& aAccepted) {
  const auto found = this->pending.find(aAccepted.token);
  if (found != this->pending.end()) {
    found->second.index = aAccepted.index;
    found->second.term = aAccepted.term;
    this->pendingByIndex[aAccepted.index] = aAccepted.token;
  }
}

void Replica::Impl::OnProposalRefused(
    const consensus::ProposalRefused& aRefused) {
  ProposeOutcome outcome = FailedOutcome(ToProposeError(aRefused.error));
  outcome.leaderHint = aRefused.leaderHint;
  this->CompleteProposal(aRefused.token, std::move(outcome));
}

void Replica::Impl::ReportMembershipChange() {
  if (this->reportedMembership == this->node.membership) {
    return;
  }
  this->reportedMembership = this->node.membership;
  if (this->callbacks.membershipChanged) {
    this->callbacks.membershipChanged(this->reportedMembership);
  }
}

void Replica::Impl::OnDiskReport(const storage::DiskReport& aReport) {
  if (this->HasEnded()) {
    return;
  }
  switch (aReport.state) {
    case storage::DiskState::Failed:
      this->Fail(storage::ToText(aReport.reason));
      return;
    case storage::DiskState::Full:
      this->SetDiskSpace(true, true);
      return;
    case storage::DiskState::NearlyFull:
      this->SetDiskSpace(true, false);
      break;
    case storage::DiskState::Written:
      this->SetDiskSpace(false, false);
      break;
  }
  this->Submit(consensus::StorageSynced{aReport.ticket});
}

void Replica::Impl::SetDiskSpace(bool aBelowReserve, bool aOutOfSpace) {
  this->diskOutOfSpace = aOutOfSpace;
  if (this->diskBelowReserve == aBelowReserve) {
    return;
  }
  this->diskBelowReserve = aBelowReserve;
  if (this->callbacks.storageFull) {
    this->callbacks.storageFull(aBelowReserve);
  }
}

void Replica::Impl::Fail(const std::string& aReason) {
  this->failed = true;
  this->timer.cancel();
  this->CompleteAll(ProposeError::OutcomeUnknown, ProposeError::Stopped);
  if (this->reportedTerm && this->callbacks.leadershipLost) {
    this->callbacks.leadershipLost(*std::exchange(this->reportedTerm, {}));
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
  this->PostCompletions();
}

void Replica::Impl::PostCompletions() {
  // The handler owns a reference, so that each callback is called even if the
  // replica is destroyed first.
  asio::post(this->context,
             [self = this->shared_from_this()] { self->CallCompletions(); });
}

// Calls callbacks for up to kMaxTurn. The others follow after the timers and
// messages that are ready, among them this replica's heartbeats.
void Replica::Impl::CallCompletions() {
  const auto end = std::chrono::steady_clock::now() + kMaxTurn;
  while (!this->completions.empty() && std::chrono::steady_clock::now() < end) {
    const Completion one = std::move(this->completions.front());
    this->completions.pop_front();
    one.callback(one.outcome);
  }
  this->completionsPosted = !this->completions.empty();
  if (this->completionsPosted) {
    this->PostCompletions();
  }
}

void Replica::Impl::CompleteProposal(ProposalToken aToken,
                                     ProposeOutcome aOutcome) {
  const auto found = this->pending.find(aToken);
  if (found == this->pending.end()) {
    return;
  }
  this->pendingByIndex.erase(found->second.index);
  this->Complete(std::move(found->second.callback), std::move(aOutcome));
  this->pending.erase(found);
}

// Completes all proposals: those in the log with the error aAppended, the
// others with aOther.
void Replica::Impl::CompleteAll(ProposeError aAppended, ProposeError aOther) {
  for (auto& [token, waiting] : std::exchange(this->pending, {})) {
    const bool appended = waiting.index > 0;
    this->Complete(std::move(waiting.callback),
                   FailedOutcome(appended ? aAppended : aOther));
  }
  this->pendingByIndex.clear();
  this->unsubmitted.clear();
}

std::optional<ProposeError> Replica::Impl::CheckAdmission() const {
  if (this->HasEnded() || this->stopDone) {
    return ProposeError::Stopped;
  }
  if (this->pending.size() >= this->settings.maxPending) {
    return ProposeError::Overloaded;
  }
  return std::nullopt;
}

ProposalToken Replica::Impl::AddPending(Duration aTimeout,
                                        ProposeCallback aCallback) {
  const ProposalToken token = this->nextToken++;
  PendingProposal waiting;
  waiting.callback = std::move(aCallback);
  waiting.deadline = this->Now() + aTimeout;
  this->pending.emplace(token, std::move(waiting));
  return token;
}

void Replica::Impl::ScheduleFlush() {
  const Duration wait = this->nextFlushAt - this->Now();
  this->flushTimer.expires_after(
      std::chrono::microseconds(std::max<std::int64_t>(wait.micros, 0)));
  this->flushTimer.async_wait(
      [self = this->weak_from_this()](const asio::error_code& aError) {
        const auto impl = self.lock();
        if (impl && !aError) {
          impl->FlushProposals();
        }
      });
}

void Replica::Impl::FlushProposals() {
  this->flushPosted = false;
  this->nextFlushAt = this->Now() + this->settings.proposalInterval;
  if (!this->unsubmitted.empty()) {
    this->Submit(consensus::ProposeBatch{std::exchange(this->unsubmitted, {})});
  }
}

// Completes a change at once if its membership is already committed, as happens
// when a caller retries a change.
bool Replica::Impl::CompleteIfInEffect(const Membership& aMembership,
                                       const ProposeCallback& aCallback) {
  const bool inEffect = this->node.role == consensus::Role::Leader &&
                        this->node.membership == aMembership &&
                        this->node.membershipIndex <= this->node.commitIndex;
  if (inEffect) {
    ProposeOutcome outcome;
    outcome.index = this->node.membershipIndex;
    this->Complete(aCallback, std::move(outcome));
  }
  return inEffect;
}

void Replica::Impl::ChangeMembership(const Membership& aMembership,
                                     Duration aTimeout,
                                     ProposeCallback aCallback) {
  std::optional<ProposeError> refusal = this->CheckAdmission();
  // Free space below the reserve is no reason to refuse a membership change. It
  // is small enough for the reserve, and it may be needed to replace a host
  // whose disk is full.
  if (!refusal && this->diskOutOfSpace) {
    refusal = ProposeError::StorageFull;
  }
  if (refusal) {
    this->Complete(std::move(aCallback), FailedOutcome(*refusal));
    return;
  }
  if (this->CompleteIfInEffect(aMembership, aCallback)) {
    return;
  }
  const ProposalToken token = this->AddPending(aTimeout, std::move(aCallback));
  this->Submit(consensus::ProposeMembership{token, aMembership});
}

// Timers and deadlines.

void Replica::Impl::ArmTimer() {
  const std::int64_t micros =
      this->settings.consensus.heartbeat.micros / kTicksPerHeartbeat;
  this->timer.expires_after(
      std::chrono::microseconds(std::max<std::int64_t>(micros, 1)));
  this->timer.async_wait(
      [self = this->weak_from_this()](const asio::error_code& aError) {
        const auto impl = self.lock();
        if (impl && !aError && !impl->HasEnded()) {
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
  if (!this->HasEnded()) {
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
    this->CompleteProposal(token, FailedOutcome(ProposeError::TimedOut));
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

// Hands leadership over if this replica is a witness or its free disk space is
// below the reserve.
void Replica::Impl::MaintainLeadership(TimePoint aNow) {
  if (this->HasEnded() || !consensus::HasLease(this->node, aNow)) {
    return;
  }
  if (!this->MayLead(this->settings.self)) {
    this->TransferTo(ReplicaId{});
  } else if (this->diskBelowReserve && aNow >= this->nextTransferAttempt) {
    this->nextTransferAttempt = aNow + kFullDiskTransferInterval;
    this->TransferTo(ReplicaId{});
  }
}

void Replica::Impl::ContinueStop(TimePoint aNow) {
  if (!this->stopDone) {
    return;
  }
  const bool expired = aNow >= this->stopDeadline;
  if (!expired && !this->pending.empty()) {
    return;
  }
  if (!expired && this->node.role == consensus::Role::Leader) {
    if (!this->stopTransferTried) {
      this->stopTransferTried = this->TransferTo(ReplicaId{});
    }
    const bool alone = this->node.membership.voters.size() <= 1;
    if (!alone) {
      return;
    }
  }
  const bool synced = this->node.syncedTicket >= this->node.lastTicket;
  if (!expired && !synced) {
    return;
  }
  this->CompleteAll(ProposeError::OutcomeUnknown, ProposeError::Stopped);
  if (this->reportedTerm && this->callbacks.leadershipLost) {
    this->callbacks.leadershipLost(*std::exchange(this->reportedTerm, {}));
  }
  this->stopped = true;
  asio::post(this->context, std::exchange(this->stopDone, nullptr));
}

// Replicas apply the same entries. One that takes a snapshot handles nothing
// else, so a random part of the first interval keeps them apart from then on;
// together they would cost the leader its lease.
void Replica::Impl::StartSnapshotInterval() {
  const double share = kSnapshotSpread * NextUnit(this->snapshotRandom);
  this->entriesSinceSnapshot = static_cast<std::size_t>(
      share * static_cast<double>(this->settings.snapshotEntries));
  this->bytesSinceSnapshot = static_cast<std::size_t>(
      share * static_cast<double>(this->settings.snapshotBytes));
}

void Replica::Impl::SnapshotIfDue() {
  if (this->entriesSinceSnapshot >= this->settings.snapshotEntries ||
      this->bytesSinceSnapshot >= this->settings.snapshotBytes) {
    this->TakeSnapshot();
  }
}

void Replica::Impl::TakeSnapshot() {
  if (this->HasEnded() || this->appliedIndex == 0) {
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
  this->impl->reportedMembership = this->impl->node.membership;
  this->impl->snapshotRandom.state = settings.seed;
  this->impl->StartSnapshotInterval();
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
  std::optional<ProposeError> refusal = replica.CheckAdmission();
  if (!refusal && replica.diskBelowReserve) {
    refusal = ProposeError::StorageFull;
  }
  if (!refusal && aCommand.size() > replica.settings.maxCommandBytes) {
    refusal = ProposeError::TooLarge;
  }
  if (refusal) {
    replica.Complete(std::move(aCallback), FailedOutcome(*refusal));
    return;
  }
  const ProposalToken token =
      replica.AddPending(aTimeout, std::move(aCallback));
  replica.unsubmitted.push_back(consensus::Propose{token, std::move(aCommand)});
  if (!std::exchange(replica.flushPosted, true)) {
    replica.ScheduleFlush();
  }
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
  return !this->impl->HasEnded() && this->impl->TransferTo(aTo);
}

void Replica::Receive(const consensus::Message& aMessage) {
  Impl& replica = *this->impl;
  consensus::MessageReceived received{aMessage};
  if (replica.diskOutOfSpace) {
    // Entries that can't be stored must not accumulate in memory either.
    // Without its entries the message still serves as a heartbeat.
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
  return !this->impl->HasEnded() &&
         consensus::HasLease(this->impl->node, this->impl->Now());
}

bool Replica::IsLeader() const {
  return !this->impl->HasEnded() &&
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

bool Replica::IsStorageFull() const { return this->impl->diskBelowReserve; }

bool Replica::HasFailed() const { return this->impl->failed; }

void Replica::TakeSnapshot() { this->impl->TakeSnapshot(); }

void Replica::Stop(Duration aTimeout, std::function<void()> aDone) {
  Impl& replica = *this->impl;
  if (replica.HasEnded()) {
    asio::post(replica.context, std::move(aDone));
    return;
  }
  replica.stopDone = std::move(aDone);
  replica.stopDeadline = replica.Now() + aTimeout;
}

}  // namespace bramleypath::group
