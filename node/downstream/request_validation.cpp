#include "downstream/request_validation.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <iterator>
#include <span>
#include <string>

namespace nettleyoke::node {

namespace http = boost::beast::http;

namespace {

// Error messages below state these two limits.
constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::size_t kMaxNumberDigits = 9;
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kSecondsPerMicrosecond = 1e-6;

/// A range of the catalog's classes.
struct ClassRange {
  std::size_t begin;
  std::size_t end;
};

using ValidationResult = std::optional<RequestError>;

ValidationResult bad_request(const char* reason) { return RequestError{http::status::bad_request, reason}; }

std::string_view to_view(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::optional<std::uint64_t> parse_number(std::string_view digits) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (error != std::errc() || end != digits.data() + digits.size() || digits.size() > kMaxNumberDigits) {
    return std::nullopt;
  }
  return number;
}

/// The value of a field that occurs exactly once in the request; otherwise empty.
std::optional<std::string_view> single_field(const HttpRequest& request, boost::beast::string_view name) {
  const auto [first, last] = request.equal_range(name);
  if (first == last || std::next(first) != last) return std::nullopt;
  return to_view(first->value());
}

ValidationResult read_class(const HttpRequest& request, const RequestCatalog& catalog, ClassRange range,
                            Request& event) {
  const std::span<const std::string> names =
      std::span(catalog.class_names).subspan(range.begin, range.end - range.begin);
  const std::string_view path = path_of(request);
  if (path.empty() || path.front() != '/') {
    return bad_request("request target is not a path; it must start with '/'");
  }
  const std::string_view first_segment = path.substr(1, path.find('/', 1) - 1);
  const auto class_of_path = std::find(names.begin(), names.end(), first_segment);
  if (request.count("X-Priority-Class") == 0) {
    if (class_of_path == names.end()) {
      return RequestError{http::status::not_found,
                          "path names no request class; its first segment must be the name of one"};
    }
    return bad_request("X-Priority-Class is missing; it must name the request class of the path");
  }
  const auto priority_class = single_field(request, "X-Priority-Class");
  if (!priority_class || std::find(names.begin(), names.end(), *priority_class) == names.end()) {
    return bad_request("X-Priority-Class is repeated or unknown; it must name one request class");
  }
  if (first_segment != *priority_class) {
    return bad_request("X-Priority-Class differs from the path; it must equal the first segment");
  }
  event.request_class = range.begin + static_cast<std::size_t>(class_of_path - names.begin());
  return std::nullopt;
}

ValidationResult read_id(const HttpRequest& request, Request& event) {
  const auto id = single_field(request, "X-Request-ID");
  if (!id || id->empty() || id->size() > kMaxRequestIdBytes) {
    return bad_request("X-Request-ID is missing, repeated, empty or too long; it must have 1 to 128 bytes");
  }
  event.id = *id;
  return std::nullopt;
}

ValidationResult read_time_left(const HttpRequest& request, const RequestClass& request_class,
                                Request& event) {
  event.time_left = request_class.client_timeout;
  if (request.count("X-Timeout-Ms") == 0) return std::nullopt;
  const auto text = single_field(request, "X-Timeout-Ms");
  const auto milliseconds = text ? parse_number(*text) : std::nullopt;
  if (!milliseconds || *milliseconds == 0) {
    return bad_request(
        "X-Timeout-Ms is invalid; it must be one whole number of milliseconds from 1 to 999999999");
  }
  // Bounded by the timeout of the class: a client that asks for days would hold one of the limited number of
  // open requests for that time.
  event.time_left =
      std::min(static_cast<double>(*milliseconds) / kMillisecondsPerSecond, request_class.client_timeout);
  return std::nullopt;
}

ValidationResult check_idempotency(const HttpRequest& request, Idempotency idempotency) {
  const auto key = single_field(request, "Idempotency-Key");
  const bool has_key = request.count("Idempotency-Key") > 0;
  if (idempotency == Idempotency::kIdempotent) {
    if (request.method() != http::verb::get || !request.body().empty()) {
      return bad_request("method or body does not fit the request class; it must be GET without a body");
    }
  } else if (request.method() != http::verb::post) {
    return bad_request("method does not fit the request class; it must be POST");
  }
  const bool is_key_invalid = idempotency == Idempotency::kIdempotencyKey ? !key || key->empty() : has_key;
  if (is_key_invalid) {
    return bad_request(
        "Idempotency-Key does not fit the request class; it must be one non-empty key or, where the class "
        "has no keys, absent");
  }
  return std::nullopt;
}

void read_optional_fields(const HttpRequest& request, const RequestCatalog& catalog, Request& event) {
  const std::vector<std::string>& tenants = catalog.tenant_names;
  const auto tenant = std::find(tenants.begin(), tenants.end(), to_view(request["X-Tenant-Id"]));
  event.tenant = static_cast<std::size_t>(tenant - tenants.begin());  // tenants.size(): none of them
  event.is_client_retry = request["X-Retried"] == "1";
  if (const auto cost = parse_number(to_view(request["X-Cost"]))) {
    event.work = static_cast<double>(*cost) * kSecondsPerMicrosecond;
  }
}

ValidationResult validate_by_classes(const HttpRequest& request, const RequestCatalog& catalog,
                                     ClassRange range, Request& event) {
  if (const auto error = read_class(request, catalog, range, event)) return error;
  if (const auto error = read_id(request, event)) return error;
  const RequestClass& request_class = catalog.classes[event.request_class];
  if (const auto error = read_time_left(request, request_class, event)) return error;
  if (const auto error = check_idempotency(request, request_class.idempotency)) return error;
  read_optional_fields(request, catalog, event);
  return std::nullopt;
}

}  // namespace

std::string_view path_of(const HttpRequest& request) {
  return to_view(request.target()).substr(0, request.target().find('?'));
}

bool is_length_ambiguous(const RequestHead& head) {
  const auto [first, last] = head.equal_range(http::field::transfer_encoding);
  if (first == last) {
    // Several lengths are ambiguous even if they are equal, whether in one list or in several fields.
    const std::string_view length = to_view(head[http::field::content_length]);
    return head.count(http::field::content_length) > 1 ||
           length.find_first_not_of("0123456789") != std::string_view::npos;
  }
  return std::next(first) != last || head.count(http::field::content_length) > 0 ||
         !boost::beast::iequals(first->value(), "chunked") || head.version() < 11;
}

std::optional<RequestError> validate_request(const HttpRequest& request, const RequestCatalog& catalog,
                                             AcceptedClasses accepted, Request& event) {
  const auto error = validate_by_classes(request, catalog, {0, catalog.in_force_count}, event);
  if (!error || accepted == AcceptedClasses::kInForce) return error;
  const ClassRange previous{catalog.in_force_count, catalog.classes.size()};
  return validate_by_classes(request, catalog, previous, event) ? error : std::nullopt;
}

}  // namespace nettleyoke::node
