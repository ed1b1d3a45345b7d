#include "bramleypath/cell/Scheduler.h"

#include <algorithm>
#include <utility>

#include "bramleypath/cell/internal/Leases.h"
#include "bramleypath/cell/internal/PlacementPass.h"
#include "bramleypath/cell/internal/SchedulerIndex.h"

namespace bramleypath::cell {

namespace detail {

bool Propose(const Context& aContext, const Command& aCommand) {
  if (!aContext.leaseHeld) {
    return false;
  }
  Scheduler& scheduler = aContext.scheduler;
  const std::uint64_t token = ++scheduler.lastToken;
  scheduler.proposals.emplace(token, aCommand);
  aContext.actions.emplace_back(ProposeCommand{token, aCommand});
  return true;
}

void Notify(const Context& aContext, NoticeKind aKind,
            const AttemptId& aAttempt, const WorkerId& aWorker,
            const std::string& aDetail) {
  Notice notice;
  notice.kind = aKind;
  notice.job = aAttempt.task.job;
  notice.taskIndex = aAttempt.task.index;
  notice.attempt = aAttempt.number;
  notice.worker = aWorker;
  notice.detail = aDetail;
  aContext.actions.emplace_back(std::move(notice));
}

namespace {

// Resets everything except the settings, the functions, the desired quotas and
// the token counter, since a token must not be used twice.
void Reset(Scheduler& aScheduler) {
  Scheduler fresh;
  fresh.settings = aScheduler.settings;
  fresh.choose = std::move(aScheduler.choose);
  fresh.sizeTask = std::move(aScheduler.sizeTask);
  fresh.lastToken = aScheduler.lastToken;
  fresh.desiredQuotas = std::move(aScheduler.desiredQuotas);
  aScheduler = std::move(fresh);
}

bool QuotasDiffer(const CellState& aState,
                  const std::vector<ClientAccountQuota>& aDesired) {
  std::size_t set = 0;
  for (const auto& [id, clientAccount] : aState.clientAccounts) {
    set += clientAccount.quota ? 1 : 0;
  }
  return set != aDesired.size() ||
         std::any_of(aDesired.begin(), aDesired.end(),
                     [&aState](const ClientAccountQuota& aQuota) {
                       const auto found =
                           aState.clientAccounts.find(aQuota.clientAccount);
                       return found == aState.clientAccounts.end() ||
                              found->second.quota != aQuota.limit;
                     });
}

void ProposeQuotas(const Context& aContext) {
  Scheduler& scheduler = aContext.scheduler;
  if (scheduler.desiredQuotas && !scheduler.quotasProposed &&
      QuotasDiffer(aContext.state, *scheduler.desiredQuotas)) {
    scheduler.quotasProposed =
        Propose(aContext, SetQuotas{*scheduler.desiredQuotas});
  }
}

void Handle(const Context& aContext, const CommandCommitted& aEvent) {
  OnCommitted(aContext, aEvent);
}

void Handle(const Context& aContext, const ProposalFailed& aEvent) {
  OnProposalFailed(aContext, aEvent.token);
}

void Handle(const Context& aContext, const WorkerAnnounced& aEvent) {
  OnAnnounced(aContext, aEvent);
}

void Handle(const Context& aContext, const WorkerReported& aEvent) {
  OnReported(aContext, aEvent.message);
}

void Handle(const Context& aContext, const QuotasChanged& /*aEvent*/) {
  ProposeQuotas(aContext);
}

void Handle(const Context& aContext, const MitigationRequested& aEvent) {
  OnMitigationRequested(aContext, aEvent);
}

void Handle(const Context& aContext, const PlacementChanged& /*aEvent*/) {
  aContext.scheduler.placementDue = true;
}

void Handle(const Context& aContext, const Tick& /*aEvent*/) {
  ProposeQuotas(aContext);
  CheckWorkers(aContext);
  // A back-off ends without an event, so waiting tasks are tried on each tick.
  aContext.scheduler.placementDue = true;
}

void Handle(const Context& /*aContext*/, const LeadershipGained& /*aEvent*/) {}

void Handle(const Context& /*aContext*/, const LeadershipLost& /*aEvent*/) {}

void UpdateLeadership(Scheduler& aScheduler, const EventBody& aEvent) {
  if (const auto* gained = std::get_if<LeadershipGained>(&aEvent)) {
    Reset(aScheduler);
    aScheduler.leading = true;
    aScheduler.epoch = gained->epoch;
  } else if (std::holds_alternative<LeadershipLost>(aEvent)) {
    Reset(aScheduler);
  } else if (const auto* quotas = std::get_if<QuotasChanged>(&aEvent)) {
    aScheduler.desiredQuotas = quotas->quotas;
  }
}

}  // namespace

}  // namespace detail

Actions Step(Scheduler& aScheduler, const CellState& aState,
             const Event& aEvent, TimePoint aNow) {
  Actions actions;
  detail::UpdateLeadership(aScheduler, aEvent.body);
  if (!aScheduler.leading || (!aScheduler.ready && !aEvent.leaseHeld)) {
    return actions;
  }
  const detail::Context context{aScheduler, aState, aNow, aEvent.leaseHeld,
                                actions};
  if (aScheduler.ready) {
    std::visit([&](const auto& aTyped) { detail::Handle(context, aTyped); },
               aEvent.body);
  } else {
    // The event itself is not handled: the state already holds the effect of a
    // commit, and a worker whose message is skipped reports again.
    detail::Rebuild(context);
    aScheduler.ready = true;
  }
  detail::PlaceWaiting(context, std::holds_alternative<Tick>(aEvent.body));
  detail::FlushWorkers(context);
  return actions;
}

std::optional<Explanation> Explain(const CellState& aState,
                                   const Scheduler& aScheduler,
                                   const JobId& aJob) {
  const Job* job = FindJob(aState, aJob);
  if (job == nullptr) {
    return std::nullopt;
  }
  Explanation explanation;
  for (const Task& task : job->tasks) {
    explanation.waiting += task.state == TaskState::Pending ? 1 : 0;
    explanation.running += task.state == TaskState::Running ? 1 : 0;
    explanation.ended += HasEnded(task.state) ? 1 : 0;
  }
  if (explanation.waiting > 0) {
    const auto track = aScheduler.jobs.find(aJob);
    explanation.reason = !aScheduler.ready ? WaitReason::NoLeader
                         : track == aScheduler.jobs.end()
                             ? WaitReason::NotScheduledYet
                             : track->second.reason;
  }
  explanation.text = std::to_string(explanation.waiting) + " waiting, " +
                     std::to_string(explanation.running) + " running, " +
                     std::to_string(explanation.ended) +
                     " ended: " + Describe(explanation.reason);
  return explanation;
}

}  // namespace bramleypath::cell
