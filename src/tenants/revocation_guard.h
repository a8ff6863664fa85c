#pragma once

#include "core/time.h"

namespace comfreyspring::tenants {

struct revocation_options {
  /** Keys must stop working even if the platform cannot be reached. */
  bool strict = false;
  /** A request that is sent this long after its key was removed must not run.
   */
  core::milliseconds bound{5000};
};

/**
 * Decides whether the known keys can be relied on, from the age of the view
 * that contains them.
 *
 * Load pattern: a gateway that is cut off from the platform while keys are
 * removed. It stops serving callers with keys before the bound has passed.
 */
class revocation_guard {
 public:
  /**
   * Share of the bound up to which a view is used. The rest covers the time for
   * which its confirmation may have been in transit.
   */
  static constexpr double kUsableShare = 0.8;

  explicit revocation_guard(revocation_options options) : options_(options) {}

  /** @param view_age time since the view was confirmed to be up to date. */
  bool MayRelyOnKeys(core::milliseconds view_age) const {
    return !options_.strict ||
           static_cast<double>(view_age.count()) <=
               kUsableShare * static_cast<double>(options_.bound.count());
  }

 private:
  revocation_options options_;
};

}  // namespace comfreyspring::tenants
