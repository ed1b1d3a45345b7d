#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bramleypath/group/Replica.h"

namespace bramleypath::bench {

// State machine that counts the applied commands. Its snapshots have a fixed
// size of 1000 bytes.
class CountingMachine : public group::StateMachine {
 public:
  consensus::Bytes Apply(const group::CommittedCommand&) override {
    ++this->applied;
    return {};
  }
  consensus::Bytes TakeSnapshot() override { return consensus::Bytes(1000); }
  bool Restore(consensus::LogIndex, gsl::span<const std::uint8_t>,
               std::string&) override {
    return true;
  }

  std::uint64_t applied = 0;
};

// Three replicas with real files that share one io_context. Every message is
// encoded, counted and decoded, but doesn't pass through a socket.
struct LocalGroup {
  LocalGroup(storage::FileSystem& aFiles, const std::string& aFolder);
  ~LocalGroup();
  LocalGroup(const LocalGroup&) = delete;
  LocalGroup& operator=(const LocalGroup&) = delete;

  // Returns the replica that holds the lease, or null if none gets it in time.
  group::Replica* WaitForLeader();
  void RunFor(Duration aLength);
  // Proposes aCount commands with at most aWindow of them in flight. False when
  // there is no leader or a proposal failed.
  bool ProposeAll(std::size_t aCount, std::size_t aWindow,
                  std::size_t aCommandBytes);

  asio::io_context context;
  std::vector<std::unique_ptr<storage::DiskThread>> disks;
  std::vector<std::unique_ptr<CountingMachine>> machines;
  std::vector<std::unique_ptr<group::Replica>> replicas;
  std::vector<consensus::ReplicaId> ids;
  std::uint64_t messages = 0;
  std::uint64_t messageBytes = 0;
};

}  // namespace bramleypath::bench
