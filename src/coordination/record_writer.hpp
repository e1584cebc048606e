// The leader's writes: one transaction at a time, each conditional on the leader's own key and on
// the version of every record it changes. A transaction whose outcome is unknown can therefore
// be applied late without harm: whatever was written after it has moved the versions on.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/leadership.hpp"
#include "coordination/state_store.hpp"

namespace poppystile::coordination {

struct RecordChange {
  std::string key;
  std::uint64_t version = 0;         // that the record is known to have
  std::optional<std::string> value;  // nothing: delete
  std::function<void(std::uint64_t version)> landed;
  std::function<void(std::uint64_t version)> refreshed;  // another version was found instead
};

class RecordWriter {
 public:
  RecordWriter(StateStore& store, Leadership& leadership);
  bool busy() const { return busy_; }
  void write(std::vector<RecordChange> changes, Urgency urgency,
             std::function<void(Outcome)> settled);

 private:
  void refresh(std::vector<RecordChange> changes, const std::vector<std::string>& failed);

  StateStore& store_;
  Leadership& leadership_;
  bool busy_ = false;
};

}  // namespace poppystile::coordination
