#include "bramleypath/controller/OpenSubmissions.h"

namespace bramleypath::controller {

void Begin(OpenSubmissions& aSubmissions, Epoch aEpoch) {
  aSubmissions = OpenSubmissions();
  aSubmissions.epoch = aEpoch;
}

void Add(OpenSubmissions& aSubmissions, const JobId& aJob) {
  const auto known = aSubmissions.jobs.find(aJob.value);
  if (known != aSubmissions.jobs.end()) {
    ++known->second;
    return;
  }
  if (aSubmissions.jobs.size() >= kMaxOpenSubmissions) {
    aSubmissions.isIncomplete = true;
    return;
  }
  aSubmissions.jobs.emplace(aJob.value, 1);
}

void Close(OpenSubmissions& aSubmissions, Epoch aEpoch, const JobId& aJob) {
  const auto known = aSubmissions.jobs.find(aJob.value);
  if (aEpoch != aSubmissions.epoch || known == aSubmissions.jobs.end()) {
    return;
  }
  if (--known->second == 0) {
    aSubmissions.jobs.erase(known);
  }
}

bool MayBeOpen(const OpenSubmissions& aSubmissions, const JobId& aJob) {
  return aSubmissions.isIncomplete || IsOpen(aSubmissions, aJob);
}

bool IsOpen(const OpenSubmissions& aSubmissions, const JobId& aJob) {
  return aSubmissions.jobs.count(aJob.value) > 0;
}

}  // namespace bramleypath::controller
