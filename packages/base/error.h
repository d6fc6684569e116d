#ifndef ACACIADEAL_BASE_ERROR_H
#define ACACIADEAL_BASE_ERROR_H

#include "base/resultcode.h"

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace acaciadeal {

/// Failure of an operation. @c where names the offending line, path or field, if there is one.
struct Error
{
    ResultCode code = ResultCode::Ok;
    std::string message;
    std::string where;

    friend bool operator==(const Error &, const Error &) = default;
};

/// Value of type @p T or an Error.
template<typename T>
using Result = tl::expected<T, Error>;

/// Builds the error side of a Result. Thread-safe.
inline tl::unexpected<Error> failure(ResultCode code, std::string message, std::string where = {})
{
    return tl::unexpected<Error>(Error{code, std::move(message), std::move(where)});
}

} // namespace acaciadeal

#endif
