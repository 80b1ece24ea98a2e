#ifndef POMELOHINGE_CORE_FINDINGS_HPP
#define POMELOHINGE_CORE_FINDINGS_HPP

#include <absl/status/status.h>
#include <cstddef>
#include <string>
#include <vector>

namespace pomelohinge {

/// A place in a text. Lines and columns count from 1; 0 means unknown.
struct text_position
{
    std::size_t line = 0;
    std::size_t column = 0;

    friend bool operator==(text_position, text_position) = default;
};

/// One thing that is wrong with an input.
struct finding
{
    text_position position;
    /// JSON pointer of the value, or empty for the whole text.
    std::string path;
    std::string message;
};

/// Collects what is wrong with one input, so that everything is reported
/// together instead of one error a run.
class findings
{
public:
    /// `source` names the input in the report, usually a file name.
    explicit findings(std::string source) : source_(std::move(source)) {}

    /// Adds one finding.
    void add(text_position place, std::string path, std::string message);

    /// Takes over all findings of `other`.
    void append(findings const& other);

    bool empty() const { return items_.empty(); }
    std::vector<finding> const& items() const { return items_; }
    std::string const& source() const { return source_; }

    /// One line for each finding: `source:line:column: path: message`.
    std::string to_text() const;

    /// OK without findings, else `InvalidArgument` with the whole report.
    absl::Status to_status() const;

private:
    std::string source_;
    std::vector<finding> items_;
};

} // namespace pomelohinge

#endif
