#pragma once

#include <stdexcept>
#include <string>

namespace comfreyspring::core {

/** Base class of the exceptions that this project throws. */
class error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Thrown for a text or number that is not a valid value of its type. */
class invalid_value_error : public error {
 public:
  using error::error;
};

}  // namespace comfreyspring::core
