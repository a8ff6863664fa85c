#pragma once

namespace comfreyspring::core {

/**
 * Joins lambdas to one visitor of a variant.
 *
 * Example: `std::visit(overloaded{[](int) {}, [](const auto&) {}}, value);`
 */
template <class... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}  // namespace comfreyspring::core
