#pragma once

namespace bramleypath::placement {

struct Composition;
struct Interference;
struct PlacementHistory;
struct WorkerView;
struct TaskRequest;
struct Weights;
struct TailResponse;
struct SizeCorrection;

}  // namespace bramleypath::placement
