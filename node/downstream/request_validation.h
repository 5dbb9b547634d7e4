// What callers may ask: pure functions on one request.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.h"
#include "nettleyoke/balancer.h"

namespace nettleyoke::node {

// What a request may name, from the settings.
struct RequestCatalog {
  std::vector<std::string> class_names, tenant_names;
  std::vector<RequestClass> classes;
  // So many of the classes are in force. Those behind them were before: callers learn of a change late.
  std::size_t in_force = 0;
};

// The classes of `settings`, and behind them those of `before` that were in force and have gone or changed,
// which are added to the settings too: the module knows classes by their place.
RequestCatalog next_catalog(const RequestCatalog& before, std::vector<std::string> class_names,
                            std::vector<std::string> tenant_names, Settings& settings);

// Why a request is turned down.
struct Rejected {
  boost::beast::http::status status;
  const char* text;
};

// The path without its query.
std::string_view path_of(const HttpRequest& request);

// Whether the head leaves open where the body ends.
bool is_length_ambiguous(const HttpRequest& request);

// Fills in the event, or says what is wrong with the request. With `late`, one that would have been in order
// by the classes before is so still.
std::optional<Rejected> read_request(const HttpRequest& request, const RequestCatalog& catalog, bool late,
                                     Request& event);

}  // namespace nettleyoke::node
