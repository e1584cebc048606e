#include "coordination/fleet/cloud_client.hpp"

#include "constants.hpp"

namespace poppystile::coordination {

using protocol::MachineList;
using protocol::MachineType;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

constexpr int http_ok = 200;
constexpr int http_bad_request = 400;
constexpr int http_unavailable = 503;

bool is_refusal(const HttpResponse& response) {
  return response.status == http_bad_request ||
         (response.status == http_unavailable &&
          response.body.find("no capacity") != std::string::npos);
}

template <typename T, typename Parse>
CloudResult<T> to_result(const HttpResponse& response, const Parse& parse) {
  using Reason = CloudError::Reason;
  if (response.status != http_ok)
    return tl::unexpected(CloudError{is_refusal(response) ? Reason::refused : Reason::unavailable,
                                     response.status, ""});
  try {
    return parse(response.body);
  } catch (const protocol::DecodeError& error) {
    return tl::unexpected(CloudError{Reason::malformed, response.status, error.what()});
  }
}

}  // namespace

CloudClient::CloudClient(transport::Runtime& runtime, transport::HttpCaller& http,
                         const protocol::Settings& settings)
    : runtime_(runtime),
      http_(http),
      settings_(settings),
      budget_(settings.cloud_rps, runtime.now()) {
  budget_.set_share(constants::cloud_rate_share);
}

bool CloudClient::acquire_call() { return budget_.take(1, false, runtime_.now()); }

template <typename T, typename Parse>
void CloudClient::call(const HttpRequest& request, Parse parse, const CloudCallback<T>& done) {
  http_.call(settings_.cloud, request, constants::cloud_timeout,
             calls_.wrap([parse, done](const HttpResponse& response) {
               done(to_result<T>(response, parse));
             }));
}

void CloudClient::fetch_catalog(const CloudCallback<std::vector<MachineType>>& done) {
  call<std::vector<MachineType>>(
      {"GET", protocol::catalog_path, ""},
      [](const std::string& body) { return protocol::parse_catalog(protocol::parse_object(body)); },
      done);
}

void CloudClient::request_rental(const std::string& name, const storage::RentalRecord& rental,
                                 const CloudCallback<std::vector<std::string>>& done) {
  call<std::vector<std::string>>(
      {"POST", protocol::rentals_path,
       protocol::encode_rental(name, rental.type, rental.zone, rental.spot, rental.count)},
      protocol::parse_rented, done);
}

void CloudClient::release(const std::vector<std::string>& machines,
                          const CloudCallback<void>& done) {
  call<void>(
      {"POST", protocol::release_path, protocol::encode_release(machines)},
      [](const std::string&) { return CloudResult<void>{}; }, done);
}

void CloudClient::fetch_machine_list(const std::string& after,
                                     const CloudCallback<MachineList>& done) {
  call<MachineList>({"GET", protocol::list_path(after), ""}, protocol::parse_machine_list, done);
}

}  // namespace poppystile::coordination
