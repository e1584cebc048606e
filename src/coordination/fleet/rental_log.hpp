/// \file
/// Rentals from the decision to rent until the cloud's answer, as the journal records them.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "clock.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "storage/records.hpp"

namespace poppystile::coordination {

/// A rental that is recorded and not settled. It is requested under its name until there is an
/// answer, also by a later leader.
struct PendingRental {
  storage::RentalRecord record;
  std::uint64_t log_position = 0;  ///< may be requested once the journal is durable up to here
  bool in_flight = false;          ///< a request has not been answered yet
  bool requested = false;          ///< has ever been requested, so it may be carried out late
  SteadyTime next_request_at;
};

/// The pending rentals. Each is recorded in the journal before it may be requested, so that no
/// machine is rented that a successor would not look for.
class RentalLog {
 public:
  explicit RentalLog(JournalWriter& journal) : journal_(journal) {}

  /// Takes over the rentals that former leaders left pending.
  void begin_term(const std::map<std::string, storage::RentalRecord>& records);

  /// Records a rental under a new name, which the leader's fencing token keeps unique.
  void add(std::uint64_t token, const storage::RentalRecord& record);
  /// Records that nothing more will come of a rental, and drops it. Machines that it brought must
  /// have been recorded before.
  void settle(const std::string& name);

  /// Whether a rental is recorded durably, and no request for it is under way or was made lately.
  bool is_request_due(const PendingRental& rental, SteadyTime now) const;
  /// The rental called `name`; null if it is settled.
  PendingRental* find(const std::string& name);
  std::map<std::string, PendingRental>& rentals() { return rentals_; }
  const std::map<std::string, PendingRental>& rentals() const { return rentals_; }
  /// The pending rentals as a snapshot of the journal records them.
  std::map<std::string, storage::RentalRecord> records() const;

 private:
  JournalWriter& journal_;
  std::map<std::string, PendingRental> rentals_;  // by name
  std::uint64_t names_used_ = 0;
};

}  // namespace poppystile::coordination
