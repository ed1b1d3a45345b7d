#include "bramleypath/daemon/JobReports.h"

#include <cstddef>
#include <utility>

#include <nlohmann/json.hpp>

#include "bramleypath/daemon/ConfigService.h"

namespace bramleypath::daemon {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxPairs = 200;

const char* StateOf(const cell::Job& aJob) {
  if (cell::HasEnded(aJob)) {
    return aJob.cancelled ? "Cancelled" : "Ended";
  }
  for (const cell::Task& task : aJob.tasks) {
    if (task.live) {
      return "Running";
    }
  }
  return "Queued";
}

const char* NameOf(cell::TaskState aState) {
  switch (aState) {
    case cell::TaskState::Pending:
      return "Waiting";
    case cell::TaskState::Running:
      return "Running";
    case cell::TaskState::Finished:
      return "Finished";
    case cell::TaskState::Failed:
      return "Failed";
    case cell::TaskState::Cancelled:
      return "Cancelled";
  }
  return "";
}

}  // namespace

net::HttpResponse ListJobs(const CellView& aCell,
                           const net::HttpRequest& aRequest) {
  const std::string clientAccount =
      net::FindQueryValue(aRequest.query, "member");
  const std::string state = net::FindQueryValue(aRequest.query, "state");
  json jobs = json::array();
  for (const auto& [id, job] : aCell.state.jobs) {
    if ((!clientAccount.empty() &&
         job.spec.clientAccount.value != clientAccount) ||
        (!state.empty() && state != StateOf(job))) {
      continue;
    }
    std::size_t running = 0;
    std::size_t finished = 0;
    for (const cell::Task& task : job.tasks) {
      running += task.live ? 1 : 0;
      finished += task.state == cell::TaskState::Finished ? 1 : 0;
    }
    const auto explanation = cell::Explain(aCell.state, aCell.scheduler, id);
    jobs.push_back(
        {{"job", id.value},
         {"member", job.spec.clientAccount.value},
         {"class", job.spec.classId.value},
         {"data_centre", aCell.dataCentre.value},
         {"state", StateOf(job)},
         {"tasks", job.spec.taskCount},
         {"running", running},
         {"finished", finished},
         {"ended", job.endedTasks},
         {"evictions", job.evictionsUsed},
         {"reason",
          explanation && explanation->waiting > 0 ? explanation->text : ""}});
  }
  return net::JsonResponse(200, {{"jobs", std::move(jobs)}});
}

net::HttpResponse ExplainJob(const CellView& aCell, const std::string& aJob) {
  const cell::Job* const job = cell::FindJob(aCell.state, JobId(aJob));
  if (!job) {
    return OperatorError(404, "not_found", "job", "no job " + aJob);
  }
  const auto explanation =
      cell::Explain(aCell.state, aCell.scheduler, JobId(aJob));
  const std::string reason = explanation ? explanation->text : std::string();
  json tasks = json::array();
  for (std::size_t i = 0; i < job->tasks.size(); ++i) {
    const cell::Task& task = job->tasks[i];
    const bool waits = task.state == cell::TaskState::Pending && !task.live;
    tasks.push_back({{"index", i},
                     {"state", NameOf(task.state)},
                     {"attempt", task.attempts},
                     {"worker", task.live ? task.live->worker.value : ""},
                     {"reason", waits ? reason : ""}});
  }
  return net::JsonResponse(200, {{"job", aJob},
                                 {"data_centre", aCell.dataCentre.value},
                                 {"state", StateOf(*job)},
                                 {"reason", reason},
                                 {"tasks", std::move(tasks)}});
}

net::HttpResponse ExplainPairs(const cellplacement::Advisor& aAdvisor,
                               const cell::CellState& aState,
                               const net::HttpRequest& aRequest) {
  const std::string clientAccount =
      net::FindQueryValue(aRequest.query, "member");
  const std::string className = net::FindQueryValue(aRequest.query, "class");
  json pairs = json::array();
  for (const cellplacement::PairDescription& pair :
       cellplacement::DescribeWorstPairs(aAdvisor, aState, kMaxPairs)) {
    json clientAccounts = json::array();
    bool wanted = clientAccount.empty();
    for (const ClientAccountId& one : pair.clientAccounts) {
      clientAccounts.push_back(one.value);
      wanted = wanted || one.value == clientAccount;
    }
    if (!wanted || (!className.empty() && pair.aggressor.value != className &&
                    pair.victim.value != className)) {
      continue;
    }
    const char* const band = pair.band == placement::LoadBand::Low ? "low"
                             : pair.band == placement::LoadBand::Middle
                                 ? "middle"
                                 : "high";
    pairs.push_back({{"victim", pair.victim.value},
                     {"aggressor", pair.aggressor.value},
                     {"aggressor_members", std::move(clientAccounts)},
                     {"load_band", band},
                     {"slowdown", pair.slowdown},
                     {"deviation", pair.deviation},
                     {"samples", pair.samples}});
  }
  return net::JsonResponse(200, {{"pairs", std::move(pairs)}});
}

}  // namespace bramleypath::daemon
