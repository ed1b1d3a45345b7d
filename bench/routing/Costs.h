#pragma once

namespace bramleypath::bench {

// Prints the processor time of a target choice and of a whole call, the bytes
// of a gossip round, and the memory per target and per call.
void PrintCosts();

}  // namespace bramleypath::bench
