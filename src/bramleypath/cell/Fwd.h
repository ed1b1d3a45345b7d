#pragma once

namespace bramleypath::cell {

struct Resources;
struct JobSpec;
struct Job;
struct Task;
struct Attempt;
struct Worker;
struct CellState;
struct Outcome;
struct CommandBatch;
struct WorkerMessage;
struct Scheduler;
struct SchedulerSettings;
struct Event;

}  // namespace bramleypath::cell
