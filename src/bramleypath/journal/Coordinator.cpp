#include "bramleypath/journal/Coordinator.h"

#include <algorithm>
#include <set>
#include <utility>

#include "bramleypath/journal/Owner.h"

namespace bramleypath::journal {

const char* ToString(ReplyCode aCode) {
  switch (aCode) {
    case ReplyCode::Applied:
      return "applied";
    case ReplyCode::NotLeader:
      return "not_leader";
    case ReplyCode::NotOwner:
      return "not_owner";
    case ReplyCode::Moving:
      return "moving";
    case ReplyCode::Busy:
      return "busy";
    case ReplyCode::WaitEnded:
      return "wait_ended";
  }
  return "not_leader";
}

namespace {

const RequestKey& KeyOf(const Command& aCommand) {
  return std::visit(
      [](const auto& aAlternative) -> const RequestKey& {
        return aAlternative.key;
      },
      aCommand.body);
}

using WaitingQueue =
    std::map<RequestKey, std::vector<PendingRequest>>::iterator;

enum class Ownership { Owned, Moving, NotOwned };

// Handles one event.
struct EventHandler {
  Coordinator& coordinator;
  const JournalState& state;
  TimePoint now;
  CoordinatorActions& actions;

  void ReplyTo(const CoordinatorRequest& aRequest, ReplyCode aCode,
               Outcome aOutcome = {}) {
    this->actions.push_back(
        Reply{aRequest.from, aRequest.id, aCode, std::move(aOutcome)});
  }

  void Propose(PendingRequest aRequest) {
    const ProposalToken token = ++this->coordinator.lastToken;
    this->actions.push_back(ProposeCommand{token, aRequest.request.command});
    this->coordinator.proposed.emplace(token, std::move(aRequest));
  }

  Ownership OwnershipOf(const RequestKey& aKey) const {
    const auto owner =
        OwnerOf(aKey.clientAccount, aKey.key, this->coordinator.owners);
    if (!owner || owner->dataCentre != this->coordinator.self) {
      return Ownership::NotOwned;
    }
    return owner->acceptsNew ? Ownership::Owned : Ownership::Moving;
  }

  bool IsFull() const {
    return this->coordinator.proposed.size() + this->coordinator.waitingCount >=
           this->coordinator.settings.maxPendingRequests;
  }

  void AddWaiting(PendingRequest aRequest) {
    const Reserve& reserve = std::get<Reserve>(aRequest.request.command.body);
    auto& queue = this->coordinator.waiting[reserve.key];
    // A repeated request of the same holder replaces the earlier one.
    for (PendingRequest& waiting : queue) {
      if (std::get<Reserve>(waiting.request.command.body).holder ==
          reserve.holder) {
        waiting = std::move(aRequest);
        return;
      }
    }
    queue.push_back(std::move(aRequest));
    ++this->coordinator.waitingCount;
  }

  // Answers a Reserve from the applied state, lets it wait, or proposes it. An
  // answered record doesn't change until it expires. It may therefore also be
  // read on a replica that hasn't yet learned that it lost its leadership.
  void HandleReserve(PendingRequest aRequest) {
    const Reserve& reserve = std::get<Reserve>(aRequest.request.command.body);
    const Record* const record = FindRecord(this->state, reserve.key);
    const bool sameRequest =
        record != nullptr && record->fingerprint == reserve.fingerprint;
    const std::string_view stage =
        sameRequest ? StageName(*record) : std::string_view();
    if (stage == "Answered") {
      this->ReplyTo(aRequest.request, ReplyCode::Applied,
                    Outcome{Result::Answered, record->answer});
      return;
    }
    const bool heldByOther = (stage == "Reserved" || stage == "Dispatched") &&
                             !(record->holder == reserve.holder);
    if (heldByOther) {
      if (this->now >= aRequest.waitUntil) {
        this->ReplyTo(aRequest.request, ReplyCode::WaitEnded);
      } else {
        this->AddWaiting(std::move(aRequest));
      }
      return;
    }
    const Ownership ownership = this->OwnershipOf(reserve.key);
    if (ownership == Ownership::NotOwned) {
      this->ReplyTo(aRequest.request, ReplyCode::NotOwner);
      return;
    }
    if (ownership == Ownership::Moving && stage != "Unknown") {
      this->ReplyTo(aRequest.request, ReplyCode::Moving);
      return;
    }
    this->Propose(std::move(aRequest));
  }

  void operator()(const CoordinatorRequest& aRequest) {
    if (!this->coordinator.leading) {
      this->ReplyTo(aRequest, ReplyCode::NotLeader);
      return;
    }
    PendingRequest pending{aRequest, this->now + aRequest.wait};
    const bool isReserve =
        std::holds_alternative<Reserve>(aRequest.command.body);
    const bool isDispatch =
        std::holds_alternative<Dispatch>(aRequest.command.body);
    if (isReserve || isDispatch) {
      const Ownership ownership = this->OwnershipOf(KeyOf(aRequest.command));
      const bool isStale =
          aRequest.generation != this->coordinator.owners.generation;
      if (isStale || ownership == Ownership::NotOwned ||
          (isDispatch && ownership == Ownership::Moving)) {
        this->ReplyTo(aRequest, ReplyCode::NotOwner);
        return;
      }
      if (this->IsFull()) {
        this->ReplyTo(aRequest, ReplyCode::Busy);
        return;
      }
    }
    if (isReserve) {
      this->HandleReserve(std::move(pending));
    } else if (std::holds_alternative<Expire>(aRequest.command.body)) {
      // Only the leader itself may expire a record, by its own clock.
      this->ReplyTo(aRequest, ReplyCode::Applied,
                    Outcome{Result::Invalid, std::nullopt});
    } else {
      if (const auto* release = std::get_if<Release>(&aRequest.command.body)) {
        this->EndWaitOf(*release);
      }
      this->Propose(std::move(pending));
    }
  }

  void operator()(const Committed& aEvent) {
    const auto expiring = this->coordinator.expiring.find(aEvent.token);
    if (expiring != this->coordinator.expiring.end()) {
      const RequestKey key = expiring->second.key;
      this->coordinator.expiring.erase(expiring);
      this->ResumeWaiting(key);
      return;
    }
    const auto found = this->coordinator.proposed.find(aEvent.token);
    if (found == this->coordinator.proposed.end()) {
      return;
    }
    PendingRequest pending = std::move(found->second);
    this->coordinator.proposed.erase(found);
    const RequestKey key = KeyOf(pending.request.command);
    if (aEvent.outcome.result == Result::Running) {
      this->HandleReserve(std::move(pending));
    } else {
      this->ReplyTo(pending.request, ReplyCode::Applied, aEvent.outcome);
    }
    this->ResumeWaiting(key);
  }

  // Handles the waiting requests for aKey once no holder runs the request. When
  // it was released or its grant expired, only the first one is proposed and
  // may get the grant; the others continue to wait.
  void ResumeWaiting(const RequestKey& aKey) {
    const auto found = this->coordinator.waiting.find(aKey);
    if (found == this->coordinator.waiting.end()) {
      return;
    }
    const Record* const record = FindRecord(this->state, aKey);
    const std::string_view stage =
        record == nullptr ? std::string_view("Absent") : StageName(*record);
    if (stage == "Reserved" || stage == "Dispatched") {
      return;
    }
    const bool grantAvailable = stage == "Absent" || stage == "Released";
    std::vector<PendingRequest> resumed = grantAvailable
                                              ? this->TakeFirstWaiting(found)
                                              : this->TakeAllWaiting(found);
    for (PendingRequest& pending : resumed) {
      this->HandleReserve(std::move(pending));
    }
  }

  std::vector<PendingRequest> TakeAllWaiting(WaitingQueue aQueue) {
    std::vector<PendingRequest> all = std::move(aQueue->second);
    this->coordinator.waiting.erase(aQueue);
    this->coordinator.waitingCount -= all.size();
    return all;
  }

  // Takes the oldest request whose wait is not over. When this leader is late,
  // the entry hosts of the others may have given them up.
  std::vector<PendingRequest> TakeFirstWaiting(WaitingQueue aQueue) {
    auto& queue = aQueue->second;
    this->EndExpiredWaits(queue);
    std::vector<PendingRequest> first;
    if (!queue.empty()) {
      first.push_back(std::move(queue.front()));
      queue.erase(queue.begin());
      --this->coordinator.waitingCount;
    }
    if (queue.empty()) {
      this->coordinator.waiting.erase(aQueue);
    }
    return first;
  }

  void ResumeAllWaiting() {
    std::vector<RequestKey> keys;
    for (const auto& [key, queue] : this->coordinator.waiting) {
      keys.push_back(key);
    }
    for (const RequestKey& key : keys) {
      this->ResumeWaiting(key);
    }
  }

  void operator()(const ProposalFailed& aEvent) {
    this->coordinator.expiring.erase(aEvent.token);
    const auto found = this->coordinator.proposed.find(aEvent.token);
    if (found != this->coordinator.proposed.end()) {
      this->ReplyTo(found->second.request, ReplyCode::NotLeader);
      this->coordinator.proposed.erase(found);
    }
  }

  void operator()(const GainedLeadership&) { this->coordinator.leading = true; }

  void operator()(const LostLeadership&) {
    for (const auto& [token, pending] : this->coordinator.proposed) {
      this->ReplyTo(pending.request, ReplyCode::NotLeader);
    }
    for (const auto& [key, queue] : this->coordinator.waiting) {
      for (const PendingRequest& pending : queue) {
        this->ReplyTo(pending.request, ReplyCode::NotLeader);
      }
    }
    this->coordinator.leading = false;
    this->coordinator.proposed.clear();
    this->coordinator.expiring.clear();
    this->coordinator.waiting.clear();
    this->coordinator.waitingCount = 0;
  }

  // Ends the waits that aIsOver selects.
  template <typename Predicate>
  void EndWaits(std::vector<PendingRequest>& aQueue, Predicate aIsOver) {
    const auto firstOver = std::stable_partition(
        aQueue.begin(), aQueue.end(),
        [&](const PendingRequest& aPending) { return !aIsOver(aPending); });
    for (auto pending = firstOver; pending != aQueue.end(); ++pending) {
      this->ReplyTo(pending->request, ReplyCode::WaitEnded);
      --this->coordinator.waitingCount;
    }
    aQueue.erase(firstOver, aQueue.end());
  }

  void EndExpiredWaits(std::vector<PendingRequest>& aQueue) {
    this->EndWaits(aQueue, [&](const PendingRequest& aPending) {
      return this->now >= aPending.waitUntil;
    });
  }

  void EndAllExpiredWaits() {
    auto& waiting = this->coordinator.waiting;
    for (auto entry = waiting.begin(); entry != waiting.end();) {
      this->EndExpiredWaits(entry->second);
      entry = entry->second.empty() ? waiting.erase(entry) : std::next(entry);
    }
  }

  // A holder that releases its grant no longer waits for it either.
  void EndWaitOf(const Release& aRelease) {
    const auto found = this->coordinator.waiting.find(aRelease.key);
    if (found == this->coordinator.waiting.end()) {
      return;
    }
    this->EndWaits(found->second, [&](const PendingRequest& aPending) {
      return std::get<Reserve>(aPending.request.command.body).holder ==
             aRelease.holder;
    });
    if (found->second.empty()) {
      this->coordinator.waiting.erase(found);
    }
  }

  void ProposeExpiries() {
    std::set<RequestKey> alreadyProposed;
    for (const auto& [token, expire] : this->coordinator.expiring) {
      alreadyProposed.insert(expire.key);
    }
    const std::size_t limit = this->coordinator.settings.expiriesPerTick;
    for (const Expire& expire : DueExpiries(this->state, this->now, limit)) {
      if (alreadyProposed.count(expire.key) != 0) {
        continue;
      }
      const ProposalToken token = ++this->coordinator.lastToken;
      this->coordinator.expiring.emplace(token, expire);
      this->actions.push_back(ProposeCommand{token, Command{expire}});
    }
  }

  void operator()(const CoordinatorTick&) {
    if (!this->coordinator.leading) {
      return;
    }
    this->EndAllExpiredWaits();
    // Finds records that a command of an earlier leader changed. This
    // coordinator gets no Committed event for such a command.
    this->ResumeAllWaiting();
    this->ProposeExpiries();
  }

  void operator()(const OwnersInForce& aEvent) {
    this->coordinator.owners = aEvent.owners;
    this->coordinator.self = aEvent.self;
  }
};

}  // namespace

CoordinatorActions Step(Coordinator& aCoordinator, const JournalState& aState,
                        const CoordinatorEvent& aEvent, TimePoint aNow) {
  CoordinatorActions actions;
  std::visit(EventHandler{aCoordinator, aState, aNow, actions}, aEvent);
  return actions;
}

}  // namespace bramleypath::journal
