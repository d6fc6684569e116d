#ifndef ACACIADEAL_HTTP_INTERNAL_HEADERS_H
#define ACACIADEAL_HTTP_INTERNAL_HEADERS_H

#include "http/httpmessage.h"

#include <cctype>
#include <string>

namespace acaciadeal::internal {

/// Copies the header fields of a Beast message under lower-case names.
template<typename Message>
HttpHeaders toHeaders(const Message &message)
{
    HttpHeaders headers;
    for (const auto &field : message) {
        std::string name(field.name_string());
        for (char &c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        headers[name] = std::string(field.value());
    }
    return headers;
}

} // namespace acaciadeal::internal

#endif
