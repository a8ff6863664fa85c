#include "catalog/catalog_position.h"

#include <gtest/gtest.h>

#include "catalog/catalog_source.h"

namespace comfreyspring::catalog {
namespace {

TEST(catalog_position_test, ALaterEraIsLaterWhateverItsRevision) {
  EXPECT_LT((catalog_position{1, 147}), (catalog_position{2, 90}));
  EXPECT_LT((catalog_position{2, 90}), (catalog_position{2, 91}));
  EXPECT_LT((catalog_position{0, 500}), (catalog_position{1, 1}));
}

TEST(catalog_position_test, ABatchBelongsToOneEra) {
  const change_batch batch{.after = 40, .revision = 44, .era = 3};
  EXPECT_EQ(batch.After(), (catalog_position{3, 40}));
  EXPECT_EQ(batch.Position(), (catalog_position{3, 44}));
}

}  // namespace
}  // namespace comfreyspring::catalog
