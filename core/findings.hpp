#ifndef POMELOHINGE_CORE_FINDINGS_HPP
#define POMELOHINGE_CORE_FINDINGS_HPP

#include <absl/status/status.h>
#include <cstddef>
#include <string>
#include <vector>

namespace pomelohinge {

/// A position in a text. Lines and columns count from 1; 0 means unknown.
struct text_position
{
    std::size_t line = 0;
    std::size_t column = 0;

    friend bool operator==(text_position, text_position) = default;
};

/// One error in an input.
struct finding
{
    text_position position;
    /// JSON pointer to the value, or empty if the whole text is meant.
    std::string path;
    std::string message;
};

/// Collects all errors in one input, so that they can be reported together
/// instead of one per run.
class findings
{
public:
    /// `source` is the name of the input in the report, usually a file name.
    explicit findings(std::string source) : source_(std::move(source)) {}

    void add(text_position position, std::string path, std::string message);

    /// Adds copies of all findings of `other`.
    void append(findings const& other);

    bool empty() const { return items_.empty(); }
    std::vector<finding> const& items() const { return items_; }
    std::string const& source() const { return source_; }

    /// The report: one line per finding, `source:line:column: path: message`.
    /// An unknown position and an empty path are left out.
    std::string to_text() const;

    /// OK if there are no findings, otherwise `InvalidArgument` with the
    /// report.
    absl::Status to_status() const;

private:
    std::string source_;
    std::vector<finding> items_;
};

} // namespace pomelohinge

#endif
