#include "drivers/front/request_scanner.hpp"

#include <algorithm>
#include <limits>

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

} // namespace

http_parser_settings const& request_scanner::callbacks()
{
    static http_parser_settings const settings = [] {
        http_parser_settings it;
        http_parser_settings_init(&it);
        it.on_headers_complete = [](http_parser* parser) {
            auto& scanner = self(parser);
            scanner.head_complete_ = true;
            if (parser->content_length != std::numeric_limits<uint64_t>::max())
                scanner.stated_body_bytes_ = parser->content_length;
            return 0;
        };
        it.on_body = [](http_parser* parser, char const*, std::size_t size) {
            self(parser).received_body_bytes_ += size;
            return 0;
        };
        it.on_chunk_header = [](http_parser* parser) {
            self(parser).received_body_bytes_ += bytes_per_chunk;
            return 0;
        };
        it.on_message_complete = [](http_parser* parser) {
            http_parser_pause(parser, 1);
            return 0;
        };
        return it;
    }();
    return settings;
}

void request_scanner::restart()
{
    http_parser_init(&parser_, HTTP_REQUEST);
    head_.clear();
    head_complete_ = false;
    stated_body_bytes_ = 0;
    received_body_bytes_ = 0;
}

void request_scanner::scan(std::string_view bytes)
{
    while (!bytes.empty()) {
        // The scanner may have been moved since the last call.
        parser_.data = this;
        bool const in_head = !head_complete_;
        auto const n = http_parser_execute(
            &parser_, &callbacks(), bytes.data(), bytes.size());
        if (in_head)
            head_.append(bytes.substr(0, n));
        auto const error = HTTP_PARSER_ERRNO(&parser_);
        if (error == HPE_OK)
            return;
        // RESTinio closes the connection of a request that cannot be parsed.
        if (error != HPE_PAUSED)
            return;
        restart();
        bytes.remove_prefix(std::min(n, bytes.size()));
    }
}

std::size_t request_scanner::needed_bytes() const
{
    return head_.size() + std::max(stated_body_bytes_, received_body_bytes_);
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
