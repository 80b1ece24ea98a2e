#include "core/foreign_json.hpp"

#include "core/json_text.hpp"

#include <algorithm>
#include <utility>

namespace pomelohinge {
namespace {

using nlohmann::json;

/// Longer numbers are invalid.
constexpr std::size_t max_number_length = 400;

constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";

/// Further places are not recorded.
constexpr std::size_t max_invalid = 1000;

bool is_separator(char it)
{
    return std::string_view(" \t\r\n,:{}[]\"").find(it) !=
        std::string_view::npos;
}

bool is_space(char it)
{
    return it == ' ' || it == '\t' || it == '\r' || it == '\n';
}

bool is_number(std::string_view token)
{
    return token.find_first_not_of("0123456789+-.eE") == std::string_view::npos;
}

/// Whether the characters of a string stand for themselves.
bool is_plain(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
        [](char it) { return it >= ' ' && it <= '~' && it != '\\'; });
}

/// Parses a JSON text without recursion. Each string, number and literal is
/// parsed on its own, so that the others do not depend on it.
class foreign_json_reader
{
public:
    explicit foreign_json_reader(std::string_view text) : text_(text) {}

    foreign_json read()
    {
        if (text_.starts_with(byte_order_mark))
            offset_ = byte_order_mark.size();
        skip_spaces();
        while (offset_ < text_.size()) {
            read_token();
            skip_spaces();
        }
        if (!open_.empty() || root_is_invalid_ || !has_root_)
            return discarded();
        return std::move(result_);
    }

private:
    /// What may come next in an array or object.
    enum class expected { value_or_end, value, key_or_end, key, colon, comma };

    /// An array or object that is not closed yet.
    struct container
    {
        char closer;
        expected next;
        /// Where the value is built; null below the depth limit.
        json* value;
        std::string key;
        /// Whether `key` could be read.
        bool has_key = false;
        /// Whether a syntax error makes the container invalid.
        bool is_invalid = false;
    };

    static foreign_json discarded()
    {
        return {json(json::value_t::discarded), {}};
    }

    void skip_spaces()
    {
        while (offset_ < text_.size() && is_space(text_[offset_]))
            ++offset_;
    }

    void read_token()
    {
        char const it = text_[offset_];
        switch (it) {
        case '{':
        case '[':
            ++offset_;
            return open(it);
        case '}':
        case ']':
            ++offset_;
            return close(it);
        case ',':
        case ':':
            ++offset_;
            return separate(it);
        case '"':
            return read_string(take_string());
        default:
            return read_word(take_word());
        }
    }

    /// Returns the string at the offset with its quotes. A string that does not
    /// end extends to the end of the text.
    std::string_view take_string()
    {
        auto const begin = offset_++;
        while (offset_ < text_.size() && text_[offset_] != '"')
            offset_ += text_[offset_] == '\\' ? 2 : 1;
        offset_ = std::min(offset_ + 1, text_.size());
        return text_.substr(begin, offset_ - begin);
    }

    /// Returns the number, literal or other text up to the next separator.
    std::string_view take_word()
    {
        auto const begin = offset_;
        while (offset_ < text_.size() && !is_separator(text_[offset_]))
            ++offset_;
        return text_.substr(begin, offset_ - begin);
    }

    static json parse_scalar(std::string_view token)
    {
        constexpr bool throws = false;
        return json::parse(token.begin(), token.end(), nullptr, throws);
    }

    void read_string(std::string_view token)
    {
        auto const content = token.substr(1, token.size() - 2);
        auto value =
            token.size() > 1 && token.ends_with('"') && is_plain(content)
            ? json(content)
            : parse_scalar(token);
        bool const is_key = !open_.empty() &&
            (open_.back().next == expected::key ||
                open_.back().next == expected::key_or_end);
        if (!is_key)
            return add_scalar(std::move(value));
        auto& it = open_.back();
        it.has_key = value.is_string();
        if (it.has_key)
            it.key = std::move(value.get_ref<std::string&>());
        else
            // Without the field, the object could mean something else.
            syntax_error();
        it.next = expected::colon;
    }

    void read_word(std::string_view token)
    {
        bool const is_literal =
            token == "true" || token == "false" || token == "null";
        bool const is_readable = is_literal ||
            (is_number(token) && token.size() <= max_number_length);
        add_scalar(
            is_readable ? parse_scalar(token) : json(json::value_t::discarded));
    }

    void add_scalar(json value)
    {
        if (!begin_value())
            return;
        bool const is_valid = !value.is_discarded();
        if (!is_valid) {
            note_invalid();
            value = json::object();
        }
        if (open_.empty())
            root_is_invalid_ = !is_valid;
        place(std::move(value));
    }

    /// Whether a value may come here; otherwise there is a syntax error.
    bool begin_value()
    {
        if (open_.empty()) {
            if (std::exchange(has_root_, true)) {
                root_is_invalid_ = true;
                return false;
            }
            return true;
        }
        auto& it = open_.back();
        if (it.next != expected::value && it.next != expected::value_or_end) {
            syntax_error();
            return false;
        }
        it.next = expected::comma;
        return true;
    }

    /// Puts a value in the innermost open container. Returns where it is, or
    /// null if it is below the depth limit or has no readable key.
    json* place(json value)
    {
        if (open_.empty())
            return &(result_.value = std::move(value));
        auto& it = open_.back();
        if (it.value == nullptr || it.is_invalid)
            return nullptr;
        if (it.value->is_array()) {
            it.value->push_back(std::move(value));
            return &it.value->back();
        }
        if (!it.has_key)
            return nullptr;
        return &((*it.value)[it.key] = std::move(value));
    }

    void open(char opener)
    {
        bool const is_object = opener == '{';
        bool const may_begin = begin_value();
        bool const is_too_deep = open_.size() >= max_json_depth;
        json* value = nullptr;
        if (may_begin && is_too_deep)
            place(nullptr);
        else if (may_begin)
            value = place(is_object ? json::object() : json::array());
        auto const next =
            is_object ? expected::key_or_end : expected::value_or_end;
        open_.push_back({is_object ? '}' : ']', next, value, {}});
        ++(is_object ? open_objects_ : open_arrays_);
    }

    void close(char closer)
    {
        // A container that lacks its end is closed with the one around it.
        if ((closer == '}' ? open_objects_ : open_arrays_) == 0)
            return syntax_error();
        while (open_.back().closer != closer) {
            syntax_error();
            end_container();
        }
        auto const next = open_.back().next;
        if (next == expected::value || next == expected::key ||
            next == expected::colon)
            syntax_error();
        end_container();
    }

    void end_container()
    {
        auto const it = std::move(open_.back());
        open_.pop_back();
        --(it.closer == '}' ? open_objects_ : open_arrays_);
        if (!it.is_invalid)
            return;
        if (open_.empty())
            root_is_invalid_ = true;
        else if (it.value != nullptr)
            *it.value = json::object();
    }

    void separate(char separator)
    {
        if (open_.empty())
            return syntax_error();
        auto& it = open_.back();
        if (separator == ':' && it.next == expected::colon)
            it.next = expected::value;
        else if (separator == ',' && it.next == expected::comma)
            it.next = it.closer == '}' ? expected::key : expected::value;
        else
            syntax_error();
    }

    /// Makes the innermost open container invalid. The rest of it is read for
    /// its brackets only.
    void syntax_error()
    {
        if (open_.empty()) {
            root_is_invalid_ = true;
            return;
        }
        auto& it = open_.back();
        it.next = expected::comma;
        if (std::exchange(it.is_invalid, true))
            return;
        if (it.value != nullptr)
            add_place(path(open_.size() - 1));
    }

    /// Records that the current value or key of the innermost container is
    /// invalid.
    void note_invalid()
    {
        bool const is_built = open_.empty() ||
            (open_.back().value != nullptr && !open_.back().is_invalid);
        if (is_built)
            add_place(path(open_.size()));
    }

    void add_place(std::string pointer)
    {
        if (result_.invalid.size() < max_invalid)
            result_.invalid.push_back(std::move(pointer));
    }

    /// JSON pointer to the current value in the first `levels` containers.
    std::string path(std::size_t levels) const
    {
        std::string pointer;
        for (std::size_t n = 0; n < levels; ++n) {
            auto const& it = open_[n];
            pointer += '/';
            bool const is_innermost = n + 1 == open_.size();
            if (it.closer == '}')
                pointer += it.has_key ? escape_pointer_token(it.key) : "?";
            else
                pointer +=
                    std::to_string(it.value->size() - (is_innermost ? 0 : 1));
        }
        return pointer;
    }

    std::string_view text_;
    std::size_t offset_ = 0;
    foreign_json result_;
    bool has_root_ = false;
    bool root_is_invalid_ = false;
    /// The containers that are not closed yet, outermost first.
    std::vector<container> open_;
    std::size_t open_objects_ = 0;
    std::size_t open_arrays_ = 0;
};

} // namespace

foreign_json read_foreign_json(std::string_view text)
{
    return foreign_json_reader(text).read();
}

json parse_foreign_json(std::string_view text)
{
    auto parsed = read_foreign_json(text);
    return parsed.invalid.empty() ? std::move(parsed.value)
                                  : json(json::value_t::discarded);
}

} // namespace pomelohinge
