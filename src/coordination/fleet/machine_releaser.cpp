#include "coordination/fleet/machine_releaser.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "constants.hpp"

namespace poppystile::coordination {

using cluster::Machine;

MachineReleaser::MachineReleaser(transport::Runtime& runtime, CloudClient& cloud,
                                 MachineRegistry& registry,
                                 MachineRemovedHandler on_machine_removed)
    : runtime_(runtime),
      cloud_(cloud),
      registry_(registry),
      on_machine_removed_(std::move(on_machine_removed)) {}

void MachineReleaser::begin_term() {
  scheduled_.clear();
  batch_in_flight_ = false;
}

void MachineReleaser::schedule(Machine& machine) {
  machine.releasing = true;
  scheduled_.insert(machine.id);
}

void MachineReleaser::send_batch_if_due() {
  if (batch_in_flight_ || scheduled_.empty() || runtime_.now() < next_batch_at_) return;
  if (!cloud_.acquire_call()) return;
  std::vector<std::string> batch;
  for (const auto& id : scheduled_) {
    batch.push_back(id);
    if (batch.size() == constants::max_machines_per_release) break;
  }
  send(batch);
}

void MachineReleaser::send(const std::vector<std::string>& batch) {
  batch_in_flight_ = true;
  cloud_.release(batch, [this, batch](const CloudResult<void>& result) {
    batch_in_flight_ = false;
    next_batch_at_ = runtime_.now() + (result ? Seconds{0} : constants::release_retry_pause);
    if (result) on_batch_released(batch);
  });
}

void MachineReleaser::on_batch_released(const std::vector<std::string>& batch) {
  for (const auto& id : batch) {
    scheduled_.erase(id);
    registry_.mark_released(id);
    Machine* machine = registry_.find(id);
    if (machine == nullptr) continue;
    spdlog::info("machine released id={}", id);
    on_machine_removed_(*machine, "released");
  }
}

}  // namespace poppystile::coordination
