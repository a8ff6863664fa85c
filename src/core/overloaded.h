#pragma once

namespace comfreyspring::core {

/**
 * Combines lambdas into one visitor for std::visit.
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
