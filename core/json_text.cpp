#include "core/json_text.hpp"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_replace.h>
#include <algorithm>
#include <fmt/format.h>

namespace pomelohinge {
namespace {

/// Walks a text in step with the events of the SAX parser and gives the
/// place where each token starts. The parser has accepted the tokens before
/// they are asked for, so the walk needs no checks of its own.
class token_places
{
public:
    explicit token_places(std::string_view text) : text_(text) {}

    /// The place of the next token; advances behind it.
    text_position next()
    {
        skip_separators();
        auto const place = current();
        skip_token();
        return place;
    }

    /// The place of the byte at `offset`, which may lie anywhere.
    text_position at(std::size_t offset) const
    {
        auto const head = text_.substr(0, offset);
        auto const line = std::count(head.begin(), head.end(), '\n');
        auto const start = head.rfind('\n');
        auto const column =
            start == std::string_view::npos ? offset : offset - start - 1;
        return {static_cast<std::size_t>(line) + 1, column + 1};
    }

private:
    text_position current() const { return {line_, offset_ - line_start_ + 1}; }

    char peek(std::size_t ahead = 0) const
    {
        return offset_ + ahead < text_.size() ? text_[offset_ + ahead] : '\0';
    }

    void advance()
    {
        if (peek() == '\n') {
            ++line_;
            line_start_ = offset_ + 1;
        }
        ++offset_;
    }

    void skip_comment()
    {
        bool const block = peek(1) == '*';
        while (offset_ < text_.size()) {
            if (!block && peek() == '\n')
                return;
            if (block && peek() == '*' && peek(1) == '/') {
                offset_ += 2;
                return;
            }
            advance();
        }
    }

    void skip_separators()
    {
        while (offset_ < text_.size()) {
            if (peek() == '/')
                skip_comment();
            else if (std::string_view(" \t\r\n,:").find(peek()) !=
                std::string_view::npos)
                advance();
            else
                return;
        }
    }

    void skip_string()
    {
        advance();
        while (offset_ < text_.size() && peek() != '"') {
            if (peek() == '\\')
                advance();
            advance();
        }
        advance();
    }

    void skip_token()
    {
        if (peek() == '"')
            return skip_string();
        if (std::string_view("{}[]").find(peek()) != std::string_view::npos)
            return advance();
        while (offset_ < text_.size() &&
            std::string_view(" \t\r\n,:{}[]/").find(peek()) ==
                std::string_view::npos)
            advance();
    }

    std::string_view text_;
    std::size_t offset_ = 0;
    std::size_t line_ = 1;
    std::size_t line_start_ = 0;
};

/// What one pass over a text gives.
struct parsed_text
{
    nlohmann::json value;
    text_map<text_position> places;
    bool whole = false;
};

/// Whether a pass notes the place of each value.
enum class note_places { no, yes };

/// Receives the parser's events and builds the document.
class document_builder : public nlohmann::json_sax<nlohmann::json>
{
public:
    document_builder(std::string_view text, findings& found, note_places noted)
        : places_(text), found_(found), noted_(noted)
    {
    }

    bool null() override { return scalar(nullptr); }
    bool boolean(bool value) override { return scalar(value); }
    bool number_integer(number_integer_t value) override
    {
        return scalar(value);
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return scalar(value);
    }
    bool number_float(number_float_t value, string_t const&) override
    {
        return scalar(value);
    }
    bool string(string_t& value) override { return scalar(std::move(value)); }
    bool binary(binary_t&) override { return false; }
    bool start_object(std::size_t) override
    {
        return open(nlohmann::json::object());
    }
    bool start_array(std::size_t) override
    {
        return open(nlohmann::json::array());
    }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    bool key(string_t& value) override
    {
        auto const place = next_place();
        auto& it = open_.back();
        it.key = std::move(value);
        if (it.value->contains(it.key))
            found_.add(place, child_pointer(), "duplicate key");
        return true;
    }

    bool parse_error(std::size_t offset, std::string const&,
        nlohmann::json::exception const& error) override
    {
        std::string_view message = error.what();
        auto const start = message.find("syntax error");
        if (start != std::string_view::npos)
            message.remove_prefix(start);
        found_.add(
            places_.at(offset > 0 ? offset - 1 : 0), "", std::string(message));
        return false;
    }

    parsed_text take() { return std::move(document_); }

private:
    struct container
    {
        nlohmann::json* value;
        std::string pointer;
        std::string key;
    };

    std::string child_pointer() const
    {
        if (open_.empty())
            return "";
        auto const& it = open_.back();
        if (it.value->is_array())
            return fmt::format("{}/{}", it.pointer, it.value->size());
        return it.pointer + "/" + escape_pointer_token(it.key);
    }

    text_position next_place()
    {
        return noted_ == note_places::yes ? places_.next() : text_position{};
    }

    nlohmann::json* place_value(nlohmann::json value)
    {
        if (noted_ == note_places::yes)
            document_.places.emplace(child_pointer(), next_place());
        if (open_.empty()) {
            document_.value = std::move(value);
            return &document_.value;
        }
        auto& parent = *open_.back().value;
        if (parent.is_array()) {
            parent.push_back(std::move(value));
            return &parent.back();
        }
        return &(parent[open_.back().key] = std::move(value));
    }

    bool scalar(nlohmann::json value)
    {
        place_value(std::move(value));
        return true;
    }

    bool open(nlohmann::json value)
    {
        auto pointer =
            noted_ == note_places::yes ? child_pointer() : std::string();
        auto* const placed = place_value(std::move(value));
        open_.push_back({placed, std::move(pointer), {}});
        return true;
    }

    bool close()
    {
        next_place();
        open_.pop_back();
        return true;
    }

    token_places places_;
    findings& found_;
    note_places noted_;
    parsed_text document_;
    std::vector<container> open_;
};

parsed_text parse_once(
    std::string_view text, findings& found, note_places noted)
{
    constexpr bool strict = true;
    constexpr bool ignore_comments = true;
    auto const before = found.items().size();
    document_builder builder(text, found, noted);
    auto const accepted =
        nlohmann::json::sax_parse(text.begin(), text.end(), &builder,
            nlohmann::json::input_format_t::json, strict, ignore_comments);
    auto parsed = builder.take();
    parsed.whole = accepted && found.items().size() == before;
    return parsed;
}

} // namespace

text_position json_document::position_of(std::string_view pointer) const
{
    if (!places_) {
        findings none("");
        places_ = parse_once(text_, none, note_places::yes).places;
    }
    while (true) {
        auto const it = places_->find(pointer);
        if (it != places_->end())
            return it->second;
        auto const cut = pointer.rfind('/');
        if (cut == std::string_view::npos)
            return {};
        pointer = pointer.substr(0, cut);
    }
}

std::optional<json_document> parse_json_text(
    std::string_view text, findings& found)
{
    findings first("");
    auto parsed = parse_once(text, first, note_places::no);
    if (!parsed.whole) {
        parse_once(text, found, note_places::yes);
        return std::nullopt;
    }
    json_document document;
    document.value = std::move(parsed.value);
    document.text_ = std::string(text);
    return document;
}

std::string escape_pointer_token(std::string_view key)
{
    return absl::StrReplaceAll(to_absl(key), {{"~", "~0"}, {"/", "~1"}});
}

} // namespace pomelohinge
