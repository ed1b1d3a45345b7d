#include "bench/consensus/LocalGroup.h"

#include <asio/post.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "bramleypath/consensus/Codec.h"

namespace bramleypath::bench {

namespace {

constexpr std::size_t kReplicas = 3;
constexpr Duration kProposalTimeout = Seconds(10);

std::unique_ptr<storage::GroupStore> OpenStoreOrExit(
    storage::FileSystem& aFiles, const std::string& aFolder,
    storage::OpenedState& aOpened) {
  storage::StorageReason reason;
  auto store = storage::GroupStore::Open(
      aFiles, aFolder, storage::StoreSettings{}, aOpened, reason);
  if (!store) {
    std::fprintf(stderr, "%s\n", storage::ToText(reason).c_str());
    std::exit(1);
  }
  return store;
}

}  // namespace

LocalGroup::LocalGroup(storage::FileSystem& aFiles,
                       const std::string& aFolder) {
  consensus::Membership initial;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    this->ids.emplace_back("entry-" + std::to_string(i) + "/initial");
  }
  initial.voters = this->ids;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    this->disks.push_back(std::make_unique<storage::DiskThread>());
    this->machines.push_back(std::make_unique<CountingMachine>());
    storage::OpenedState opened;
    auto store =
        OpenStoreOrExit(aFiles, aFolder + "/" + std::to_string(i), opened);
    group::ReplicaSettings settings;
    settings.self = this->ids[i];
    settings.initial = initial;
    settings.seed = i + 1;
    group::ReplicaCallbacks callbacks;
    callbacks.send = [this](const consensus::Message& aMessage) {
      auto bytes = consensus::EncodeMessage(aMessage);
      ++this->messages;
      this->messageBytes += bytes.size();
      asio::post(this->context, [this, bytes = std::move(bytes)] {
        const auto message = consensus::DecodeMessage(bytes);
        for (std::size_t to = 0; message && to < kReplicas; ++to) {
          if (this->ids[to] == message->to) {
            this->replicas[to]->Receive(*message);
          }
        }
      });
    };
    this->replicas.push_back(std::make_unique<group::Replica>(
        this->context, this->disks[i].get(), std::move(store),
        std::move(opened.restored), std::move(settings), std::move(callbacks),
        *this->machines[i]));
    std::string reason;
    this->replicas[i]->Start(reason);
  }
}

LocalGroup::~LocalGroup() { this->replicas.clear(); }

void LocalGroup::RunFor(Duration aLength) {
  this->context.restart();
  this->context.run_for(std::chrono::microseconds(aLength.micros));
}

group::Replica* LocalGroup::WaitForLeader() {
  constexpr int kTries = 1000;
  for (int i = 0; i < kTries; ++i) {
    for (const auto& replica : this->replicas) {
      if (replica->HasLease()) {
        return replica.get();
      }
    }
    this->RunFor(Millis(10));
  }
  return nullptr;
}

bool LocalGroup::ProposeAll(std::size_t aCount, std::size_t aWindow,
                            std::size_t aCommandBytes) {
  group::Replica* leader = this->WaitForLeader();
  std::size_t started = 0;
  std::size_t ended = 0;
  bool succeeded = leader != nullptr;
  while (succeeded && ended < aCount) {
    while (started < aCount && started - ended < aWindow) {
      ++started;
      leader->Propose(consensus::Bytes(aCommandBytes, 7), kProposalTimeout,
                      [&](const group::ProposeOutcome& aOutcome) {
                        ++ended;
                        succeeded = succeeded && aOutcome.Ok();
                      });
    }
    this->context.restart();
    this->context.run_one();
  }
  return succeeded;
}

}  // namespace bramleypath::bench
