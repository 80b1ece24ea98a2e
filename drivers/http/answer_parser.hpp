#ifndef POMELOHINGE_DRIVERS_HTTP_ANSWER_PARSER_HPP
#define POMELOHINGE_DRIVERS_HTTP_ANSWER_PARSER_HPP

#include "servers/requests/attempt.hpp"

#include <http_parser.h>
#include <string_view>

namespace pomelohinge {

/// Parses the bytes of one connection into answers, one at a time.
class answer_parser
{
public:
    /// What the bytes taken so far amount to.
    enum class progress { incomplete, complete, unparsable, too_large };

    answer_parser(bool is_head, std::size_t most_body_bytes);

    /// Takes bytes up to the end of the answer. `taken` tells how many; what
    /// follows belongs to something else.
    progress take(std::string_view bytes, std::size_t& taken);

    /// The connection ended. An answer without length is complete then.
    progress end_of_input();

    /// The answer, once it is complete.
    upstream_answer& answer() { return answer_; }

    /// Whether any byte came.
    bool started() const { return started_; }

    /// Whether the connection may carry a further request.
    bool keeps_alive() const { return keeps_alive_; }

private:
    static int on_header_field(
        http_parser* parser, char const* data, std::size_t size);
    static int on_header_value(
        http_parser* parser, char const* data, std::size_t size);
    static int on_headers_complete(http_parser* parser);
    static int on_body(http_parser* parser, char const* data, std::size_t size);
    static int on_message_complete(http_parser* parser);

    progress state() const;

    http_parser parser_{};
    http_parser_settings settings_{};
    upstream_answer answer_;
    bool is_head_;
    std::size_t most_body_bytes_;
    bool started_ = false;
    bool in_value_ = false;
    bool interim_ = false;
    bool complete_ = false;
    bool too_large_ = false;
    bool keeps_alive_ = false;
};

} // namespace pomelohinge

#endif
