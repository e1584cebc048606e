#include "coordination/fleet/inventory_reconciler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"

namespace poppystile::coordination {

using cluster::Machine;
using protocol::ListedMachine;
using protocol::MachineList;

InventoryReconciler::InventoryReconciler(transport::Runtime& runtime, CloudClient& cloud,
                                         MachineRegistry& registry, MachineReleaser& releaser,
                                         const protocol::Settings& settings)
    : runtime_(runtime),
      cloud_(cloud),
      registry_(registry),
      releaser_(releaser),
      settings_(settings) {}

void InventoryReconciler::begin_term(SteadyTime term_started_at) {
  term_started_at_ = term_started_at;
  page_after_.clear();
  page_in_flight_ = false;
}

void InventoryReconciler::fetch_page_if_due() {
  if (is_page_due() && cloud_.acquire_call()) fetch_page();
}

// The pages of a large fleet are fetched one at a time, at a share of the cloud's rate limit, so
// that rentals and releases always get the rest. The first page is due `list_interval` after the
// previous last page.
bool InventoryReconciler::is_page_due() const {
  if (page_in_flight_) return false;
  const Seconds page_pause{1 / (constants::list_call_share * settings_.cloud_rps)};
  const Seconds pause = page_after_.empty() ? constants::list_interval : page_pause;
  return runtime_.now() - last_page_at_ >= std::min(pause, constants::list_interval);
}

void InventoryReconciler::fetch_page() {
  page_in_flight_ = true;
  cloud_.fetch_machine_list(page_after_, [this](const CloudResult<MachineList>& page) {
    page_in_flight_ = false;
    last_page_at_ = runtime_.now();
    if (page) return on_page(*page);
    if (page.error().reason == CloudError::Reason::malformed)
      spdlog::info("machine list response malformed why=\"{}\"", page.error().detail);
  });
}

void InventoryReconciler::on_page(const MachineList& page) {
  for (const auto& listed : page.machines) reconcile_listed(listed);
  const bool has_next = page.more && !page.machines.empty();
  page_after_ = has_next ? page.machines.back().id : "";
}

// Machine lists are eventually consistent, and one may be older than the list fetched before it. An
// entry was correct at some time; a missing entry proves nothing. Of the listed states, only
// `failed` is final, so only it leads to a release.
void InventoryReconciler::reconcile_listed(const ListedMachine& listed) {
  if (registry_.is_released(listed.id)) return;
  Machine* machine = registry_.find(listed.id);
  if (machine == nullptr) machine = adopt(listed);
  if (machine == nullptr) return;
  if (listed.state != protocol::MachineState::failed || machine->releasing) return;
  spdlog::info("machine failed id={}", listed.id);
  releaser_.schedule(*machine);
}

// Returns null if the list may be older than this term, or if the machine's type is not in the
// catalog.
Machine* InventoryReconciler::adopt(const ListedMachine& listed) {
  // A list from a previous leader's term may contain machines that the leader released afterwards.
  if (runtime_.now() - term_started_at_ < 2 * settings_.list_lag + constants::lease_margin)
    return nullptr;
  Machine machine;
  machine.id = listed.id;
  machine.type = listed.type;
  machine.zone = listed.zone;
  machine.spot = listed.spot;
  machine.rented_at = runtime_.wall_now() - listed.age;
  Machine* admitted = registry_.admit(std::move(machine));
  if (admitted != nullptr) spdlog::info("machine adopted from the machine list id={}", listed.id);
  return admitted;
}

}  // namespace poppystile::coordination
