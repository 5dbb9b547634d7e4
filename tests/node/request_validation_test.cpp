/// @file
/// Unit tests of validate_request(), path_of() and is_length_ambiguous().
#include "downstream/request_validation.h"

#include <gtest/gtest.h>

#include <string>

namespace nettleyoke::node {
namespace {

namespace http = boost::beast::http;

RequestClass class_of(Idempotency idempotency, double client_timeout) {
  RequestClass request_class;
  request_class.client_timeout = client_timeout;
  request_class.idempotency = idempotency;
  return request_class;
}

/// `read`, `write` and `pay` are in force; `old` was in force before the last reload.
RequestCatalog catalog() {
  return {{"read", "write", "pay", "old"},
          {"acme", "zenith"},
          {class_of(Idempotency::kIdempotent, 2), class_of(Idempotency::kNonIdempotent, 3),
           class_of(Idempotency::kIdempotencyKey, 4), class_of(Idempotency::kIdempotent, 5)},
          3};
}

HttpRequest request_of(const std::string& request_class, http::verb method) {
  HttpRequest request(method, "/" + request_class + "/item?x=1", 11);
  request.set("X-Priority-Class", request_class);
  request.set("X-Request-ID", "id-1");
  return request;
}

HttpRequest read_request() { return request_of("read", http::verb::get); }

/// Why a request is rejected; empty if it is valid.
std::string rejection_reason(const HttpRequest& request,
                             AcceptedClasses accepted = AcceptedClasses::kInForce) {
  Request event;
  const auto error = validate_request(request, catalog(), accepted, event);
  return error ? error->reason : "";
}

Request event_of(const HttpRequest& request, AcceptedClasses accepted = AcceptedClasses::kInForce) {
  Request event;
  EXPECT_FALSE(validate_request(request, catalog(), accepted, event));
  return event;
}

TEST(RequestValidation, ValidRequestIsConvertedIntoAnEvent) {
  HttpRequest request = read_request();
  request.set("X-Tenant-Id", "zenith");
  request.set("X-Retried", "1");
  request.set("X-Cost", "1500");
  const Request event = event_of(request);
  EXPECT_EQ(event.id, "id-1");
  EXPECT_EQ(event.request_class, 0U);
  EXPECT_EQ(event.tenant, 1U);
  EXPECT_TRUE(event.is_client_retry);
  EXPECT_DOUBLE_EQ(event.work.value_or(0), 1.5e-3);
  EXPECT_EQ(event.time_left, 2);
}

TEST(RequestValidation, UnknownTenantGetsTheIndexAfterTheLast) {
  EXPECT_EQ(event_of(read_request()).tenant, 2U);
}

TEST(RequestValidation, NonNumericCostIsIgnored) {
  HttpRequest request = read_request();
  request.set("X-Cost", "12x");
  EXPECT_FALSE(event_of(request).work);
}

TEST(RequestValidation, UnknownPathWithoutAClassFieldIsNotFound) {
  HttpRequest request(http::verb::get, "/nowhere", 11);
  Request event;
  const auto error = validate_request(request, catalog(), AcceptedClasses::kInForce, event);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->status, http::status::not_found);
}

TEST(RequestValidation, ClassThatIsMissingUnknownRepeatedOrNotThatOfThePathIsRejected) {
  HttpRequest request = read_request();
  request.erase("X-Priority-Class");
  EXPECT_EQ(rejection_reason(request),
            "X-Priority-Class is missing; it must name the request class of the path");
  request.set("X-Priority-Class", "other");
  EXPECT_EQ(rejection_reason(request),
            "X-Priority-Class is repeated or unknown; it must name one request class");
  request.set("X-Priority-Class", "write");
  EXPECT_EQ(rejection_reason(request),
            "X-Priority-Class differs from the path; it must equal the first segment");
  request.insert("X-Priority-Class", "write");
  EXPECT_EQ(rejection_reason(request),
            "X-Priority-Class is repeated or unknown; it must name one request class");
}

TEST(RequestValidation, TargetThatIsNotAPathIsRejected) {
  HttpRequest request = read_request();
  request.target("*");
  EXPECT_EQ(rejection_reason(request), "request target is not a path; it must start with '/'");
}

TEST(RequestValidation, RequestIdOfUpTo128BytesIsAcceptedAndALongerOrMissingOneRejected) {
  HttpRequest request = read_request();
  request.set("X-Request-ID", std::string(128, 'a'));
  EXPECT_EQ(rejection_reason(request), "");
  request.set("X-Request-ID", std::string(129, 'a'));
  EXPECT_EQ(rejection_reason(request),
            "X-Request-ID is missing, repeated, empty or too long; it must have 1 to 128 bytes");
  request.erase("X-Request-ID");
  EXPECT_EQ(rejection_reason(request),
            "X-Request-ID is missing, repeated, empty or too long; it must have 1 to 128 bytes");
}

TEST(RequestValidation, ClientTimeoutIsCappedAtThatOfTheClass) {
  HttpRequest request = read_request();
  request.set("X-Timeout-Ms", "250");
  EXPECT_EQ(event_of(request).time_left, 0.25);
  request.set("X-Timeout-Ms", "999999999");
  EXPECT_EQ(event_of(request).time_left, 2);
}

TEST(RequestValidation, TimeoutThatIsZeroOrHasTenDigitsOrIsNoWholeNumberIsRejected) {
  HttpRequest request = read_request();
  for (const char* const timeout : {"0", "1000000000", "-1", "1.5", ""}) {
    request.set("X-Timeout-Ms", timeout);
    EXPECT_EQ(rejection_reason(request),
              "X-Timeout-Ms is invalid; it must be one whole number of milliseconds from 1 to 999999999")
        << timeout;
  }
}

TEST(RequestValidation, MethodOrBodyThatDoesNotFitTheClassIsRejected) {
  EXPECT_EQ(rejection_reason(request_of("read", http::verb::post)),
            "method or body does not fit the request class; it must be GET without a body");
  EXPECT_EQ(rejection_reason(request_of("write", http::verb::get)),
            "method does not fit the request class; it must be POST");
  EXPECT_EQ(rejection_reason(request_of("write", http::verb::post)), "");
  HttpRequest with_body = read_request();
  with_body.body() = "x";
  EXPECT_EQ(rejection_reason(with_body),
            "method or body does not fit the request class; it must be GET without a body");
}

TEST(RequestValidation, IdempotencyKeyIsRequiredByItsClassAndRejectedByOthers) {
  HttpRequest pay = request_of("pay", http::verb::post);
  EXPECT_EQ(
      rejection_reason(pay),
      "Idempotency-Key does not fit the request class; it must be one non-empty key or, where the class has "
      "no keys, absent");
  pay.set("Idempotency-Key", "");
  EXPECT_EQ(
      rejection_reason(pay),
      "Idempotency-Key does not fit the request class; it must be one non-empty key or, where the class has "
      "no keys, absent");
  pay.set("Idempotency-Key", "k");
  EXPECT_EQ(rejection_reason(pay), "");
  HttpRequest write = request_of("write", http::verb::post);
  write.set("Idempotency-Key", "k");
  EXPECT_EQ(
      rejection_reason(write),
      "Idempotency-Key does not fit the request class; it must be one non-empty key or, where the class has "
      "no keys, absent");
}

TEST(RequestValidation, PreviousClassIsAcceptedOnlyShortlyAfterAReload) {
  const HttpRequest request = request_of("old", http::verb::get);
  EXPECT_EQ(rejection_reason(request),
            "X-Priority-Class is repeated or unknown; it must name one request class");
  const Request event = event_of(request, AcceptedClasses::kInForceOrPrevious);
  EXPECT_EQ(event.request_class, 3U);
  EXPECT_EQ(event.time_left, 5);
}

TEST(RequestValidation, InvalidRequestAfterAReloadIsRejectedByTheClassesInForce) {
  EXPECT_EQ(rejection_reason(request_of("read", http::verb::post), AcceptedClasses::kInForceOrPrevious),
            "method or body does not fit the request class; it must be GET without a body");
}

TEST(RequestValidation, PathEndsAtTheQuery) { EXPECT_EQ(path_of(read_request()), "/read/item"); }

TEST(RequestLength, OneLengthOrChunkedOrNeitherIsUnambiguous) {
  HttpRequest request = read_request();
  EXPECT_FALSE(is_length_ambiguous(request));
  request.set(http::field::content_length, "12");
  EXPECT_FALSE(is_length_ambiguous(request));
  request.erase(http::field::content_length);
  request.set(http::field::transfer_encoding, "chunked");
  EXPECT_FALSE(is_length_ambiguous(request));
}

TEST(RequestLength, RepeatedLengthIsAmbiguous) {
  HttpRequest request = read_request();
  request.set(http::field::content_length, "12, 12");
  EXPECT_TRUE(is_length_ambiguous(request));
  request.set(http::field::content_length, "12");
  request.insert(http::field::content_length, "12");
  EXPECT_TRUE(is_length_ambiguous(request));
}

TEST(RequestLength, ChunkedWithALengthOrAnotherCodingOrInHttp10IsAmbiguous) {
  HttpRequest request = read_request();
  request.set(http::field::transfer_encoding, "gzip, chunked");
  EXPECT_TRUE(is_length_ambiguous(request));
  request.set(http::field::transfer_encoding, "chunked");
  request.set(http::field::content_length, "12");
  EXPECT_TRUE(is_length_ambiguous(request));
  request.erase(http::field::content_length);
  request.version(10);
  EXPECT_TRUE(is_length_ambiguous(request));
}

}  // namespace
}  // namespace nettleyoke::node
