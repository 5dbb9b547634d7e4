/// @file
/// Unit tests of next_catalog(): the request classes that a request may name after a reload.
#include "downstream/request_catalog.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace nettleyoke::node {
namespace {

using Names = std::vector<std::string>;

RequestClass class_with_timeout(double client_timeout) {
  RequestClass request_class;
  request_class.client_timeout = client_timeout;
  return request_class;
}

const RequestCatalog before_reload{
    {"read", "write"}, {"acme"}, {class_with_timeout(1), class_with_timeout(2)}, 2};

RequestCatalog catalog_after_reload(const RequestCatalog& before, Names names, Settings& settings) {
  return next_catalog(before, std::move(names), {}, settings);
}

TEST(NextCatalog, UnchangedClassesAreListedOnce) {
  Settings settings;
  settings.classes = before_reload.classes;
  const RequestCatalog next = catalog_after_reload(before_reload, {"read", "write"}, settings);
  EXPECT_EQ(next.class_names, (Names{"read", "write"}));
  EXPECT_EQ(next.in_force_count, 2U);
  EXPECT_EQ(settings.classes.size(), 2U);
}

TEST(NextCatalog, ReorderedClassesAreListedOnce) {
  Settings settings;
  settings.classes = {before_reload.classes[1], before_reload.classes[0]};
  EXPECT_EQ(catalog_after_reload(before_reload, {"write", "read"}, settings).class_names.size(), 2U);
}

TEST(NextCatalog, RemovedClassIsListedAfterThoseInForceAndAddedToTheSettings) {
  Settings settings;
  settings.classes = {class_with_timeout(2)};
  const RequestCatalog next = catalog_after_reload(before_reload, {"write"}, settings);
  EXPECT_EQ(next.class_names, (Names{"write", "read"}));
  EXPECT_EQ(next.in_force_count, 1U);
  ASSERT_EQ(settings.classes.size(), 2U);
  EXPECT_EQ(settings.classes[1].client_timeout, 1);
}

TEST(NextCatalog, ChangedClassIsListedWithItsNewAndItsPreviousValues) {
  Settings settings;
  settings.classes = {class_with_timeout(9), class_with_timeout(2)};
  const RequestCatalog next = catalog_after_reload(before_reload, {"read", "write"}, settings);
  EXPECT_EQ(next.class_names, (Names{"read", "write", "read"}));
  EXPECT_EQ(next.classes[0].client_timeout, 9);
  EXPECT_EQ(next.classes[2].client_timeout, 1);
}

TEST(NextCatalog, ClassNoLongerInForceIsDroppedByTheNextReload) {
  RequestCatalog before = before_reload;
  before.in_force_count = 1;
  Settings settings;
  settings.classes = {class_with_timeout(1)};
  EXPECT_EQ(catalog_after_reload(before, {"read"}, settings).class_names, (Names{"read"}));
}

}  // namespace
}  // namespace nettleyoke::node
