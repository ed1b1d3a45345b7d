#pragma once

#include <memory>
#include <string>

#include "bramleypath/settings/Settings.h"

namespace bramleypath::daemon {

enum class ExitStatus {
  Stopped = 0,      // a planned stop that interrupted nothing
  Failed = 1,       // could not start, or the disk failed
  Interrupted = 3,  // a planned stop that ended early and interrupted calls
};

// Runs one entry host: creates its services and runs them on one thread.
class Daemon {
 public:
  // With aBootstrap, creates the data folder of one of the first voters of a
  // new deployment.
  Daemon(const settings::Settings& aSettings, bool aBootstrap);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Binds the listeners and starts the replicas.
  bool Start(std::string& aReason);
  // Runs until a planned stop ends or a replica fails.
  ExitStatus Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace bramleypath::daemon
