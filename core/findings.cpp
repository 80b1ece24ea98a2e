#include "core/findings.hpp"

#include <fmt/format.h>

namespace pomelohinge {

void findings::add(
    text_position position, std::string path, std::string message)
{
    items_.push_back({position, std::move(path), std::move(message)});
}

void findings::append(findings const& other)
{
    items_.insert(items_.end(), other.items_.begin(), other.items_.end());
}

std::string findings::to_text() const
{
    std::string text;
    for (auto const& it : items_) {
        text += source_;
        if (it.position.line != 0)
            text += fmt::format(":{}:{}", it.position.line, it.position.column);
        text += ": ";
        if (!it.path.empty())
            text += it.path + ": ";
        text += it.message + "\n";
    }
    return text;
}

absl::Status findings::to_status() const
{
    if (items_.empty())
        return absl::OkStatus();
    return absl::InvalidArgumentError(to_text());
}

} // namespace pomelohinge
