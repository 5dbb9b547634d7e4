#include "downstream/local_response.h"

#include <array>
#include <cstdio>

namespace nettleyoke::node {

namespace http = boost::beast::http;

namespace {

std::string decimal_seconds(double seconds) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", seconds);
  return text.data();
}

}  // namespace

HttpResponse text_response(http::status status, const std::string& text) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = text;
  return response;
}

HttpResponse overload_response(double retry_after) {
  HttpResponse response = text_response(http::status::service_unavailable, "refused\n");
  if (retry_after > 0) response.set(http::field::retry_after, decimal_seconds(retry_after));
  return response;
}

RequestResult result_of(http::status status) {
  if (status == http::status::ok) return RequestResult::kServed;
  const bool is_rejected =
      status == http::status::service_unavailable || status == http::status::too_many_requests;
  return is_rejected ? RequestResult::kRejected : RequestResult::kFailed;
}

}  // namespace nettleyoke::node
