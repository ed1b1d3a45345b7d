#pragma once

#include <cstdint>
#include <optional>

#include "bramleypath/workflow/Scheduler.h"

namespace bramleypath::workflow {

// What a worker says of itself at intervals.
struct Announcement {
  WorkerSpec worker;
  // Increases with each announcement of an incarnation, from 1.
  std::uint64_t sequence = 0;
  // The worker's steady clock; 0: not given.
  std::int64_t clockMs = 0;
};

// Whether both specs of one incarnation are equal.
bool IsSameSpec(const WorkerSpec& aLeft, const WorkerSpec& aRight);

// Whether the worker can have started when it says, by the replicated time of
// day. Clocks of workers may be wrong by less than a minute.
bool IsPlausibleStart(const WorkerSpec& aWorker, std::int64_t aUnixMs);

// Whether a worker that started then is an earlier incarnation than the
// registered one; false for 0, an unknown start.
bool IsOfEarlierIncarnation(const Scheduler& aScheduler, const Worker& aKnown,
                            std::int64_t aStartedUnixMs);

// Whether the announcement is of the incarnation that is registered.
bool IsOfRegistered(const Scheduler& aScheduler, const Worker& aKnown,
                    const Announcement& aAnnouncement);

// The entry of the worker to be committed because of the announcement; none if
// the replicated entry stays as it is, or, for a new incarnation, until enough
// is known of the end of the one before. An announcement that arrives after a
// later one of the same incarnation changes nothing but the state of draining,
// and a worker that drains goes on draining.
//
// What the entry shows may be false, since other programs write announcements
// too. If a worker goes on to announce itself for longer than late
// announcements can arrive, and nothing that agrees with the entry arrives
// meanwhile, it is taken to be as it says. A registered start is kept in the
// entry even if it is later than the true one, because replicas ignore entries
// with an earlier start.
std::optional<WorkerSpec> SpecToCommit(Scheduler& aScheduler,
                                       const State& aState,
                                       const Announcement& aAnnouncement,
                                       TimePoint aNow);

// The command that registers a worker, with what is known about the attempts on
// the incarnation that it replaces, if any.
RegisterWorker RegistrationOf(Scheduler& aScheduler, const State& aState,
                              const WorkerSpec& aSpec, TimePoint aNow);

// An announcement of the given sequence number shows the replicated entry of
// the worker.
void OnUnchanged(Scheduler& aScheduler, WorkerNumber aWorker,
                 std::uint64_t aSequence);

// The entry has been committed because of the announcement.
void OnRegistered(Scheduler& aScheduler, const State& aState,
                  const Announcement& aAnnouncement);

}  // namespace bramleypath::workflow
