#include "coordination/fleet/rental_log.hpp"

namespace poppystile::coordination {

using storage::RentalRecord;

void RentalLog::begin_term(const std::map<std::string, RentalRecord>& records) {
  rentals_.clear();
  for (const auto& [name, record] : records) {
    PendingRental rental{record};
    rental.requested = true;  // A previous leader may have sent the request.
    rentals_[name] = rental;
  }
}

void RentalLog::add(std::uint64_t token, const RentalRecord& record) {
  const std::string name = "h-" + std::to_string(token) + "-" + std::to_string(++names_used_);
  PendingRental rental{record};
  rental.log_position = journal_.append(storage::RentalRequested{name, record});
  rentals_[name] = rental;
}

void RentalLog::settle(const std::string& name) {
  rentals_.erase(name);
  journal_.append(storage::RentalSettled{name});
}

bool RentalLog::is_request_due(const PendingRental& rental, SteadyTime now) const {
  return journal_.is_durable(rental.log_position) && !rental.in_flight &&
         rental.next_request_at <= now;
}

PendingRental* RentalLog::find(const std::string& name) {
  const auto found = rentals_.find(name);
  return found == rentals_.end() ? nullptr : &found->second;
}

std::map<std::string, RentalRecord> RentalLog::records() const {
  std::map<std::string, RentalRecord> records;
  for (const auto& [name, rental] : rentals_) records[name] = rental.record;
  return records;
}

}  // namespace poppystile::coordination
