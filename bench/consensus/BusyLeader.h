#pragma once

namespace bramleypath::bench {

// Prints what becomes of a leader's lease and leadership when its thread is
// busy, in one handler or in many that are queued.
void BenchBusyLeader();

}  // namespace bramleypath::bench
