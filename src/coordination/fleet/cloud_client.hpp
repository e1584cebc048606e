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

/// Why a call to the cloud returned no result.
struct CloudError {
  enum class Reason : std::uint8_t {
    refused,      ///< No capacity, or a request that the cloud does not accept. Nothing was done.
    unavailable,  ///< No response, or any other error. The request may have been carried out.
    malformed     ///< The request was carried out, but its response cannot be decoded.
  };
  Reason reason = Reason::unavailable;
  int status = 0;      ///< HTTP status; 0 without a response
  std::string detail;  ///< Decoding error of a malformed response; otherwise empty
};

template <typename T>
using CloudResult = tl::expected<T, CloudError>;
/// Called exactly once for each call, unless `CloudClient::abandon_calls` drops it.
template <typename T>
using CloudCallback = std::function<void(const CloudResult<T>&)>;

/// Client of the cloud's API. `acquire_call` must have returned true before each call.
/// The constructor's arguments must outlive this object.
class CloudClient {
 public:
  CloudClient(transport::Runtime& runtime, transport::HttpCaller& http,
              const protocol::Settings& settings);

  /// Takes one call from the leader's share of the cloud's rate limit. Returns false if the share
  /// is used up.
  [[nodiscard]] bool acquire_call();

  /// Fetches machine types with their current prices.
  void fetch_catalog(const CloudCallback<std::vector<protocol::MachineType>>& done);
  /// Requests machines. `done` receives the ids of the granted machines, fewer than `rental.count`
  /// if capacity is short. Idempotent: a repeated call with the same `name` rents no more machines.
  void request_rental(const std::string& name, const storage::RentalRecord& rental,
                      const CloudCallback<std::vector<std::string>>& done);
  /// Releases at most `constants::max_machines_per_release` machines, given by id. Idempotent.
  void release(const std::vector<std::string>& machines, const CloudCallback<void>& done);
  /// Fetches the page of the machine list that begins after the machine with the id `after`, or the
  /// first page if `after` is empty.
  void fetch_machine_list(const std::string& after,
                          const CloudCallback<protocol::MachineList>& done);

  /// Drops the callbacks of all calls in flight; they are never called.
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
