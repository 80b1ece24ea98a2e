#include "core/json_text.hpp"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_replace.h>
#include <algorithm>
#include <fmt/format.h>

namespace pomelohinge {
namespace {

/// Scans a text in parallel with the SAX parser and returns the position at
/// which each token starts. The parser has already accepted a token when its
/// position is requested, so the scanner does not validate the syntax.
class token_scanner
{
public:
    explicit token_scanner(std::string_view text) : text_(text) {}

    /// Skips the next token and returns the position at which it starts.
    text_position next()
    {
        skip_separators();
        auto const position = current();
        skip_token();
        return position;
    }

    /// Position of the byte at `offset`, independent of the scan so far.
    text_position position_at(std::size_t offset) const
    {
        auto const prefix = text_.substr(0, offset);
        auto const line = std::count(prefix.begin(), prefix.end(), '\n');
        auto const start = prefix.rfind('\n');
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

/// Result of one parser pass over a text.
struct parsed_text
{
    nlohmann::json value;
    text_map<text_position> positions;
    bool is_valid = false;
};

/// Whether a parser pass records the position of each value.
enum class record_positions { no, yes };

/// Handles the events of the SAX parser and builds the document.
class document_builder : public nlohmann::json_sax<nlohmann::json>
{
public:
    document_builder(
        std::string_view text, findings& found, record_positions recorded)
        : scanner_(text), found_(found), recorded_(recorded)
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
        auto const position = next_position();
        auto& it = open_containers_.back();
        it.key = std::move(value);
        if (it.value->contains(it.key))
            found_.add(position, child_pointer(), "duplicate key");
        return true;
    }

    bool parse_error(std::size_t offset, std::string const&,
        nlohmann::json::exception const& error) override
    {
        std::string_view message = error.what();
        auto const start = message.find("syntax error");
        if (start != std::string_view::npos)
            message.remove_prefix(start);
        found_.add(scanner_.position_at(offset > 0 ? offset - 1 : 0), "",
            std::string(message));
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
        if (open_containers_.empty())
            return "";
        auto const& it = open_containers_.back();
        if (it.value->is_array())
            return fmt::format("{}/{}", it.pointer, it.value->size());
        return it.pointer + "/" + escape_pointer_token(it.key);
    }

    text_position next_position()
    {
        return recorded_ == record_positions::yes ? scanner_.next()
                                                  : text_position{};
    }

    nlohmann::json* add_value(nlohmann::json value)
    {
        if (recorded_ == record_positions::yes)
            document_.positions.emplace(child_pointer(), next_position());
        if (open_containers_.empty()) {
            document_.value = std::move(value);
            return &document_.value;
        }
        auto& parent = *open_containers_.back().value;
        if (parent.is_array()) {
            parent.push_back(std::move(value));
            return &parent.back();
        }
        return &(parent[open_containers_.back().key] = std::move(value));
    }

    bool scalar(nlohmann::json value)
    {
        add_value(std::move(value));
        return true;
    }

    bool open(nlohmann::json value)
    {
        if (open_containers_.size() >= max_json_depth) {
            found_.add(next_position(), open_containers_.back().pointer,
                fmt::format("nested more than {} levels deep", max_json_depth));
            return false;
        }
        auto pointer = recorded_ == record_positions::yes ? child_pointer()
                                                          : std::string();
        auto* const added = add_value(std::move(value));
        open_containers_.push_back({added, std::move(pointer), {}});
        return true;
    }

    bool close()
    {
        next_position();
        open_containers_.pop_back();
        return true;
    }

    token_scanner scanner_;
    findings& found_;
    record_positions recorded_;
    parsed_text document_;
    /// The containers that are not closed yet, outermost first.
    std::vector<container> open_containers_;
};

parsed_text parse_once(
    std::string_view text, findings& found, record_positions recorded)
{
    constexpr bool strict = true;
    constexpr bool ignore_comments = true;
    auto const before = found.items().size();
    document_builder builder(text, found, recorded);
    auto const accepted =
        nlohmann::json::sax_parse(text.begin(), text.end(), &builder,
            nlohmann::json::input_format_t::json, strict, ignore_comments);
    auto parsed = builder.take();
    parsed.is_valid = accepted && found.items().size() == before;
    return parsed;
}

} // namespace

text_position json_document::position_of(std::string_view pointer) const
{
    if (!positions_) {
        findings ignored("");
        positions_ =
            parse_once(text_, ignored, record_positions::yes).positions;
    }
    while (true) {
        auto const it = positions_->find(pointer);
        if (it != positions_->end())
            return it->second;
        auto const slash = pointer.rfind('/');
        if (slash == std::string_view::npos)
            return {};
        pointer = pointer.substr(0, slash);
    }
}

std::optional<json_document> parse_json_text(
    std::string_view text, findings& found)
{
    findings ignored("");
    auto parsed = parse_once(text, ignored, record_positions::no);
    if (!parsed.is_valid) {
        parse_once(text, found, record_positions::yes);
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
