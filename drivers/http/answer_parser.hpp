#ifndef POMELOHINGE_DRIVERS_HTTP_ANSWER_PARSER_HPP
#define POMELOHINGE_DRIVERS_HTTP_ANSWER_PARSER_HPP

#include "drivers/http/head_checker.hpp"
#include "servers/requests/attempt.hpp"

#include <algorithm>
#include <http_parser.h>
#include <string_view>

namespace pomelohinge {

/// Parses the bytes received on a connection into one answer. Interim answers
/// (1xx) and trailers are skipped.
class answer_parser
{
public:
    /// The result of parsing the bytes received so far.
    enum class progress { incomplete, complete, unparsable, too_large };

    /// The answer to a HEAD request (`is_head`) has no body.
    answer_parser(bool is_head, std::size_t max_body_bytes);

    /// Parses bytes up to the end of the answer and sets `consumed` to their
    /// number. Bytes beyond it are not part of the answer.
    progress parse(std::string_view bytes, std::size_t& consumed);

    /// Handles the end of the connection, which completes an answer that does
    /// not state its length.
    progress end_of_input();

    /// The answer; valid once it is complete.
    upstream_answer& answer() { return answer_; }

    /// Memory that the answer needs so far: its head, and its body, of which
    /// the stated length counts.
    std::size_t held_bytes() const
    {
        return head_bytes_ + std::max(stated_length_, answer_.body.size());
    }

    /// Whether any byte was received.
    bool has_input() const { return has_input_; }

    /// Whether the connection can be used for a further request.
    bool keeps_alive() const { return keeps_alive_; }

private:
    static int on_header_field(
        http_parser* parser, char const* data, std::size_t size);
    static int on_header_value(
        http_parser* parser, char const* data, std::size_t size);
    static int on_headers_complete(http_parser* parser);
    static int on_body(http_parser* parser, char const* data, std::size_t size);
    static int on_message_complete(http_parser* parser);

    progress current_progress() const;

    http_parser parser_{};
    http_parser_settings settings_{};
    head_checker head_;
    upstream_answer answer_;
    bool is_head_;
    std::size_t max_body_bytes_;
    std::size_t head_bytes_ = 0;
    /// Number of headers and trailers so far.
    std::size_t fields_ = 0;
    /// Length of the body that the head states; 0 if it states none.
    std::size_t stated_length_ = 0;
    bool has_input_ = false;
    bool in_value_ = false;
    bool has_head_ = false;
    bool is_interim_ = false;
    bool complete_ = false;
    bool too_large_ = false;
    bool keeps_alive_ = false;
};

} // namespace pomelohinge

#endif
