/// \file
/// Pending rentals: recorded in the journal, and neither granted, refused nor withdrawn yet.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "clock.hpp"
#include "coordination/journal/journal_writer.hpp"
#include "storage/records.hpp"

namespace poppystile::coordination {

/// A rental that is recorded and not settled. The leader, or a later one, repeats the request under
/// the same name until the cloud grants or refuses it.
struct PendingRental {
  storage::RentalRecord record;
  /// Journal position that must be durable before the first request.
  std::uint64_t log_position = 0;
  bool in_flight = false;  ///< Whether a request awaits its response
  bool requested = false;  ///< Whether a request was ever sent, which the cloud may still carry out
  SteadyTime next_request_at;
};

/// The pending rentals. Each is recorded in the journal before it may be requested, so that a later
/// leader can repeat the request and receive the ids of the machines.
class RentalLog {
 public:
  explicit RentalLog(JournalWriter& journal) : journal_(journal) {}

  /// Starts a term with the rentals that previous leaders left pending, by name.
  void begin_term(const std::map<std::string, storage::RentalRecord>& records);

  /// Records a rental under a new name. The leader's fencing token `token` makes the name unique
  /// among all leaders.
  void add(std::uint64_t token, const storage::RentalRecord& record);
  /// Records that a rental was granted, refused or withdrawn, and removes it. Its granted machines
  /// must have been recorded before.
  void settle(const std::string& name);

  /// Whether the rental's journal record is durable, no request for it is in flight, and the pause
  /// after the previous request has ended.
  bool is_request_due(const PendingRental& rental, SteadyTime now) const;
  /// The pending rental called `name`, or null if there is none.
  PendingRental* find(const std::string& name);
  std::map<std::string, PendingRental>& rentals() { return rentals_; }
  const std::map<std::string, PendingRental>& rentals() const { return rentals_; }
  /// The records of the pending rentals by name, for a snapshot of the journal.
  std::map<std::string, storage::RentalRecord> records() const;

 private:
  JournalWriter& journal_;
  std::map<std::string, PendingRental> rentals_;  // Key: name of the rental
  std::uint64_t names_used_ = 0;
};

}  // namespace poppystile::coordination
