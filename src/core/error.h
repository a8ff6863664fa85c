#pragma once

#include <stdexcept>
#include <string>

namespace comfreyspring::core {

/** Base of every error that this project throws. */
class error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** A text or number that no allowed value matches. */
class invalid_value_error : public error {
 public:
  using error::error;
};

}  // namespace comfreyspring::core
