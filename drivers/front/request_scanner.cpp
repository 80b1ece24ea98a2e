#include "drivers/front/request_scanner.hpp"

#include "drivers/http/header_names.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace pomelohinge {
namespace {

/// RESTinio keeps a record of each chunk of a chunked body.
constexpr std::size_t bytes_per_chunk = 96;

struct head_reader
{
    received_head head;
    bool in_value = false;
};

head_reader& reader(http_parser* parser)
{
    return *static_cast<head_reader*>(parser->data);
}

int on_target(http_parser* parser, char const* data, std::size_t size)
{
    reader(parser).head.target.append(data, size);
    return 0;
}

int on_field_name(http_parser* parser, char const* data, std::size_t size)
{
    auto& it = reader(parser);
    if (it.head.headers.empty() || it.in_value)
        it.head.headers.emplace_back();
    it.in_value = false;
    it.head.headers.back().name.append(data, size);
    return 0;
}

int on_field_value(http_parser* parser, char const* data, std::size_t size)
{
    auto& it = reader(parser);
    it.in_value = true;
    it.head.headers.back().value.append(data, size);
    return 0;
}

/// What the parser's callbacks return.
constexpr int proceed = 0;
constexpr int reject = -1;

/// Without the blanks at its end, which the parser leaves.
std::string_view trimmed(std::string_view value)
{
    return value.substr(0, value.find_last_not_of(" \t") + 1);
}

int accept_if(bool within_limits)
{
    return within_limits ? proceed : reject;
}

} // namespace

http_parser_settings const& request_scanner::callbacks()
{
    static http_parser_settings const settings = [] {
        http_parser_settings it;
        http_parser_settings_init(&it);
        it.on_url = count_url;
        it.on_header_field = count_field_name;
        it.on_header_value = count_field_value;
        it.on_headers_complete = check_head;
        it.on_body = count_body;
        it.on_chunk_header = [](http_parser* parser) {
            self(parser).progress_.chunk_bytes += bytes_per_chunk;
            return proceed;
        };
        it.on_message_complete = [](http_parser* parser) {
            http_parser_pause(parser, 1);
            return proceed;
        };
        return it;
    }();
    return settings;
}

int request_scanner::count_url(http_parser* parser, char const*, std::size_t n)
{
    auto& it = self(parser).progress_;
    it.url_bytes += n;
    return accept_if(it.url_bytes <= request_limits::url_bytes);
}

int request_scanner::count_field_name(
    http_parser* parser, char const*, std::size_t n)
{
    auto& it = self(parser).progress_;
    if (std::exchange(it.in_value, false)) {
        it.field_name_bytes = 0;
        ++it.fields;
    }
    it.field_name_bytes += n;
    return accept_if(it.fields <= request_limits::fields &&
        it.field_name_bytes <= request_limits::field_name_bytes);
}

int request_scanner::count_field_value(
    http_parser* parser, char const*, std::size_t n)
{
    auto& it = self(parser).progress_;
    if (!std::exchange(it.in_value, true))
        it.field_value_bytes = 0;
    it.field_value_bytes += n;
    return accept_if(it.field_value_bytes < request_limits::field_value_bytes);
}

int request_scanner::check_head(http_parser* parser)
{
    auto& it = self(parser).progress_;
    it.head_complete = true;
    if (parser->content_length == std::numeric_limits<std::uint64_t>::max())
        return proceed;
    it.stated_body_bytes = parser->content_length;
    return accept_if(parser->content_length <= request_limits::body_bytes);
}

int request_scanner::count_body(http_parser* parser, char const*, std::size_t n)
{
    auto& it = self(parser).progress_;
    it.body_bytes += n;
    return accept_if(it.body_bytes <= request_limits::body_bytes);
}

void request_scanner::restart()
{
    http_parser_init(&parser_, HTTP_REQUEST);
    checker_ = head_checker(head_kind::request);
    head_.clear();
    progress_ = {};
}

std::size_t request_scanner::scan(std::string_view bytes)
{
    std::size_t handled = 0;
    std::size_t scanned = 0;
    while (scanned < bytes.size() && !malformed_) {
        auto part = bytes.substr(scanned);
        if (!checker_.is_complete()) {
            auto const checked = checker_.check(part);
            malformed_ = !checked;
            if (malformed_)
                break;
            part = part.substr(0, *checked);
        }
        // The scanner may have been moved since the last call.
        parser_.data = this;
        bool const in_head = !progress_.head_complete;
        auto const n = http_parser_execute(
            &parser_, &callbacks(), part.data(), part.size());
        scanned += std::min(n, part.size());
        auto const error = HTTP_PARSER_ERRNO(&parser_);
        if (error == HPE_PAUSED) {
            restart();
            handled = scanned;
            continue;
        }
        malformed_ = error != HPE_OK;
        if (in_head)
            head_.append(part.substr(0, n));
        if (in_head && progress_.head_complete && !malformed_)
            progress_.expects_continue = has_expectation();
    }
    return malformed_ ? handled : bytes.size();
}

/// Whether the head of the request contains the expectation. HTTP/1.0 has none.
bool request_scanner::has_expectation() const
{
    if (parser_.http_major != 1 || parser_.http_minor != 1)
        return false;
    auto const fields = head().headers;
    return std::any_of(fields.begin(), fields.end(), [](auto const& it) {
        return is_same_header(it.name, "Expect") &&
            is_same_header(trimmed(it.value), "100-continue");
    });
}

std::size_t request_scanner::needed_bytes() const
{
    return head_.size() +
        std::max(progress_.stated_body_bytes,
            progress_.body_bytes + progress_.chunk_bytes);
}

received_head request_scanner::head() const
{
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = on_target;
    settings.on_header_field = on_field_name;
    settings.on_header_value = on_field_value;
    settings.on_headers_complete = [](http_parser* parser) {
        http_parser_pause(parser, 1);
        return 0;
    };
    http_parser parser;
    http_parser_init(&parser, HTTP_REQUEST);
    head_reader it;
    parser.data = &it;
    http_parser_execute(&parser, &settings, head_.data(), head_.size());
    it.head.method = http_method_str(static_cast<::http_method>(parser.method));
    return std::move(it.head);
}

} // namespace pomelohinge
