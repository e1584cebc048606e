#include "coordination/record_writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace poppystile::coordination {

RecordWriter::RecordWriter(StateStore& store, Leadership& leadership)
    : store_(store), leadership_(leadership) {}

void RecordWriter::write(std::vector<RecordChange> changes, Urgency urgency,
                         std::function<void(Outcome)> settled) {
  protocol::Transaction transaction;
  const protocol::Condition fence = leadership_.fence();
  transaction.conditions.push_back(fence);
  for (const auto& each : changes) {
    transaction.conditions.push_back({each.key, each.version});
    transaction.changes.push_back({each.key, each.value, 0});
  }
  busy_ = true;
  const std::uint64_t token = leadership_.token();
  store_.transact(std::move(transaction), urgency,
                  [this, fence, token, changes = std::move(changes),
                   settled = std::move(settled)](TransactionResult result) mutable {
                    busy_ = false;
                    // A result of an earlier term says nothing about this one's records.
                    if (!leadership_.leading() || leadership_.token() != token) return;
                    if (result.outcome == Outcome::ok) {
                      for (const auto& each : changes)
                        each.landed(each.value ? result.revision : 0);
                    } else if (result.outcome == Outcome::conflict) {
                      if (std::find(result.failed.begin(), result.failed.end(), fence.key) !=
                          result.failed.end())
                        return leadership_.step_down("a write found another leader");
                      refresh(std::move(changes), result.failed);
                    }
                    settled(result.outcome);
                  });
}

void RecordWriter::refresh(std::vector<RecordChange> changes,
                           const std::vector<std::string>& failed) {
  const std::uint64_t token = leadership_.token();
  for (auto& each : changes) {
    if (std::find(failed.begin(), failed.end(), each.key) == failed.end()) continue;
    spdlog::info("record had moved key={} expected={}", each.key, each.version);
    store_.get(
        each.key, Urgency::placement,
        [this, token, refreshed = std::move(each.refreshed)](Outcome outcome,
                                                             std::optional<protocol::Entry> entry) {
          if (outcome != Outcome::ok || !leadership_.leading() || leadership_.token() != token)
            return;
          refreshed(entry ? entry->version : 0);
        });
  }
}

}  // namespace poppystile::coordination
