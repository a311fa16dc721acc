#pragma once

#include <boost/outcome.hpp>

/// \file result.h
/// The error convention of the library.
///
/// A function that can fail returns `Result<T, E>`, where `E` is a typed error
/// of the module that failed. Exceptions are left to programming errors: the
/// checked access of a `Result` in the wrong state throws.

namespace yuccamast {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// Either a value or a typed error. Reading the wrong side throws
/// `outcome::bad_result_access`.
template <typename T, typename E>
using Result = outcome::checked<T, E>;

}  // namespace yuccamast
