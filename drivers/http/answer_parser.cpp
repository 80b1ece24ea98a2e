#include "drivers/http/answer_parser.hpp"

namespace pomelohinge {
namespace {

answer_parser& self_of(http_parser* parser)
{
    return *static_cast<answer_parser*>(parser->data);
}

/// Limits on the head of an answer and on the number of its headers and
/// trailers.
constexpr std::size_t max_head_bytes = 64 << 10;
constexpr std::size_t max_fields = 256;

} // namespace

answer_parser::answer_parser(bool is_head, std::size_t max_body_bytes)
    : is_head_(is_head), max_body_bytes_(max_body_bytes)
{
    http_parser_init(&parser_, HTTP_RESPONSE);
    http_parser_settings_init(&settings_);
    settings_.on_header_field = &on_header_field;
    settings_.on_header_value = &on_header_value;
    settings_.on_headers_complete = &on_headers_complete;
    settings_.on_body = &on_body;
    settings_.on_message_complete = &on_message_complete;
}

answer_parser::progress answer_parser::current_progress() const
{
    if (complete_)
        return progress::complete;
    return too_large_ ? progress::too_large : progress::incomplete;
}

answer_parser::progress answer_parser::parse(
    std::string_view bytes, std::size_t& consumed)
{
    // The object may have been moved since the last call.
    parser_.data = this;
    has_input_ |= !bytes.empty();
    consumed = 0;
    while (consumed < bytes.size() && !complete_) {
        auto part = bytes.substr(consumed);
        if (!head_.is_complete()) {
            auto const checked = head_.check(part);
            if (!checked)
                return progress::unparsable;
            part = part.substr(0, *checked);
        }
        consumed +=
            http_parser_execute(&parser_, &settings_, part.data(), part.size());
        auto const error = HTTP_PARSER_ERRNO(&parser_);
        if (error == HPE_PAUSED) {
            http_parser_pause(&parser_, 0);
            continue;
        }
        if (too_large_)
            return progress::too_large;
        if (error != HPE_OK || parser_.upgrade != 0)
            return progress::unparsable;
    }
    return current_progress();
}

answer_parser::progress answer_parser::end_of_input()
{
    parser_.data = this;
    if (!has_input_ || complete_)
        return current_progress();
    http_parser_execute(&parser_, &settings_, nullptr, 0);
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK ||
            HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED
        ? current_progress()
        : progress::incomplete;
}

int answer_parser::on_header_field(
    http_parser* parser, char const* data, std::size_t size)
{
    auto& self = self_of(parser);
    bool const begins = self.fields_ == 0 || self.in_value_;
    self.in_value_ = false;
    if (begins && self.fields_++ == max_fields)
        return 1;
    if (self.has_head_)
        return 0;
    auto& headers = self.answer_.headers;
    if (begins) {
        headers.emplace_back();
        self.head_bytes_ += sizeof(header_field);
    }
    headers.back().name.append(data, size);
    self.head_bytes_ += size;
    return self.head_bytes_ > max_head_bytes ? 1 : 0;
}

int answer_parser::on_header_value(
    http_parser* parser, char const* data, std::size_t size)
{
    auto& self = self_of(parser);
    self.in_value_ = true;
    if (self.has_head_)
        return 0;
    if (!self.answer_.headers.empty())
        self.answer_.headers.back().value.append(data, size);
    self.head_bytes_ += size;
    return self.head_bytes_ > max_head_bytes ? 1 : 0;
}

int answer_parser::on_headers_complete(http_parser* parser)
{
    auto& self = self_of(parser);
    self.has_head_ = true;
    self.answer_.status = static_cast<int>(parser->status_code);
    auto const status = class_of(self.answer_.status);
    self.is_interim_ = status == status_class::interim;
    constexpr int skip_body = 1;
    constexpr int error = -1;
    bool const has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    bool const has_body = (parser->flags & F_CHUNKED) != 0 ||
        (has_length && parser->content_length > 0);
    if (status == status_class::protocol_change ||
        (self.is_interim_ && has_body))
        return error;
    if (self.is_head_ || status == status_class::without_body)
        return skip_body;
    if (!has_length)
        return 0;
    self.too_large_ = parser->content_length > self.max_body_bytes_;
    if (self.too_large_)
        return error;
    self.stated_length_ = static_cast<std::size_t>(parser->content_length);
    return 0;
}

int answer_parser::on_body(
    http_parser* parser, char const* data, std::size_t size)
{
    auto& self = self_of(parser);
    if (self.answer_.body.size() + size > self.max_body_bytes_) {
        self.too_large_ = true;
        return 1;
    }
    auto& body = self.answer_.body;
    if (body.empty())
        body.reserve(self.stated_length_);
    body.append(data, size);
    return 0;
}

int answer_parser::on_message_complete(http_parser* parser)
{
    auto& self = self_of(parser);
    if (self.is_interim_) {
        self.answer_ = {};
        self.head_ = head_checker();
        self.head_bytes_ = 0;
        self.fields_ = 0;
        self.has_head_ = false;
        self.stated_length_ = 0;
        self.in_value_ = false;
        self.is_interim_ = false;
        return 0;
    }
    self.complete_ = true;
    self.keeps_alive_ = http_should_keep_alive(parser) != 0;
    // Pausing keeps the parser from parsing bytes beyond the answer.
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace pomelohinge
