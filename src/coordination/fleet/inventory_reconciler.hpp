/// \file
/// Compares the cloud's list of machines with the cluster state.
#pragma once

#include <string>

#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/machine_registry.hpp"
#include "coordination/fleet/machine_releaser.hpp"
#include "protocol/cloud_messages.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// Reads the machine list page by page, adopts machines that are missing from the cluster state,
/// and schedules the release of failed machines.
/// The constructor's arguments must outlive this object.
class InventoryReconciler {
 public:
  InventoryReconciler(transport::Runtime& runtime, CloudClient& cloud, MachineRegistry& registry,
                      MachineReleaser& releaser, const protocol::Settings& settings);

  /// Starts a term; the next page to be fetched is the first. Cloud calls of the previous term must
  /// have been abandoned.
  void begin_term(SteadyTime term_started_at);
  /// Fetches the next page if it is due and the cloud's rate limit allows a call.
  void fetch_page_if_due();

 private:
  bool is_page_due() const;
  void fetch_page();
  void on_page(const protocol::MachineList& page);
  void reconcile_listed(const protocol::ListedMachine& listed);
  cluster::Machine* adopt(const protocol::ListedMachine& listed);

  transport::Runtime& runtime_;
  CloudClient& cloud_;
  MachineRegistry& registry_;
  MachineReleaser& releaser_;
  const protocol::Settings& settings_;
  std::string page_after_;  // Id after which the next page begins; empty: first page
  bool page_in_flight_ = false;
  SteadyTime last_page_at_;
  SteadyTime term_started_at_;
};

}  // namespace poppystile::coordination
