#pragma once

namespace bramleypath::journal {

struct Command;
struct Outcome;
struct JournalState;
struct Coordinator;

}  // namespace bramleypath::journal
