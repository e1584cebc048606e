#include "coordination/fleet/scale_out.hpp"

#include <spdlog/spdlog.h>

#include <cmath>
#include <utility>

#include "constants.hpp"

namespace poppystile::coordination {

using cluster::Machine;
using planning::Offer;
using planning::RentalOrder;
using storage::RentalRecord;

namespace {

Offer offer_of(const RentalRecord& record) { return {record.type, record.zone, record.spot}; }

}  // namespace

ScaleOut::ScaleOut(transport::Runtime& runtime, CloudClient& cloud, RentalLog& rental_log,
                   MachineRegistry& registry, const protocol::Settings& settings)
    : runtime_(runtime),
      cloud_(cloud),
      rental_log_(rental_log),
      registry_(registry),
      settings_(settings) {}

void ScaleOut::request_due_rentals() {
  const SteadyTime now = runtime_.now();
  for (auto& [name, rental] : rental_log_.rentals())
    if (rental_log_.is_request_due(rental, now) && cloud_.acquire_call()) request(name, rental);
}

void ScaleOut::request(const std::string& name, PendingRental& rental) {
  rental.in_flight = rental.requested = true;
  cloud_.request_rental(name, rental.record,
                        [this, name](const CloudResult<std::vector<std::string>>& machines) {
                          on_response(name, machines);
                        });
}

void ScaleOut::on_response(const std::string& name,
                           const CloudResult<std::vector<std::string>>& machines) {
  PendingRental* rental = rental_log_.find(name);
  if (rental == nullptr) return;
  rental->in_flight = false;
  rental->next_request_at = runtime_.now() + constants::rental_retry_pause;
  const RentalRecord record = rental->record;
  if (machines) {
    on_granted(name, record, *machines);
  } else {
    on_error(name, record, machines.error());
  }
}

void ScaleOut::on_error(const std::string& name, const RentalRecord& record,
                        const CloudError& error) {
  switch (error.reason) {
    case CloudError::Reason::unavailable:
      return;  // The request is repeated after a pause.
    case CloudError::Reason::malformed:
      return spdlog::info("rental response malformed name={} why=\"{}\"", name, error.detail);
    case CloudError::Reason::refused:
      spdlog::info("rental refused name={} type={} zone={} spot={} status={}", name, record.type,
                   record.zone, record.spot, error.status);
      backoff_.record_refusal(offer_of(record), runtime_.now());
      rental_log_.settle(name);
  }
}

void ScaleOut::on_granted(const std::string& name, const RentalRecord& record,
                          const std::vector<std::string>& machines) {
  spdlog::info("rental granted name={} type={} zone={} spot={} requested={} granted={}", name,
               record.type, record.zone, record.spot, record.count, machines.size());
  const Offer offer = offer_of(record);
  if (!machines.empty()) backoff_.reset(offer);
  if (static_cast<int>(machines.size()) < record.count)
    backoff_.record_refusal(offer, runtime_.now());
  for (const auto& id : machines) {
    if (registry_.find(id) != nullptr || registry_.is_released(id)) continue;
    Machine machine;
    machine.id = id;
    machine.type = record.type;
    machine.zone = record.zone;
    machine.spot = record.spot;
    machine.rented_at = runtime_.wall_now();
    registry_.admit(std::move(machine));
  }
  // Settled after the machines are recorded, so that every prefix of the journal contains either
  // the pending rental or its machines.
  rental_log_.settle(name);
}

void ScaleOut::withdraw_refused_rentals() {
  const SteadyTime now = runtime_.now();
  std::vector<std::string> withdrawn;
  for (const auto& [name, rental] : rental_log_.rentals())
    if (!rental.requested && backoff_.is_paused(offer_of(rental.record), now))
      withdrawn.push_back(name);
  for (const auto& name : withdrawn) rental_log_.settle(name);
}

void ScaleOut::record_rentals(const std::vector<RentalOrder>& orders, std::uint64_t token) {
  const auto max_pending = static_cast<std::size_t>(std::ceil(settings_.cloud_rps));
  for (const auto& order : orders) {
    if (rental_log_.rentals().size() >= max_pending) break;
    rental_log_.add(token, {order.offer.type, order.offer.zone, order.offer.spot, order.count});
  }
}

std::vector<RentalOrder> ScaleOut::pending_orders() const {
  std::vector<RentalOrder> orders;
  for (const auto& [name, rental] : rental_log_.rentals())
    orders.push_back({offer_of(rental.record), rental.record.count});
  return orders;
}

}  // namespace poppystile::coordination
