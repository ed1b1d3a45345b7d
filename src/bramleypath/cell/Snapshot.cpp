#include <utility>

#include "bramleypath/cell/CellState.h"
#include "bramleypath/cell/internal/CborReader.h"
#include "bramleypath/codec/CborWriter.h"

namespace bramleypath::cell {

namespace {

using namespace detail;
using codec::CborWriter;

// Increased when the layout changes; snapshots of other versions are refused.
constexpr std::uint64_t kSnapshotVersion = 1;

// Rows are appended as CBOR one by one. One JSON value of all rows would take
// most of the time of a snapshot.
void AppendRow(CborWriter& aWriter, const Json& aRow) {
  Json::to_cbor(aRow, aWriter.out);
}

void AppendTask(CborWriter& aWriter, const Task& aTask) {
  aWriter.OpenArray();
  aWriter.Value(static_cast<unsigned>(aTask.state));
  aWriter.Value(aTask.attempts);
  aWriter.Value(aTask.evictions);
  aWriter.Value(aTask.resumptions);
  aWriter.Value(aTask.failures);
  aWriter.OpenArray();
  for (const WorkerId& worker : aTask.failedOn) {
    aWriter.Value(worker);
  }
  aWriter.Close();
  aWriter.Value(aTask.checkpoint);
  aWriter.OpenArray();
  if (aTask.live) {
    aWriter.Value(aTask.live->number);
    aWriter.Value(static_cast<unsigned>(aTask.live->state));
    aWriter.Value(aTask.live->worker);
    aWriter.Value(aTask.live->incarnation);
    AppendRow(aWriter, Write(aTask.live->resources));
  }
  aWriter.Close();
  aWriter.Close();
}

Task ReadTask(ArrayReader& aReader) {
  Task task;
  task.state = ReadEnum(aReader, TaskState::Cancelled);
  task.attempts = ReadUnsigned32(aReader);
  task.evictions = ReadUnsigned32(aReader);
  task.resumptions = ReadUnsigned32(aReader);
  task.failures = ReadUnsigned32(aReader);
  ArrayReader failedOn = ReadArray(aReader);
  while (HasMore(failedOn)) {
    task.failedOn.emplace_back(ReadText(failedOn));
  }
  task.checkpoint = ReadText(aReader);
  ArrayReader live = ReadArray(aReader);
  if (HasMore(live)) {
    Attempt attempt;
    attempt.number = ReadUnsigned32(live);
    attempt.state = ReadEnum(live, AttemptState::Throttled);
    attempt.worker = WorkerId(ReadText(live));
    attempt.incarnation = ReadUnsigned(live);
    attempt.resources = ReadResources(live);
    task.live = attempt;
  }
  aReader.ok = aReader.ok && IsFullyRead(failedOn) && IsFullyRead(live);
  return task;
}

void AppendJob(CborWriter& aWriter, const Job& aJob) {
  aWriter.OpenArray();
  AppendRow(aWriter, Write(aJob.spec));
  aWriter.Value(aJob.sequence);
  aWriter.Value(aJob.cancelled);
  aWriter.Value(aJob.evictionsUsed);
  aWriter.Value(aJob.endedTasks);
  aWriter.OpenArray();
  for (const Task& task : aJob.tasks) {
    AppendTask(aWriter, task);
  }
  aWriter.Close();
  aWriter.Close();
}

Job ReadJob(ArrayReader& aReader) {
  Job job;
  job.spec = ReadJobSpec(aReader);
  job.sequence = ReadUnsigned(aReader);
  job.cancelled = ReadBool(aReader);
  job.evictionsUsed = ReadUnsigned32(aReader);
  job.endedTasks = ReadUnsigned32(aReader);
  ArrayReader tasks = ReadArray(aReader);
  while (HasMore(tasks)) {
    job.tasks.push_back(ReadNested(tasks, ReadTask));
  }
  aReader.ok = aReader.ok && IsFullyRead(tasks) && !job.tasks.empty() &&
               job.tasks.size() == job.spec.taskCount;
  return job;
}

Json WriteWorker(const WorkerId& aId, const Worker& aWorker) {
  return Json::array({aId.value, aWorker.incarnation, Write(aWorker.capacity),
                      aWorker.rack.value});
}

Json WriteClientAccount(const ClientAccountId& aId,
                        const ClientAccount& aClientAccount) {
  Json quota = Json::array();
  if (aClientAccount.quota) {
    quota.push_back(Write(*aClientAccount.quota));
  }
  return Json::array({aId.value, std::move(quota), aClientAccount.finishedTasks,
                      aClientAccount.failedTasks,
                      aClientAccount.cancelledTasks});
}

Json WriteRequest(const RequestId& aId, const AnsweredRequest& aRequest) {
  return Json::array(
      {aId.value, aRequest.fingerprint, aRequest.outcome.accepted,
       static_cast<unsigned>(aRequest.outcome.code), aRequest.outcome.detail});
}

void ReadWorkers(ArrayReader& aReader, CellState& aState) {
  ArrayReader rows = ReadArray(aReader);
  while (HasMore(rows)) {
    ArrayReader row = ReadArray(rows);
    const WorkerId id(ReadText(row));
    Worker worker;
    worker.incarnation = ReadUnsigned(row);
    worker.capacity = ReadResources(row);
    worker.rack = RackId(ReadText(row));
    rows.ok = rows.ok && IsFullyRead(row);
    aState.workers.emplace(id, std::move(worker));
  }
  aReader.ok = aReader.ok && IsFullyRead(rows);
}

void ReadClientAccounts(ArrayReader& aReader, CellState& aState) {
  ArrayReader rows = ReadArray(aReader);
  while (HasMore(rows)) {
    ArrayReader row = ReadArray(rows);
    const ClientAccountId id(ReadText(row));
    ClientAccount clientAccount;
    ArrayReader quota = ReadArray(row);
    if (HasMore(quota)) {
      clientAccount.quota = ReadResources(quota);
    }
    clientAccount.finishedTasks = ReadUnsigned(row);
    clientAccount.failedTasks = ReadUnsigned(row);
    clientAccount.cancelledTasks = ReadUnsigned(row);
    rows.ok = rows.ok && IsFullyRead(quota) && IsFullyRead(row);
    aState.clientAccounts.emplace(id, clientAccount);
  }
  aReader.ok = aReader.ok && IsFullyRead(rows);
}

void ReadRequests(ArrayReader& aReader, CellState& aState) {
  ArrayReader rows = ReadArray(aReader);
  while (HasMore(rows)) {
    ArrayReader row = ReadArray(rows);
    const RequestId id(ReadText(row));
    AnsweredRequest request;
    request.fingerprint = ReadUnsigned(row);
    request.outcome.accepted = ReadBool(row);
    request.outcome.code = ReadEnum(row, RefusalCode::NotAllowedInState);
    request.outcome.detail = ReadText(row);
    rows.ok = rows.ok && IsFullyRead(row);
    aState.requestOrder.push_back(id);
    aState.requests.emplace(id, std::move(request));
  }
  aReader.ok = aReader.ok && IsFullyRead(rows);
}

// Recomputes the sums that follow from the job's live attempts. Returns false
// when an attempt is on an unknown worker or of an unknown client account.
bool AddReservations(CellState& aState, const Job& aJob) {
  const auto clientAccount =
      aState.clientAccounts.find(aJob.spec.clientAccount);
  if (clientAccount == aState.clientAccounts.end()) {
    return false;
  }
  for (std::uint32_t index = 0; index < aJob.tasks.size(); ++index) {
    const Task& task = aJob.tasks[index];
    if ((task.state == TaskState::Running) != task.live.has_value()) {
      return false;
    }
    if (!task.live) {
      continue;
    }
    const auto worker = aState.workers.find(task.live->worker);
    if (worker == aState.workers.end()) {
      return false;
    }
    const Resources& resources = task.live->resources;
    const AttemptId id{TaskId{aJob.spec.id, index}, task.live->number};
    worker->second.reservations.emplace(id, resources);
    worker->second.reserved = worker->second.reserved + resources;
    clientAccount->second.used = clientAccount->second.used + resources;
  }
  return true;
}

void ReadJobs(ArrayReader& aReader, CellState& aState) {
  ArrayReader rows = ReadArray(aReader);
  while (HasMore(rows)) {
    Job job = ReadNested(rows, ReadJob);
    if (!rows.ok || !AddReservations(aState, job)) {
      rows.ok = false;
      break;
    }
    aState.liveTasks += job.tasks.size() - job.endedTasks;
    aState.jobs.emplace(job.spec.id, std::move(job));
  }
  aReader.ok = aReader.ok && IsFullyRead(rows);
}

}  // namespace

std::vector<std::uint8_t> TakeSnapshot(const CellState& aState) {
  std::vector<std::uint8_t> bytes;
  CborWriter writer{bytes};
  writer.OpenArray();
  writer.Value(kSnapshotVersion);
  writer.Value(aState.lastSequence);
  writer.OpenArray();
  for (const auto& [id, worker] : aState.workers) {
    AppendRow(writer, WriteWorker(id, worker));
  }
  writer.Close();
  writer.OpenArray();
  for (const auto& [id, clientAccount] : aState.clientAccounts) {
    AppendRow(writer, WriteClientAccount(id, clientAccount));
  }
  writer.Close();
  writer.OpenArray();
  for (const auto& [id, job] : aState.jobs) {
    AppendJob(writer, job);
  }
  writer.Close();
  writer.OpenArray();
  for (const JobId& job : aState.endedJobs) {
    writer.Value(job);
  }
  writer.Close();
  writer.OpenArray();
  for (const RequestId& id : aState.requestOrder) {
    AppendRow(writer, WriteRequest(id, aState.requests.at(id)));
  }
  writer.Close();
  writer.Close();
  return bytes;
}

std::optional<CellState> RestoreSnapshot(gsl::span<const std::uint8_t> aBytes) {
  const std::optional<Json> json = ParseArray(aBytes);
  if (!json) {
    return std::nullopt;
  }
  ArrayReader reader = OpenArray(*json);
  if (ReadUnsigned(reader) != kSnapshotVersion) {
    return std::nullopt;
  }
  CellState state;
  state.lastSequence = ReadUnsigned(reader);
  ReadWorkers(reader, state);
  ReadClientAccounts(reader, state);
  ReadJobs(reader, state);
  ArrayReader ended = ReadArray(reader);
  while (HasMore(ended)) {
    state.endedJobs.emplace_back(ReadText(ended));
  }
  ReadRequests(reader, state);
  if (!IsFullyRead(ended) || !IsFullyRead(reader)) {
    return std::nullopt;
  }
  return state;
}

}  // namespace bramleypath::cell
