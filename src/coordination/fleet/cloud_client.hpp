/// \file
/// Typed calls to the cloud, within its rate limit.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "coordination/state/key_value_client.hpp"
#include "coordination/term_scope.hpp"
#include "protocol/cloud_messages.hpp"
#include "protocol/settings.hpp"
#include "storage/records.hpp"
#include "transport/event_loop.hpp"
#include "transport/http.hpp"

namespace poppystile::coordination {

/// Why a call to the cloud brought no result.
struct CloudError {
  enum class Reason : std::uint8_t {
    refused,      ///< nothing was done: no capacity, or a request that the cloud does not accept
    unavailable,  ///< no answer, or a failure; the request may have been carried out
    malformed     ///< the request was carried out, and its response cannot be read
  };
  Reason reason = Reason::unavailable;
  int status = 0;      ///< of HTTP; 0: no answer
  std::string detail;  ///< what was malformed
};

template <typename T>
using CloudResult = tl::expected<T, CloudError>;
/// Runs exactly once, except after `CloudClient::abandon_calls`.
template <typename T>
using CloudCallback = std::function<void(const CloudResult<T>&)>;

/// The cloud as the leader uses it. `acquire_call` must have returned true before each call.
class CloudClient {
 public:
  CloudClient(transport::Runtime& runtime, transport::HttpCaller& http,
              const protocol::Settings& settings);

  /// Takes one call from the leader's share of the cloud's rate limit; false if there is none left.
  [[nodiscard]] bool acquire_call();

  /// Fetches machine types with their current prices.
  void fetch_catalog(const CloudCallback<std::vector<protocol::MachineType>>& done);
  /// Requests machines; returns the ids of those that were granted, fewer than requested where
  /// capacity is short. Repeating a call under the same name rents nothing more.
  void request_rental(const std::string& name, const storage::RentalRecord& rental,
                      const CloudCallback<std::vector<std::string>>& done);
  /// Releases at most `constants::max_released` machines. May be repeated.
  void release(const std::vector<std::string>& machines, const CloudCallback<void>& done);
  /// Fetches the page of the machine list that begins after the machine `after`; empty: the first.
  void fetch_machine_list(const std::string& after,
                          const CloudCallback<protocol::MachineList>& done);

  /// Drops the callbacks of all calls made so far.
  void abandon_calls() { calls_.end(); }

 private:
  template <typename T, typename Parse>
  void call(const transport::HttpRequest& request, Parse parse, const CloudCallback<T>& done);

  transport::Runtime& runtime_;
  transport::HttpCaller& http_;
  const protocol::Settings& settings_;
  TokenBucket budget_;
  TermScope calls_;
};

}  // namespace poppystile::coordination
