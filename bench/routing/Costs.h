#pragma once

namespace bramleypath::bench {

// Prints the time of a choice and of a whole call, the bytes of a gossip round
// and the memory per target and call.
void PrintCosts();

}  // namespace bramleypath::bench
