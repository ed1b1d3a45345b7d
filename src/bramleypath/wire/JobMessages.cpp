#include "bramleypath/wire/JobMessages.h"

#include <vector>

#include "bramleypath/codec/Fields.h"
#include "bramleypath/wire/internal/JsonBody.h"

namespace bramleypath::wire {

namespace {

struct JobJson {
  JobId job;
  ClientAccountId clientAccount;
  ClassId className;
  std::string kind = "batch";
  std::uint32_t tasks = 1;
  std::int64_t processorsMilli = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;
  std::int64_t declaredRunMs = 0;
  bool urgent = false;
  bool checkpointable = false;
  bool rackSpread = false;
  std::uint32_t evictionBudget = 0;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, JobJson& aJob) {
  aVisitor.Required("job", aJob.job);
  aVisitor.Required("member", aJob.clientAccount);
  aVisitor.Required("class", aJob.className);
  aVisitor.Optional("kind", aJob.kind);
  aVisitor.Optional("tasks", aJob.tasks);
  aVisitor.Required("processors_milli", aJob.processorsMilli);
  aVisitor.Required("memory_mb", aJob.memoryMb);
  aVisitor.Optional("accelerators", aJob.accelerators);
  aVisitor.Optional("declared_run_ms", aJob.declaredRunMs);
  aVisitor.Optional("urgent", aJob.urgent);
  aVisitor.Optional("checkpointable", aJob.checkpointable);
  aVisitor.Optional("rack_spread", aJob.rackSpread);
  aVisitor.Optional("eviction_budget", aJob.evictionBudget);
}

struct SubmissionJson {
  RequestId request;
  std::string dataCentre;
  JobJson job;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, SubmissionJson& aSubmission) {
  aVisitor.Required("request_id", aSubmission.request);
  aVisitor.Optional("data_centre", aSubmission.dataCentre);
  aVisitor.Required("job", aSubmission.job);
}

struct CancellationJson {
  RequestId request;
  std::string dataCentre;
  JobId job;
  std::vector<JobId> jobs;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, CancellationJson& aCancellation) {
  aVisitor.Required("request_id", aCancellation.request);
  aVisitor.Optional("data_centre", aCancellation.dataCentre);
  aVisitor.Optional("job", aCancellation.job);
  aVisitor.Optional("jobs", aCancellation.jobs);
}

bool CheckRequestId(const RequestId& aRequest, WireReason& aReason) {
  constexpr std::size_t kMaxBytes = 128;
  if (aRequest.empty() || aRequest.value.size() > kMaxBytes) {
    aReason = {"request_id", "must have 1 to 128 bytes"};
    return false;
  }
  return true;
}

}  // namespace

std::optional<cell::SubmitJob> ParseJobSubmission(std::string_view aText,
                                                  WireReason& aReason) {
  const auto parsed = detail::ParseBody<SubmissionJson>(aText, aReason);
  if (!parsed || !CheckRequestId(parsed->request, aReason)) {
    return std::nullopt;
  }
  const JobJson& job = parsed->job;
  if (job.kind != "batch" && job.kind != "service") {
    aReason = {"job.kind", "must be batch or service"};
    return std::nullopt;
  }
  cell::SubmitJob submit;
  submit.request = parsed->request;
  submit.spec.id = job.job;
  submit.spec.clientAccount = job.clientAccount;
  submit.spec.classId = job.className;
  submit.spec.kind =
      job.kind == "service" ? cell::JobKind::Service : cell::JobKind::Batch;
  submit.spec.urgent = job.urgent;
  submit.spec.checkpointable = job.checkpointable;
  submit.spec.rackSpread = job.rackSpread;
  submit.spec.taskCount = job.tasks;
  submit.spec.evictionBudget = job.evictionBudget;
  submit.spec.perTask = {job.processorsMilli, job.memoryMb, job.accelerators};
  submit.spec.declaredRunMs = job.declaredRunMs;
  return submit;
}

std::optional<cell::CancelJobs> ParseJobCancellation(std::string_view aText,
                                                     WireReason& aReason) {
  const auto parsed = detail::ParseBody<CancellationJson>(aText, aReason);
  if (!parsed || !CheckRequestId(parsed->request, aReason)) {
    return std::nullopt;
  }
  cell::CancelJobs cancel;
  cancel.request = parsed->request;
  cancel.jobs = parsed->jobs;
  if (!parsed->job.empty()) {
    cancel.jobs.push_back(parsed->job);
  }
  if (cancel.jobs.empty()) {
    aReason = {"job", "is missing"};
    return std::nullopt;
  }
  return cancel;
}

const char* NameOf(cell::RefusalCode aCode) {
  using cell::RefusalCode;
  switch (aCode) {
    case RefusalCode::None:
      return "";
    case RefusalCode::InvalidField:
      return "invalid";
    case RefusalCode::TableFull:
      return "limit_reached";
    case RefusalCode::RequestIdReused:
      return "request_id_reused";
    case RefusalCode::JobExists:
      return "job_exists";
    case RefusalCode::UnknownJob:
      return "unknown_name";
    case RefusalCode::NoWorkerLargeEnough:
      return "never_fits";
    case RefusalCode::TaskExceedsQuota:
      return "above_quota";
    default:
      return "not_allowed";
  }
}

}  // namespace bramleypath::wire
