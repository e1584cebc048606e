/// \file
/// Rents the machines that a scaling plan orders, and adds them to the cluster state.
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

/// Records rentals, requests them until the cloud grants or refuses them, and admits the granted
/// machines. The constructor's arguments must outlive this object.
class ScaleOut {
 public:
  ScaleOut(transport::Runtime& runtime, CloudClient& cloud, RentalLog& rental_log,
           MachineRegistry& registry, const protocol::Settings& settings);

  /// Sends the request of each rental that is due, as far as the cloud's rate limit allows.
  void request_due_rentals();
  /// Settles rentals that were never requested and whose offer is paused, because the cloud refused
  /// it for another rental.
  void withdraw_refused_rentals();
  /// Records rentals for `orders`, in their order, while fewer rentals are pending than the cloud's
  /// rate limit allows calls in a second. Later plans order the remaining machines again, according
  /// to the demand at that time. `token` is the leader's fencing token.
  void record_rentals(const std::vector<planning::RentalOrder>& orders, std::uint64_t token);

  /// The orders of all pending rentals.
  std::vector<planning::RentalOrder> pending_orders() const;
  /// Offers that are paused after a refusal.
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
