/// \file
/// Rents machines: from the orders of a scaling plan to machines in the cluster state.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/machine_registry.hpp"
#include "coordination/fleet/offer_backoff.hpp"
#include "coordination/fleet/rental_log.hpp"
#include "planning/autoscaler/offer.hpp"
#include "protocol/settings.hpp"
#include "transport/event_loop.hpp"

namespace poppystile::coordination {

/// Records rentals, requests them until the cloud answers, and admits the machines that it grants.
/// Keeps references to its arguments.
class ScaleOut {
 public:
  ScaleOut(transport::Runtime& runtime, CloudClient& cloud, RentalLog& rental_log,
           MachineRegistry& registry, const protocol::Settings& settings);

  /// Requests each rental that is due, as far as the cloud's rate limit allows.
  void request_due_rentals();
  /// Settles rentals that have not been requested yet, and whose offer was refused meanwhile under
  /// another name.
  void withdraw_refused_rentals();
  /// Records rentals for as many orders as can be requested soon; the others are left to later
  /// plans, where they grow together with the demand by then.
  void record_rentals(const std::vector<planning::RentalOrder>& orders, std::uint64_t token);

  /// What is recorded and not answered yet.
  std::vector<planning::RentalOrder> pending_orders() const;
  /// Offers that are not to be requested now.
  std::set<planning::Offer> refused_offers() const {
    return backoff_.paused_offers(runtime_.now());
  }

 private:
  void request(const std::string& name, PendingRental& rental);
  void on_response(const std::string& name, const CloudResult<std::vector<std::string>>& machines);
  void on_error(const std::string& name, const storage::RentalRecord& record,
                const CloudError& error);
  void on_granted(const std::string& name, const storage::RentalRecord& record,
                  const std::vector<std::string>& machines);

  transport::Runtime& runtime_;
  CloudClient& cloud_;
  RentalLog& rental_log_;
  MachineRegistry& registry_;
  const protocol::Settings& settings_;
  OfferBackoff backoff_;
};

}  // namespace poppystile::coordination
