#ifndef POMELOHINGE_DRIVERS_HTTP_HEAD_CHECKER_HPP
#define POMELOHINGE_DRIVERS_HTTP_HEAD_CHECKER_HPP

#include <cstddef>
#include <optional>
#include <string_view>

namespace pomelohinge {

/// Checks the form of an answer's head where http_parser is lenient: lines end
/// with CR and LF, none is folded, there is no NUL and no space in the name of
/// a header, and nothing in the head looks like the status line of another
/// answer, as is the case if the target broke off within the head and went on.
class head_checker
{
public:
    /// Checks bytes up to the end of the head and returns their number;
    /// `nullopt` if the head is malformed.
    std::optional<std::size_t> check(std::string_view bytes);

    /// Whether the end of the head has been reached.
    bool is_complete() const { return is_complete_; }

private:
    bool accept(char it);
    bool ends_status_line(char it);

    /// The previous character; NUL before the first one.
    char last_ = '\0';
    /// Length of the part of a status line that ends with `last_`.
    std::size_t matched_ = 0;
    bool has_status_line_ = false;
    bool in_name_ = false;
    bool is_line_empty_ = true;
    bool is_complete_ = false;
};

} // namespace pomelohinge

#endif
