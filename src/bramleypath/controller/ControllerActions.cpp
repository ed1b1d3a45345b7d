#include "bramleypath/controller/Controller.h"

#include <cmath>
#include <memory>
#include <utility>
#include <variant>

#include <asio/post.hpp>

#include "bramleypath/controller/LogText.h"
#include "bramleypath/eventlog/EventLog.h"
#include "bramleypath/net/Clock.h"

namespace bramleypath::controller {

namespace {

using detail::NumberText;
using detail::WholeText;
using workflow::RequestAnswer;
using workflow::RequestOutcome;

// The scheduler's proposals end when they are applied or leadership is lost. A
// timeout would leave their outcome unknown to a leader that goes on leading.
constexpr Duration kNoTimeout = Seconds(365LL * 24 * 3600);

gsl::span<const workflow::PlacedTask> PlacedBy(
    const workflow::Command& aCommand) {
  const auto* const places = std::get_if<workflow::PlaceTasks>(&aCommand);
  return places ? gsl::span<const workflow::PlacedTask>(places->tasks)
                : gsl::span<const workflow::PlacedTask>();
}

RequestAnswer NotSentAnswer() {
  RequestAnswer answer;
  answer.outcome = RequestOutcome::NotSent;
  answer.delayedByLeader = true;
  answer.reason = "the leader's lease is over";
  return answer;
}

}  // namespace

void Controller::WithScheduler(
    Epoch aEpoch,
    const std::function<workflow::SchedulerActions(workflow::Scheduler&)>&
        aHandle) {
  if (!this->scheduler || this->scheduler->epoch != aEpoch) {
    return;
  }
  this->ExecuteAll(aHandle(*this->scheduler));
  this->RequestCycle();
}

void Controller::ExecuteAll(workflow::SchedulerActions aActions) {
  for (workflow::SchedulerAction& action : aActions) {
    std::visit([this](auto& aOne) { this->Execute(aOne); }, action);
  }
}

void Controller::Execute(workflow::Commit& aCommit) {
  struct Batch {
    workflow::Commit commit;
    std::size_t open = 0;
    bool ok = true;
  };
  auto batch = std::make_shared<Batch>();
  batch->commit = std::move(aCommit);
  batch->open = batch->commit.commands.size();
  const Epoch epoch = this->scheduler->epoch;
  const TimePoint now = net::Now();
  for (const workflow::Command& command : batch->commit.commands) {
    ++this->counters.commits;
    RecordPlaced(this->counters.firstStarts, this->State(), PlacedBy(command),
                 now, this->group->AgreedUnixMs(now));
    this->Propose(
        command, kNoTimeout,
        [this, isAlive = this->alive, batch, epoch](const Answer& aAnswer) {
          if (!*isAlive) {
            return;
          }
          if (aAnswer.status == AnswerStatus::NotLeader ||
              aAnswer.status == AnswerStatus::OutcomeUnknown) {
            batch->ok = false;
            ++this->counters.commitsFailed;
            eventlog::Write("commit_failed", {{"reason", aAnswer.reason}});
          }
          if (--batch->open > 0) {
            return;
          }
          for (const workflow::Command& one : batch->commit.commands) {
            RecordCommitted(this->counters.firstStarts, PlacedBy(one),
                            batch->ok, net::Now());
          }
          this->WithScheduler(epoch, [&](workflow::Scheduler& aScheduler) {
            return workflow::OnCommitted(aScheduler, this->State(),
                                         batch->commit, batch->ok, net::Now());
          });
        });
  }
}

const workflow::Worker* Controller::FindWorkerForRequest(
    workflow::WorkerNumber aWorker) const {
  if (!this->MayRead()) {
    return nullptr;
  }
  const auto found = this->State().workers.find(aWorker);
  return found == this->State().workers.end() ? nullptr : &found->second;
}

void Controller::Execute(workflow::SendStart& aStart) {
  ++this->counters.starts;
  const Epoch epoch = this->scheduler->epoch;
  // The copy for the answer leaves out the specification, which may be long and
  // is not needed after sending.
  workflow::SendStart sent;
  sent.worker = aStart.worker;
  sent.task = aStart.task;
  sent.request.task = aStart.request.task;
  sent.request.attempt = aStart.request.attempt;
  const TimePoint sentAt = net::Now();
  auto onAnswer = [this, isAlive = this->alive, epoch, sent,
                   sentAt](const RequestAnswer& aAnswer) {
    if (!*isAlive) {
      return;
    }
    if (aAnswer.outcome == RequestOutcome::Done) {
      this->counters.startLatency.Record(net::Now() - sentAt);
    } else {
      ++this->counters.startsNotDone;
    }
    RecordAnswered(this->counters.firstStarts, sent.task,
                   aAnswer.outcome == RequestOutcome::Done, net::Now());
    this->WithScheduler(epoch, [&](workflow::Scheduler& aScheduler) {
      return workflow::OnStartAnswer(aScheduler, this->State(), sent, aAnswer,
                                     net::Now());
    });
  };
  const workflow::Worker* const worker =
      this->FindWorkerForRequest(aStart.worker);
  if (!worker) {
    asio::post(this->context, [onAnswer] { onAnswer(NotSentAnswer()); });
    return;
  }
  this->RecordFirstStart(aStart, sentAt);
  RecordSent(this->counters.firstStarts, aStart.task, sentAt);
  eventlog::Write("start_sent",
                  {{"job", aStart.request.task.job.value},
                   {"stage", NumberText(aStart.request.task.stage)},
                   {"index", NumberText(aStart.request.task.index)},
                   {"attempt", NumberText(aStart.request.attempt)},
                   {"worker", worker->spec.id.value}});
  this->driver.start(worker->spec, aStart.request, onAnswer);
}

void Controller::RecordFirstStart(const workflow::SendStart& aStart,
                                  TimePoint aNow) {
  const auto job = this->State().jobs.find(aStart.task.job);
  const bool isFirst = aStart.request.attempt == 1 && aStart.task.stage == 0 &&
                       aStart.task.index == 0;
  if (job == this->State().jobs.end() || !isFirst ||
      job->second.spec.repetitions > 0) {
    return;
  }
  const std::int64_t waitedMs =
      this->group->AgreedUnixMs(aNow) - job->second.acceptedUnixMs;
  this->counters.firstStartLatency.Record(Millis(waitedMs));
}

void Controller::Execute(workflow::SendStop& aStop) {
  ++this->counters.stops;
  const Epoch epoch = this->scheduler->epoch;
  auto onAnswer = [this, isAlive = this->alive, epoch,
                   sent = aStop](const RequestAnswer& aAnswer) {
    if (*isAlive) {
      this->WithScheduler(epoch, [&](workflow::Scheduler& aScheduler) {
        return workflow::OnStopAnswer(aScheduler, this->State(), sent, aAnswer,
                                      net::Now());
      });
    }
  };
  const workflow::Worker* const worker =
      this->FindWorkerForRequest(aStop.worker);
  if (!worker) {
    asio::post(this->context, [onAnswer] { onAnswer(NotSentAnswer()); });
    return;
  }
  this->driver.stop(worker->spec, aStop.request, onAnswer);
}

void Controller::Execute(workflow::SendPace& aPace) {
  ++this->counters.paces;
  const workflow::Worker* const worker =
      this->FindWorkerForRequest(aPace.worker);
  if (!worker) {
    return;
  }
  const Epoch epoch = this->scheduler->epoch;
  this->driver.pace(
      worker->spec, aPace.request,
      [this, isAlive = this->alive, epoch, sent = aPace,
       worker = worker->spec.id.value](const RequestAnswer& aAnswer) {
        if (!*isAlive) {
          return;
        }
        if (aAnswer.outcome != RequestOutcome::Done) {
          eventlog::Write("pace_not_done",
                          {{"worker", worker}, {"reason", aAnswer.reason}});
        }
        if (this->scheduler && this->scheduler->epoch == epoch) {
          workflow::OnPaceAnswer(*this->scheduler, this->State(), sent,
                                 aAnswer);
        }
      });
}

void Controller::Execute(workflow::SendLeaseRenewal& aRenewal) {
  ++this->counters.holds;
  const Epoch epoch = this->scheduler->epoch;
  const TimePoint sentAt = net::Now();
  auto onAnswer = [this, isAlive = this->alive, epoch, sent = aRenewal,
                   sentAt](const workflow::RenewLeaseAnswer& aAnswer) {
    if (*isAlive) {
      this->WithScheduler(epoch, [&](workflow::Scheduler& aScheduler) {
        return workflow::OnLeaseRenewalAnswer(aScheduler, this->State(), sent,
                                              sentAt, aAnswer, net::Now());
      });
    }
  };
  const workflow::Worker* const worker =
      this->FindWorkerForRequest(aRenewal.worker);
  if (!worker) {
    asio::post(this->context, [onAnswer] {
      workflow::RenewLeaseAnswer answer;
      answer.result = NotSentAnswer();
      onAnswer(answer);
    });
    return;
  }
  this->driver.renewLease(worker->spec, aRenewal.request, onAnswer);
}

void Controller::Execute(workflow::RequestTickets& aRequest) {
  const Epoch epoch = this->scheduler->epoch;
  auto onAnswer = [this, isAlive = this->alive, epoch,
                   sent = aRequest](const workflow::TicketAnswer& aAnswer) {
    if (*isAlive) {
      this->WithScheduler(epoch, [&](workflow::Scheduler& aScheduler) {
        return workflow::OnTicketAnswer(aScheduler, this->State(), sent,
                                        aAnswer, net::Now());
      });
    }
  };
  this->driver.requestTickets(aRequest.request, onAnswer);
}

void Controller::Execute(workflow::DecisionRecord& aDecision) {
  eventlog::Write(aDecision.event, {{"subject", aDecision.subject},
                                    {"detail", aDecision.detail}});
}

void Controller::Execute(workflow::JobCompletion& aCompletion) {
  const workflow::PromiseOutcome& outcome = aCompletion.outcome;
  const auto expected =
      Millis(static_cast<std::int64_t>(std::llround(outcome.expectedMs)));
  const auto actual =
      Millis(static_cast<std::int64_t>(std::llround(outcome.actualMs)));
  auto& byQueue = this->counters.promiseErrors;
  if (byQueue.count(outcome.queue) > 0 || byQueue.size() < kMaxCountedQueues) {
    PromiseErrors& errors = byQueue[outcome.queue];
    errors.expected.Record(expected);
    errors.actual.Record(actual);
    errors.late.Record(actual - expected);
    errors.early.Record(expected - actual);
  }
  eventlog::Write(
      "job_promise_ended",
      {{"job", aCompletion.job.value},
       {"queue", outcome.queue.value},
       {"expected_ms", WholeText(outcome.expectedMs)},
       {"actual_ms", WholeText(outcome.actualMs)},
       {"ran_ms", WholeText(outcome.ranMs)},
       {"chain_ms", WholeText(outcome.chainMs)},
       {"chain_factor", std::to_string(this->ChainFactorOf(outcome.queue))}});
}

}  // namespace bramleypath::controller
