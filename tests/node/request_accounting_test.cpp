/// @file
/// Unit tests of RequestAccounting.
#include "downstream/request_accounting.h"

#include <gtest/gtest.h>

#include <string>

namespace nettleyoke::node {
namespace {

std::string metrics_after(void (*steps)(RequestAccounting&, Metrics&)) {
  Metrics metrics;
  metrics.add_classes({"read"});
  RequestAccounting accounting;
  steps(accounting, metrics);
  return metrics.to_json({});
}

std::string metrics_without_requests() {
  return metrics_after([](RequestAccounting&, Metrics&) {});
}

TEST(RequestAccounting, RequestThatEndsBeforeItsLastByteIsNotCounted) {
  EXPECT_EQ(metrics_after([](RequestAccounting& accounting, Metrics& metrics) {
              accounting.accept("read");
              accounting.end(metrics, RequestResult::kFailed);
            }),
            metrics_without_requests());
}

TEST(RequestAccounting, StartWithoutARequestIsNotCounted) {
  EXPECT_EQ(metrics_after([](RequestAccounting& accounting, Metrics& metrics) {
              accounting.start(metrics);
              accounting.end(metrics, RequestResult::kServed);
            }),
            metrics_without_requests());
}

TEST(RequestAccounting, RequestStartedTwiceIsCountedOnce) {
  EXPECT_EQ(metrics_after([](RequestAccounting& accounting, Metrics& metrics) {
              accounting.accept("read");
              accounting.start(metrics);
              accounting.start(metrics);
            }),
            metrics_after([](RequestAccounting&, Metrics& metrics) { metrics.request_started(); }));
}

TEST(RequestAccounting, RequestEndedTwiceIsCountedOnceWithItsFirstResult) {
  EXPECT_EQ(metrics_after([](RequestAccounting& accounting, Metrics& metrics) {
              accounting.accept("read");
              accounting.start(metrics);
              accounting.end(metrics, RequestResult::kServed);
              accounting.end(metrics, RequestResult::kFailed);
            }),
            metrics_after([](RequestAccounting&, Metrics& metrics) {
              metrics.request_started();
              metrics.request_ended("read", RequestResult::kServed);
            }));
}

}  // namespace
}  // namespace nettleyoke::node
