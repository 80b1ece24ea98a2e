#ifndef POMELOHINGE_DRIVERS_FRONT_REQUEST_SCANNER_HPP
#define POMELOHINGE_DRIVERS_FRONT_REQUEST_SCANNER_HPP

#include "drivers/http/head_checker.hpp"
#include "servers/requests/request.hpp"

#include <cstdint>
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

/// Limits on a request. One that exceeds them counts as malformed.
struct request_limits
{
    static constexpr std::size_t url_bytes = 8 << 10;
    static constexpr std::size_t field_name_bytes = 256;
    static constexpr std::size_t field_value_bytes = 16 << 10;
    static constexpr std::size_t fields = 128;
    static constexpr std::uint64_t body_bytes = 32 << 20;
};

/// Follows the bytes of a caller's connection to determine where its requests
/// end, whether they are well formed, and how much memory the one that is being
/// received needs. It keeps none of the body.
class request_scanner
{
public:
    request_scanner() { restart(); }

    /// Returns how many of the bytes may be handled: all, or those before a
    /// request that is malformed.
    std::size_t scan(std::string_view bytes);

    /// Whether the request that is being received is malformed. What comes
    /// behind it is not scanned.
    bool is_malformed() const { return malformed_; }

    /// Treats the incomplete request as malformed.
    void reject_request() { malformed_ = true; }

    /// Memory that the incomplete request needs: for its head, and for its body
    /// the stated length or what has come. 0 between requests.
    std::size_t needed_bytes() const;

    /// The head of the incomplete request.
    received_head head() const;

    /// Whether the caller waits for a "100 Continue" before it sends the body
    /// of the incomplete request (RFC 9110, section 10.1.1).
    bool expects_continue() const { return progress_.expects_continue; }

    /// Records that the caller has been told to continue.
    void mark_continue_sent() { progress_.expects_continue = false; }

private:
    /// What has come of the request.
    struct progress
    {
        std::size_t url_bytes = 0;
        std::size_t fields = 0;
        std::size_t field_name_bytes = 0;
        std::size_t field_value_bytes = 0;
        /// The latest part of a header belongs to its value.
        bool in_value = true;
        bool head_complete = false;
        bool expects_continue = false;
        std::size_t stated_body_bytes = 0;
        std::size_t body_bytes = 0;
        /// Memory for the records of its chunks.
        std::size_t chunk_bytes = 0;
    };

    static request_scanner& self(http_parser* parser)
    {
        return *static_cast<request_scanner*>(parser->data);
    }
    static http_parser_settings const& callbacks();
    static int count_url(http_parser* parser, char const*, std::size_t n);
    static int count_field_name(
        http_parser* parser, char const*, std::size_t n);
    static int count_field_value(
        http_parser* parser, char const*, std::size_t n);
    static int check_head(http_parser* parser);
    static int count_body(http_parser* parser, char const*, std::size_t n);

    void restart();
    bool has_expectation() const;

    http_parser parser_{};
    head_checker checker_{head_kind::request};
    /// Bytes of the head as received.
    std::string head_;
    progress progress_;
    bool malformed_ = false;
};

} // namespace pomelohinge

#endif
