#ifndef POMELOHINGE_DRIVERS_FRONT_REQUEST_SCANNER_HPP
#define POMELOHINGE_DRIVERS_FRONT_REQUEST_SCANNER_HPP

#include "servers/requests/request.hpp"

#include <http_parser.h>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohinge {

/// The request line and headers of a request that is being received.
struct received_head
{
    std::string method;
    std::string target;
    std::vector<header_field> headers;
};

/// Follows the bytes of a caller's connection to determine how much memory the
/// request that is being received needs. It keeps none of the body.
class request_scanner
{
public:
    request_scanner() { restart(); }

    void scan(std::string_view bytes);

    /// Memory that the incomplete request needs: for its head, and for its body
    /// the stated length or what has come. 0 between requests.
    std::size_t needed_bytes() const;

    /// The head of the incomplete request.
    received_head head() const;

private:
    static request_scanner& self(http_parser* parser)
    {
        return *static_cast<request_scanner*>(parser->data);
    }
    static http_parser_settings const& callbacks();

    void restart();

    http_parser parser_{};
    /// Bytes of the head as received.
    std::string head_;
    bool head_complete_ = false;
    std::size_t stated_body_bytes_ = 0;
    std::size_t received_body_bytes_ = 0;
};

} // namespace pomelohinge

#endif
