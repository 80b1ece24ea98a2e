#ifndef POMELOHINGE_DRIVERS_HTTP_STATUSES_HPP
#define POMELOHINGE_DRIVERS_HTTP_STATUSES_HPP

#include <restinio/all.hpp>
#include <string>
#include <string_view>

namespace pomelohinge {

/// The reason phrase of an HTTP status; "Status" for one that the system does
/// not use.
inline std::string_view reason_phrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 204:
        return "No Content";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

/// The status line of an answer.
inline restinio::http_status_line_t status_line(int status)
{
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
        std::string(reason_phrase(status))};
}

} // namespace pomelohinge

#endif
