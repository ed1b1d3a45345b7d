#pragma once

#include "bramleypath/workflow/Scheduler.h"

// Whether a worker that did not answer a start crashed alone. A start that
// takes its worker down ends one worker; the failure of a rack or of a power
// supply ends several at once, also those that the task never touched.
namespace bramleypath::workflow::detail {

// A worker that answered within this time is taken to live when a start is
// sent.
constexpr Duration kJustAnswered = Millis(100);

enum class CrashScope : std::uint8_t {
  Unknown,  // others have not been heard from since
  Alone,
  // Another worker of its rack, or two others anywhere, may have crashed at the
  // same time. Those with a task whose next crash is decisive don't count,
  // since it may have taken them down.
  Correlated
};

// The scope of the crash of aWorker, should it have crashed with the start that
// was sent at aSentAt. It is known once all others had time to announce
// themselves; a worker that was lost for long before tells nothing.
CrashScope ScopeOfCrash(const Scheduler& aScheduler, const State& aState,
                        const Worker& aWorker, TimePoint aSentAt,
                        TimePoint aNow);

// A request to the worker failed. Its crash, if it has crashed, came before.
void RecordMiss(WorkerSession& aSession, TimePoint aNow);

// Remembers a worker that has crashed and is about to be removed.
void RecordLostWorker(Scheduler& aScheduler, const State& aState,
                      const Worker& aWorker, TimePoint aNow);

// Whether a worker was found to have crashed a moment ago, so that another
// crash would tell little about the tasks of its worker.
bool IsUnsettled(const Scheduler& aScheduler, TimePoint aNow);

const char* ToText(CrashScope aScope);

}  // namespace bramleypath::workflow::detail
