#pragma once

namespace bramleypath::consensus {

struct Membership;
struct LogEntry;
struct HardState;
struct Snapshot;
struct RestoredState;
struct Message;
struct Node;
struct Settings;

}  // namespace bramleypath::consensus
