#pragma once

#include <boost/outcome.hpp>

/// \file result.h
/// Error handling of the library.
///
/// A function that can fail returns `Result<T, E>`, where `E` is the error type
/// of its module. Exceptions are for programming errors only, such as reading
/// the value of a `Result` that holds an error.

namespace yuccamast {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// Either a value or an error. Access to the one it does not hold throws
/// `outcome::bad_result_access`.
template <typename T, typename E>
using Result = outcome::checked<T, E>;

}  // namespace yuccamast
